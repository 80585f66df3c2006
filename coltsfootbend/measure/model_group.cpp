#include "coltsfootbend/measure/model_group.h"

#include <algorithm>
#include <utility>

namespace coltsfootbend {

namespace {

constexpr std::chrono::milliseconds minLateness { 20 };

// Returns a demand between 1 and 99, with a mean of about a third of that.
std::uint64_t moderateDemand(std::uint64_t chance)
{
    constexpr std::uint64_t range = 100;
    const auto root = chance % range;
    return 1 + root * root / range;
}

} // namespace

model_group::model_group(const options& options)
    : m_options(options)
    , m_random(options.seed)
    , m_lateShare(options.lateShare)
{
    form();
}

void model_group::form()
{
    ++m_epoch;
    m_isOpen = true;
    auto former = std::exchange(m_members, std::vector<member>(m_options.ranks));
    for (rank_number rank = 0; rank < former.size(); ++rank)
        m_members[rank].engineIncarnation = former[rank].engineIncarnation;
    for (rank_number rank = 0; rank < m_options.ranks; ++rank) {
        m_members[rank].counts.assign(std::size_t { m_options.sets } * m_options.experts, 0);
        m_members[rank].experts.assign(m_options.sets, {});
        for (auto& set : m_members[rank].experts) {
            for (std::uint32_t expert = rank; expert < m_options.experts; expert += m_options.ranks)
                set.push_back(expert);
        }
    }
}

void model_group::restart(rank_number rank)
{
    m_isOpen = false;
    const auto before = m_members[rank].engineIncarnation.number();
    m_members[rank] = member {};
    m_members[rank].engineIncarnation = engine_incarnation(before + 1);
}

bool model_group::beginPass()
{
    const auto next = m_step + 1;
    const bool isHeld
        = std::any_of(m_members.begin(), m_members.end(), [next](const auto& member) { return member.held == next; });
    if (!m_isOpen || isHeld)
        return false;
    m_step = next;
    m_lastPassAt = clock_type::now();
    for (auto& member : m_members) {
        if (!member.armed || member.armed->step != m_step)
            continue;
        member.version = member.armed->version;
        member.experts = member.prepared->experts;
        member.prepared.reset();
        member.armed.reset();
        ++m_switches;
    }
    m_mixedPasses += std::any_of(m_members.begin(), m_members.end(),
                         [&](const auto& member) { return member.version != m_members[0].version; })
        ? 1
        : 0;
    countDemand();
    return true;
}

std::vector<std::uint64_t> model_group::demandOfPass() const
{
    const auto shifts = static_cast<unsigned>(m_step / m_options.passesPerDemand) + m_shifts;
    std::minstd_rand demand(m_options.seed + shifts);
    std::vector<std::uint64_t> choices(std::size_t { m_options.sets } * m_options.experts);
    for (auto& count : choices)
        count = m_options.everyRankCounts ? moderateDemand(demand()) : 1 + (demand() % 7 == 0 ? 200 : 0);
    return choices;
}

void model_group::countDemand()
{
    const auto choices = demandOfPass();
    for (rank_number rank = 0; rank < m_options.ranks; ++rank) {
        if (!m_options.everyRankCounts && rank != m_step % m_options.ranks)
            continue;
        auto& counts = m_members[rank].counts;
        for (std::size_t i = 0; i < counts.size(); ++i)
            counts[i] += choices[i];
    }
}

std::optional<duration> model_group::drawDelay(rank_number rank)
{
    if (m_lateRank != rank && !chance(m_lateShare))
        return std::nullopt;
    const auto longest = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.latest).count();
    return std::chrono::milliseconds(
        std::uniform_int_distribution<std::int64_t>(minLateness.count(), longest)(m_random));
}

result<void> model_engine::order(group_epoch epoch, const model_group::order_action& work, time_point deadline)
{
    if (const auto late = m_place->group->drawDelay(m_place->rank)) {
        m_runtime.spawn([&runtime = m_runtime, place = m_place, epoch, work, late] {
            runtime.sleepFor(*late);
            (void)place->group->execute(place->rank, epoch, work);
        });
        m_runtime.sleepUntil(deadline);
        return fail(error_kind::TimedOut, "the model does not answer this order", "Look at the report");
    }
    if (m_place->group->execute(m_place->rank, epoch, work))
        return {};
    return fail(error_kind::Stale, "the model's state does not allow this order", "Look at the report");
}

result<rank_report> model_engine::report(time_point)
{
    const auto& group = *m_place->group;
    const auto& mine = group.at(m_place->rank);
    rank_report report;
    report.incarnation = mine.engineIncarnation;
    report.running = group.running();
    report.group = group_membership { group.name(), group.epoch(), m_place->rank, group.ranks(), group.isOpen() };
    report.step = group.step();
    report.mapVersion = mine.version;
    if (mine.prepared)
        report.prepared = mine.prepared->version;
    report.armed = mine.armed;
    report.held = mine.held;
    return report;
}

result<rank_demand> model_engine::demand(time_point)
{
    const auto& group = *m_place->group;
    const auto& mine = group.at(m_place->rank);
    return rank_demand { .incarnation = mine.engineIncarnation, .epoch = group.epoch(), .counts = mine.counts };
}

result<rank_maps> model_engine::maps(time_point)
{
    const auto& group = *m_place->group;
    const auto& mine = group.at(m_place->rank);
    return rank_maps { group.epoch(), { mine.version, mine.experts }, mine.prepared };
}

result<void> model_engine::prepare(
    group_epoch epoch, engine_map_version version, const group_map& map, time_point deadline)
{
    rank_experts own;
    for (const auto& set : map)
        own.push_back(set[m_place->rank]);
    return order(
        epoch,
        [version, own](model_group::member& mine, pass_number) {
            if (version <= mine.highest || mine.armed)
                return false;
            mine.highest = version;
            mine.prepared = rank_map_view { version, own };
            return true;
        },
        deadline);
}

result<void> model_engine::arm(group_epoch epoch, const armed_switch& target, time_point deadline)
{
    return order(
        epoch,
        [target](model_group::member& mine, pass_number step) {
            if (!mine.prepared || mine.prepared->version != target.version || step >= target.step)
                return false;
            mine.armed = target;
            return true;
        },
        deadline);
}

result<void> model_engine::disarm(group_epoch epoch, engine_map_version version, time_point deadline)
{
    return order(
        epoch,
        [version](model_group::member& mine, pass_number) {
            if (mine.armed && mine.armed->version == version)
                mine.armed.reset();
            return mine.version != version;
        },
        deadline);
}

result<void> model_engine::hold(group_epoch epoch, pass_number wanted, time_point deadline)
{
    return order(
        epoch,
        [wanted](model_group::member& mine, pass_number step) {
            if (step >= wanted || (mine.held && mine.held != wanted))
                return false;
            mine.held = wanted;
            return true;
        },
        deadline);
}

result<void> model_engine::release(group_epoch epoch, pass_number wanted, time_point deadline)
{
    return order(
        epoch,
        [wanted](model_group::member& mine, pass_number) {
            if (mine.held == wanted)
                mine.held.reset();
            return true;
        },
        deadline);
}

} // namespace coltsfootbend
