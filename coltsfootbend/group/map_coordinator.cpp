#include "coltsfootbend/group/map_coordinator.h"

#include <algorithm>

namespace coltsfootbend {

map_coordinator::map_coordinator(const options& options)
    : m_options(options)
    , m_ranks(options.ranks)
    , m_highestEpochSeen(options.epoch)
{
}

std::vector<coordinator_order> map_coordinator::tick(time_point now)
{
    const bool undecided = m_state == state::Preparing || m_state == state::Proposing;
    if (undecided && now >= m_options.decisionDeadline)
        return abandon();
    if (now < m_retryAt)
        return {};
    return pendingRequests(now);
}

std::vector<coordinator_order> map_coordinator::handle(time_point now, rank_number rank, const rank_message& message)
{
    if (rank >= m_ranks.size())
        return {};
    const auto before = m_state;
    std::visit([&](const auto& body) { on(rank, body); }, message);
    return m_state == before ? std::vector<coordinator_order> {} : pendingRequests(now);
}

void map_coordinator::on(rank_number rank, const map_loaded& message)
{
    if (message.map != m_options.map)
        return;
    m_ranks[rank].loaded = true;
    const bool all = std::all_of(m_ranks.begin(), m_ranks.end(), [](const rank_state& state) { return state.loaded; });
    if (m_state == state::Preparing && all)
        m_state = state::Proposing;
}

void map_coordinator::on(rank_number rank, const switch_promised& message)
{
    if (m_state != state::Proposing || message.epoch != m_options.epoch)
        return;
    m_ranks[rank].promise = message;
    const bool all = std::all_of(
        m_ranks.begin(), m_ranks.end(), [](const rank_state& state) { return state.promise.has_value(); });
    if (!all)
        return;
    decide();
    m_state = state::Deciding;
}

// Called once every rank has promised: no lower epoch can decide any more, and every earlier decision is part of the
// schedule of a rank that received it.
void map_coordinator::decide()
{
    std::vector<map_segment> segments;
    step_number highestLimit = 0;
    decide_switch decision { .epoch = m_options.epoch, .schedule = {}, .incarnations = {} };
    for (const auto& rank : m_ranks) {
        const auto& promise = *rank.promise;
        const auto& known = promise.schedule.segments;
        segments.insert(segments.end(), known.begin(), known.end());
        highestLimit = std::max(highestLimit, promise.limit);
        decision.incarnations.push_back(promise.rankIncarnation);
    }
    // Decisions only append segments, so the ranks' schedules are parts of one history.
    std::sort(segments.begin(), segments.end());
    segments.erase(std::unique(segments.begin(), segments.end()), segments.end());
    // No rank has granted a step beyond the highest limit, and none will before it takes this decision. Segments that
    // an earlier decision planned beyond that limit have not begun and are dropped.
    m_switchStep = highestLimit + 1;
    std::erase_if(segments, [this](const map_segment& segment) { return segment.from >= m_switchStep; });
    segments.push_back({ m_switchStep, m_options.map });
    decision.schedule = { m_options.epoch, std::move(segments) };
    m_decision = decision;
}

void map_coordinator::on(rank_number rank, const switch_applied& message)
{
    if (m_state != state::Deciding || message.epoch != m_options.epoch)
        return;
    m_ranks[rank].applied = true;
    if (std::all_of(m_ranks.begin(), m_ranks.end(), [](const rank_state& state) { return state.applied; }))
        m_state = state::Done;
}

void map_coordinator::on(rank_number rank, const switch_refused& message)
{
    if (message.epoch != m_options.epoch)
        return;
    m_highestEpochSeen = std::max(m_highestEpochSeen, message.promised);
    if (m_state == state::Done || m_state == state::Abandoned)
        return;
    const bool isNewIncarnation = m_state == state::Deciding && message.promised < m_options.epoch;
    if (message.promised > m_options.epoch || isNewIncarnation) {
        m_state = state::Superseded;
    } else if (m_state == state::Proposing) {
        // The rank has not loaded the map, for instance after a restart: repeat the preparation.
        m_ranks[rank] = {};
        m_state = state::Preparing;
    }
}

std::vector<coordinator_order> map_coordinator::pendingRequests(time_point now)
{
    m_retryAt = now + m_options.retryInterval;
    std::vector<coordinator_order> orders;
    for (rank_number rank = 0; rank < m_ranks.size(); ++rank) {
        const auto& state = m_ranks[rank];
        if (m_state == state::Preparing && !state.loaded)
            orders.push_back({ rank, prepare_map { m_options.epoch, m_options.map } });
        else if (m_state == state::Proposing && !state.promise)
            orders.push_back({ rank, propose_switch { m_options.epoch, m_options.map } });
        else if (m_state == state::Deciding && !state.applied)
            orders.push_back({ rank, *m_decision });
    }
    return orders;
}

// Safe because nothing has been decided and this object sends no decision in its final state.
std::vector<coordinator_order> map_coordinator::abandon()
{
    const bool promised = m_state == state::Proposing;
    m_state = state::Abandoned;
    std::vector<coordinator_order> orders;
    for (rank_number rank = 0; promised && rank < m_ranks.size(); ++rank)
        orders.push_back({ rank, release_promise { m_options.epoch } });
    return orders;
}

} // namespace coltsfootbend
