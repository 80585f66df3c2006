#include "coltsfootbend/group/map_participant.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace coltsfootbend {

namespace {

// Number of maps kept as a base for changes: the map in use, the next one, and one that was prepared but abandoned.
constexpr std::size_t keptMaps = 3;

const wire::order_scope& scopeOf(const wire::rank_order& asked)
{
    return std::visit([](const auto& message) -> const wire::order_scope& { return message.scope; }, asked);
}

} // namespace

bool map_participant::obeys(leader_term term)
{
    if (term < m_term)
        return false;
    m_term = term;
    m_heardAt = clock_type::now();
    return true;
}

bool map_participant::isInOrder(const wire::order_scope& scope)
{
    if (scope.serial == 0)
        return true;
    if (scope.leaderRun != m_leaderRun) {
        m_leaderRun = scope.leaderRun;
        m_lastSerial = 0;
    }
    if (scope.serial < m_lastSerial)
        return false;
    m_lastSerial = scope.serial;
    return true;
}

bool map_participant::isCurrent(const wire::order_scope& scope) const
{
    const bool isNewest = scope.serial == 0 || (scope.leaderRun == m_leaderRun && scope.serial >= m_lastSerial);
    return m_term == scope.term && isNewest;
}

leader_term map_participant::claim(rank_number rank)
{
    m_term = termAfter(m_term, rank);
    m_heardAt = clock_type::now();
    return m_term;
}

result<void> map_participant::enterLife(engine_life life)
{
    if (life == m_life || life.isNone())
        return {};
    if (life < m_life)
        return fail(error_kind::Stale, "this was told before the engine's restart", "Ask again");
    if (!m_life.isNone()) {
        m_orders.forget();
        m_knownMaps.clear();
        m_isArmed = false;
        m_isPrepared = false;
        m_preparedTerm = 0;
    }
    m_life = life;
    return {};
}

// The term does not carry over, because it identifies its leader by rank number and would identify another process in
// the new group. A rank that kept its term would regard itself as the leader of its new group if the rank numbers
// match.
void map_participant::enterGroup(const std::string& group)
{
    if (group == m_group)
        return;
    if (!m_group.empty()) {
        m_term = 0;
        m_heardAt = clock_type::now();
        m_knownMaps.clear();
        m_isArmed = false;
        m_isPrepared = false;
        m_preparedTerm = 0;
    }
    m_group = group;
}

void map_participant::observe(const rank_report& report)
{
    if (report.group && enterLife(report.life))
        enterGroup(report.group->name);
}

result<wire::rank_state> map_participant::stateOf(const rank_report& report)
{
    if (const auto entered = enterLife(report.life); !entered)
        return tl::unexpected(entered.error());
    if (!report.group)
        return fail(error_kind::NotFound, "the engine belongs to no group", "Nothing: it needs no expert maps");
    enterGroup(report.group->name);
    const auto& group = *report.group;
    wire::rank_state state;
    state.life = report.life.number();
    state.term = m_term;
    state.group = group.name;
    state.epoch = group.epoch;
    state.rank = group.rank;
    state.ranks = group.ranks;
    state.isOpen = group.isOpen;
    state.step = report.step;
    state.mapVersion = report.mapVersion;
    state.preparedVersion = report.prepared.value_or(0);
    if (state.preparedVersion != 0 && state.preparedVersion == m_preparedVersion)
        state.preparedTerm = m_preparedTerm;
    if (report.armed) {
        state.armedVersion = report.armed->version;
        state.armedStep = report.armed->step;
    } else if (const auto uncertain = m_orders.uncertainSwitch(group.epoch);
               uncertain && report.step < uncertain->step) {
        state.armedVersion = uncertain->version;
        state.armedStep = uncertain->step;
        state.isArmUncertain = true;
    }
    state.heldStep = report.held.value_or(0);
    state.highestVersion = std::max({ report.mapVersion, state.preparedVersion, m_orders.highestOrdered(group.epoch) });
    state.pace = report.pace;
    state.requests = report.running + report.waiting;
    return state;
}

result<wire::rank_state> map_participant::look(time_point deadline)
{
    const auto report = m_engine.report(deadline);
    if (!report)
        return tl::unexpected(report.error());
    auto state = stateOf(*report);
    m_isArmed = state && state->armedVersion != 0;
    m_isPrepared = state && state->preparedVersion > state->mapVersion;
    return state;
}

void map_participant::addDemand(wire::rank_state& state, time_point deadline)
{
    const auto demand = m_engine.demand(deadline);
    if (!demand)
        return; // The leader uses the counts of other ranks, and the next answer includes the missing counts.
    const auto& counts = demand->counts;
    constexpr std::uint64_t most = std::numeric_limits<std::uint32_t>::max();
    // Without earlier counts there is no difference to report: a newly started agent would report the demand since the
    // start of the engine as current demand.
    if (counts.size() != m_lastCounts.size()) {
        m_lastCounts = counts;
        m_lastCountsLife = demand->life;
        return;
    }
    // Counts of another incarnation, or that decrease, show that the engine was restarted: all of them are new.
    bool isContinued = demand->life == m_lastCountsLife;
    for (std::size_t i = 0; isContinued && i < counts.size(); ++i)
        isContinued = counts[i] >= m_lastCounts[i];
    state.demand.resize(counts.size());
    for (std::size_t i = 0; i < counts.size(); ++i)
        state.demand[i] = static_cast<std::uint32_t>(std::min(most, counts[i] - (isContinued ? m_lastCounts[i] : 0)));
    m_lastCounts = counts;
    m_lastCountsLife = demand->life;
}

