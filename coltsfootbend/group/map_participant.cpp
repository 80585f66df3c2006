#include "coltsfootbend/group/map_participant.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace coltsfootbend {

namespace {

// Number of maps kept as a base for changes: the map in use, the next one, and one that was prepared but abandoned.
constexpr std::size_t maxKnownMaps = 3;

const wire::order_scope& scopeOf(const wire::rank_order& order)
{
    return std::visit([](const auto& message) -> const wire::order_scope& { return message.scope; }, order);
}

} // namespace

bool map_participant::acceptTerm(leader_term term)
{
    if (term < m_term)
        return false;
    m_term = term;
    m_leaderReceivedAt = clock_type::now();
    return true;
}

bool map_participant::acceptSerial(const wire::order_scope& scope)
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

leader_term map_participant::claimLeadership(rank_number rank)
{
    m_term = termAfter(m_term, rank);
    m_claimedTerm = m_term;
    m_leaderReceivedAt = clock_type::now();
    return m_term;
}

result<void> map_participant::enterIncarnation(engine_incarnation reported)
{
    if (reported == m_engineIncarnation || reported.isNone())
        return {};
    if (reported < m_engineIncarnation)
        return fail(error_kind::Stale, "this was told before the engine's restart", "Ask again");
    if (!m_engineIncarnation.isNone()) {
        m_orders.reset();
        m_knownMaps.clear();
        m_isArmed = false;
        m_isPrepared = false;
        m_preparedTerm = 0;
    }
    m_engineIncarnation = reported;
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
        m_claimedTerm = 0;
        m_leaderReceivedAt = clock_type::now();
        m_knownMaps.clear();
        m_isArmed = false;
        m_isPrepared = false;
        m_preparedTerm = 0;
    }
    m_group = group;
}

void map_participant::observe(const rank_report& report)
{
    if (report.group && enterIncarnation(report.incarnation))
        enterGroup(report.group->name);
}

result<wire::rank_state> map_participant::stateOf(const rank_report& report)
{
    if (const auto entered = enterIncarnation(report.incarnation); !entered)
        return tl::unexpected(entered.error());
    if (!report.group)
        return fail(error_kind::NotFound, "the engine belongs to no group", "Nothing: it needs no expert maps");
    enterGroup(report.group->name);
    const auto& group = *report.group;
    wire::rank_state state;
    state.engineIncarnation = report.incarnation.number();
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
    } else if (const auto uncertain = m_orders.uncertainSwitch(group.epoch); uncertain && report.step < uncertain->step
               && report.prepared.value_or(uncertain->version) == uncertain->version) {
        // An engine that has prepared a later map refuses to be armed for this one.
        state.armedVersion = uncertain->version;
        state.armedStep = uncertain->step;
        state.isArmUncertain = true;
    }
    state.heldStep = report.held.value_or(0);
    state.highestVersion
        = std::max({ report.mapVersion, state.preparedVersion, m_orders.highestOrderedVersion(group.epoch) });
    state.pace = report.pace;
    state.requests = report.running + report.waiting;
    return state;
}

result<wire::rank_state> map_participant::readState(time_point deadline)
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
    constexpr std::uint64_t maxCount = std::numeric_limits<std::uint32_t>::max();
    // Without earlier counts there is no difference to report: a newly started agent would report the demand since the
    // start of the engine as current demand.
    if (counts.size() != m_lastCounts.size()) {
        m_lastCounts = counts;
        m_lastCountsIncarnation = demand->incarnation;
        return;
    }
    // Counts of another incarnation, or that decrease, show that the engine was restarted: all of them are new.
    bool isContinued = demand->incarnation == m_lastCountsIncarnation;
    for (std::size_t i = 0; isContinued && i < counts.size(); ++i)
        isContinued = counts[i] >= m_lastCounts[i];
    state.demand.resize(counts.size());
    for (std::size_t i = 0; i < counts.size(); ++i)
        state.demand[i]
            = static_cast<std::uint32_t>(std::min(maxCount, counts[i] - (isContinued ? m_lastCounts[i] : 0)));
    m_lastCounts = counts;
    m_lastCountsIncarnation = demand->incarnation;
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

