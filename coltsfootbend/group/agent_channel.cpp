#include "coltsfootbend/group/agent_channel.h"

#include <utility>

namespace coltsfootbend {

namespace {

// Time for which the engine is called directly after its agent did not answer.
constexpr std::chrono::milliseconds directCallPeriod { 1000 };
// Interval at which a rank that reported another group is asked again while this group is incomplete. Without repeating
// the question, a rank that has moved to this group is never found and the group makes no more map changes. Well below
// the seconds for which a group without one of its ranks is stalled anyway.
constexpr std::chrono::milliseconds otherGroupRetryInterval { 500 };

wire::body bodyOf(const wire::rank_order& order)
{
    return std::visit([](const auto& message) { return wire::body(message); }, order);
}

} // namespace

agent_channel::agent_channel(
    fiber_runtime& runtime, peer_client& peers, endpoint agent, std::unique_ptr<rank_engine> engine)
    : m_peers(peers)
    , m_agent(std::move(agent))
    , m_engine(std::move(engine))
    , m_directParticipant(runtime, *m_engine)
{
}

result<wire::rank_state> agent_channel::ask(const wire::rank_order& order, time_point deadline)
{
    if (isAgentUnresponsive())
        return askEngine(order, deadline);
    const auto reply = m_peers.ask(m_agent, bodyOf(order), deadline);
    if (!reply) {
        m_agentUnresponsiveUntil = clock_type::now() + directCallPeriod;
        m_peers.drop(m_agent);
        return tl::unexpected(reply.error());
    }
    if (const auto* state = std::get_if<wire::rank_state>(&reply->content)) {
        setGroup(state->group);
        return *state;
    }
    const auto* problem = std::get_if<wire::problem>(&reply->content);
    if (problem && problem->kind == static_cast<std::uint32_t>(error_kind::NotFound))
        setGroup("");
    return fail(
        error_kind::Unavailable, problem ? problem->message : "the agent returned no state", "Check the agent's log");
}

result<void> agent_channel::hold(group_epoch epoch, pass_number step, time_point deadline)
{
    return m_engine->hold(epoch, step, deadline);
}

wire::relay_target agent_channel::relayTarget() const
{
    return { .number = 0, .host = m_agent.ip, .engineIncarnation = 0, .dataCentre = m_dataCentre };
}

void agent_channel::onRelayedAnswer(const result<wire::rank_state>& state)
{
    if (state)
        setGroup(state->group);
    else
        m_agentUnresponsiveUntil = clock_type::now() + directCallPeriod;
}

void agent_channel::setGroup(const std::string& group)
{
    m_hasNoGroup = group.empty();
    m_group = group;
    m_groupReportedAt = clock_type::now();
}

bool agent_channel::mayBelongTo(const std::string& group, bool isComplete, time_point now) const
{
    const bool isRetryDue = !isComplete && now >= m_groupReportedAt + otherGroupRetryInterval;
    const bool mayBeMember = !m_hasNoGroup && (m_group.empty() || m_group == group);
    return mayBeMember || isRetryDue;
}

result<wire::rank_state> agent_channel::askEngine(const wire::rank_order& order, time_point deadline)
{
    const auto* query = std::get_if<wire::rank_query>(&order);
    if (!query)
        return m_directParticipant.answer(order, deadline);
    // Reading demand counts from another VM slows the group down, and the counts of the other ranks are sufficient.
    auto reduced = *query;
    reduced.wantsDemand = false;
    return m_directParticipant.answer(reduced, deadline);
}

} // namespace coltsfootbend