result<void> map_participant::addMap(wire::rank_state& state, time_point deadline)
{
    const auto maps = m_engine.maps(deadline);
    if (!maps)
        return tl::unexpected(maps.error());
    state.mapVersion = maps->inUse.version;
    state.map = maps->inUse.experts;
    return {};
}

result<wire::rank_state> map_participant::answer(const wire::rank_order& asked, time_point deadline)
{
    // Only a fresh report shows the formation that the rank belongs to.
    auto now = look(deadline);
    if (!now || !isAddressed(asked, *now) || !obeys(scopeOf(asked).term))
        return now;
    now->term = m_term;
    if (!isInOrder(scopeOf(asked)))
        return now;
    if (const auto* message = std::get_if<wire::rank_query>(&asked))
        return query(*message, std::move(*now), deadline);
    if (const auto* message = std::get_if<wire::rank_prepare>(&asked))
        return prepare(*message, deadline);
    if (const auto* message = std::get_if<wire::rank_arm>(&asked))
        return arm(*message, deadline);
    if (const auto* message = std::get_if<wire::rank_disarm>(&asked))
        return disarm(*message, deadline);
    return release(std::get<wire::rank_release>(asked), deadline);
}

// A query needs to match only the group, because the leader may not know the rank's latest formation yet. All other
// orders must name the formation.
bool map_participant::isAddressed(const wire::rank_order& asked, const wire::rank_state& state) const
{
    const auto& scope = scopeOf(asked);
    if (scope.group != state.group)
        return false;
    if (std::holds_alternative<wire::rank_query>(asked))
        return true;
    return scope.epoch == state.epoch && (scope.life == 0 || state.life == 0 || scope.life == state.life);
}

group_formation map_participant::formationOf(const wire::order_scope& scope) const
{
    return { scope.group, scope.epoch, m_life };
}

result<wire::rank_state> map_participant::query(
    const wire::rank_query& asked, wire::rank_state state, time_point deadline)
{
    if (asked.wantsDemand)
        addDemand(state, deadline);
    if (asked.wantsMap) {
        if (auto added = addMap(state, deadline); !added)
            return tl::unexpected(added.error());
    }
    return state;
}

std::optional<group_map> map_participant::offeredMap(const wire::rank_prepare& asked)
{
    const auto formation = formationOf(asked.scope);
    group_map map = asked.map;
    if (map.empty()) {
        const auto base = std::find_if(m_knownMaps.begin(), m_knownMaps.end(),
            [&](const known_map& known) { return known.formation == formation && known.version == asked.baseVersion; });
        if (base == m_knownMaps.end())
            return std::nullopt;
        map = base->map;
        for (const auto& row : asked.changes) {
            if (row.set >= map.size() || row.rank >= map[row.set].size())
                return std::nullopt;
            map[row.set][row.rank] = row.experts;
        }
    }
    m_knownMaps.insert(m_knownMaps.begin(), { formation, asked.version, map });
    m_knownMaps.resize(std::min(m_knownMaps.size(), keptMaps));
    return map;
}

result<wire::rank_state> map_participant::prepare(const wire::rank_prepare& asked, time_point deadline)
{
    const auto map = offeredMap(asked);
    if (!map) {
        auto state = look(deadline);
        if (state)
            state->lacksBase = true;
        return state;
    }
    m_preparedVersion = asked.version;
    m_preparedTerm = asked.scope.term;
    m_isPrepared = true;
    const auto done = m_orders.prepare(
        formationOf(asked.scope), asked.version, *map, deadline, [&] { return isCurrent(asked.scope); });
    return done ? stateOf(*done) : look(deadline);
}

result<wire::rank_state> map_participant::arm(const wire::rank_arm& asked, time_point deadline)
{
    m_isArmed = true;
    const auto done = m_orders.arm(
        formationOf(asked.scope), { asked.version, asked.step }, deadline, [&] { return isCurrent(asked.scope); });
    return done ? stateOf(*done) : look(deadline);
}

result<wire::rank_state> map_participant::disarm(const wire::rank_disarm& asked, time_point deadline)
{
    const auto done
        = m_orders.disarm(formationOf(asked.scope), asked.version, deadline, [&] { return isCurrent(asked.scope); });
    return done ? stateOf(*done) : look(deadline);
}

result<wire::rank_state> map_participant::release(const wire::rank_release& asked, time_point deadline)
{
    const auto done
        = m_orders.release(formationOf(asked.scope), asked.step, deadline, [&] { return isCurrent(asked.scope); });
    m_isArmed = false;
    return done ? stateOf(*done) : look(deadline);
}

} // namespace coltsfootbend