result<wire::rank_state> map_participant::answer(const wire::rank_order& order, time_point deadline)
{
    // Only a fresh report shows the formation that the rank belongs to.
    auto state = readState(deadline);
    if (!state || !isAddressed(order, *state) || !acceptTerm(scopeOf(order).term))
        return state;
    state->term = m_term;
    if (!acceptSerial(scopeOf(order)))
        return state;
    if (const auto* message = std::get_if<wire::rank_query>(&order))
        return query(*message, std::move(*state), deadline);
    if (const auto* message = std::get_if<wire::rank_prepare>(&order))
        return prepare(*message, deadline);
    if (const auto* message = std::get_if<wire::rank_arm>(&order))
        return arm(*message, deadline);
    if (const auto* message = std::get_if<wire::rank_disarm>(&order))
        return disarm(*message, deadline);
    return release(std::get<wire::rank_release>(order), deadline);
}

// A query needs to match only the group, because the leader may not know the rank's latest formation yet. All other
// orders must name the formation.
bool map_participant::isAddressed(const wire::rank_order& order, const wire::rank_state& state) const
{
    const auto& scope = scopeOf(order);
    if (scope.group != state.group)
        return false;
    if (std::holds_alternative<wire::rank_query>(order))
        return true;
    return scope.epoch == state.epoch
        && (scope.engineIncarnation == 0 || state.engineIncarnation == 0
            || scope.engineIncarnation == state.engineIncarnation);
}

group_formation map_participant::formationOf(const wire::order_scope& scope) const
{
    return { scope.group, scope.epoch, m_engineIncarnation };
}

result<wire::rank_state> map_participant::query(
    const wire::rank_query& order, wire::rank_state state, time_point deadline)
{
    if (order.wantsDemand)
        addDemand(state, deadline);
    if (order.wantsMap) {
        if (auto added = addMap(state, deadline); !added)
            return tl::unexpected(added.error());
    }
    return state;
}

std::optional<group_map> map_participant::resolveMap(const wire::rank_prepare& order)
{
    const auto formation = formationOf(order.scope);
    group_map map = order.map;
    if (map.empty()) {
        const auto base = std::find_if(m_knownMaps.begin(), m_knownMaps.end(),
            [&](const known_map& known) { return known.formation == formation && known.version == order.baseVersion; });
        if (base == m_knownMaps.end())
            return std::nullopt;
        map = base->map;
        for (const auto& row : order.changes) {
            if (row.set >= map.size() || row.rank >= map[row.set].size())
                return std::nullopt;
            map[row.set][row.rank] = row.experts;
        }
    }
    m_knownMaps.insert(m_knownMaps.begin(), { formation, order.version, map });
    m_knownMaps.resize(std::min(m_knownMaps.size(), maxKnownMaps));
    return map;
}

const group_map* map_participant::knownMap(group_epoch epoch, engine_map_version version) const
{
    const group_formation formation { m_group, epoch, m_engineIncarnation };
    const auto found = std::find_if(m_knownMaps.begin(), m_knownMaps.end(),
        [&](const known_map& known) { return known.formation == formation && known.version == version; });
    return found == m_knownMaps.end() ? nullptr : &found->map;
}

result<wire::rank_state> map_participant::prepare(const wire::rank_prepare& order, time_point deadline)
{
    const auto map = resolveMap(order);
    if (!map) {
        auto state = readState(deadline);
        if (state)
            state->lacksBase = true;
        return state;
    }
    m_preparedVersion = order.version;
    m_preparedTerm = order.scope.term;
    m_isPrepared = true;
    const auto done = m_orders.prepare(
        formationOf(order.scope), order.version, *map, deadline, [&] { return isCurrent(order.scope); });
    return done ? stateOf(*done) : readState(deadline);
}

result<wire::rank_state> map_participant::arm(const wire::rank_arm& order, time_point deadline)
{
    m_isArmed = true;
    const auto done = m_orders.arm(
        formationOf(order.scope), { order.version, order.step }, deadline, [&] { return isCurrent(order.scope); });
    return done ? stateOf(*done) : readState(deadline);
}

result<wire::rank_state> map_participant::disarm(const wire::rank_disarm& order, time_point deadline)
{
    const auto done
        = m_orders.disarm(formationOf(order.scope), order.version, deadline, [&] { return isCurrent(order.scope); });
    return done ? stateOf(*done) : readState(deadline);
}

result<wire::rank_state> map_participant::release(const wire::rank_release& order, time_point deadline)
{
    m_lastReleased = { order.scope.epoch, std::max(lastReleasedStep(order.scope.epoch), order.step) };
    const auto done
        = m_orders.release(formationOf(order.scope), order.step, deadline, [&] { return isCurrent(order.scope); });
    m_isArmed = false;
    return done ? stateOf(*done) : readState(deadline);
}

} // namespace coltsfootbend
