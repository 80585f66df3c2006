#include "coltsfootbend/group/agent_channel.h"

#include <utility>

namespace coltsfootbend {

namespace {

// Time for which the engine is called directly after its agent did not answer.
constexpr std::chrono::milliseconds agentPause { 1000 };
// Interval at which a rank that reported another group is asked again while this group is incomplete. Without repeating
// the question, a rank that has moved to this group is never found and the group makes no more map changes. Well below
// the seconds for which a group without one of its ranks is stalled anyway.
constexpr std::chrono::milliseconds otherGroupPause { 500 };

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
    , m_direct(runtime, *m_engine)
{
}

result<wire::rank_state> agent_channel::ask(const wire::rank_order& asked, time_point deadline)
{
    if (isAskedDirectly())
        return askEngine(asked, deadline);
    const auto reply = m_peers.ask(m_agent, bodyOf(asked), deadline);
    if (!reply) {
        m_agentSilentUntil = clock_type::now() + agentPause;
        m_peers.drop(m_agent);
        return tl::unexpected(reply.error());
    }
    if (const auto* state = std::get_if<wire::rank_state>(&reply->content)) {
        noteGroup(state->group);
        return *state;
    }
    const auto* told = std::get_if<wire::problem>(&reply->content);
    if (told && told->kind == static_cast<std::uint32_t>(error_kind::NotFound))
        noteGroup("");
    return fail(error_kind::Unavailable, told ? told->message : "the agent returned no state", "Check the agent's log");
}

result<void> agent_channel::hold(group_epoch epoch, pass_number step, time_point deadline)
{
    return m_engine->hold(epoch, step, deadline);
}

wire::relay_target agent_channel::relayTarget() const
{
    return { .number = 0, .host = m_agent.ip, .life = 0, .dataCentre = m_dataCentre };
}

void agent_channel::noteRelayed(const result<wire::rank_state>& state)
{
    if (state)
        noteGroup(state->group);
    else
        m_agentSilentUntil = clock_type::now() + agentPause;
}

void agent_channel::noteGroup(const std::string& group)
{
    m_hasNoGroup = group.empty();
    m_group = group;
    m_groupToldAt = clock_type::now();
}

bool agent_channel::mayBelongTo(const std::string& group, bool isComplete, time_point now) const
{
    const bool isAskedAgain = !isComplete && now >= m_groupToldAt + otherGroupPause;
    const bool mayBeOfGroup = !m_hasNoGroup && (m_group.empty() || m_group == group);
    return mayBeOfGroup || isAskedAgain;
}

result<wire::rank_state> agent_channel::askEngine(const wire::rank_order& asked, time_point deadline)
{
    const auto* query = std::get_if<wire::rank_query>(&asked);
    if (!query)
        return m_direct.answer(asked, deadline);
    // Reading demand counts from another VM slows the group down, and the counts of the other ranks are sufficient.
    auto reduced = *query;
    reduced.wantsDemand = false;
    return m_direct.answer(reduced, deadline);
}

} // namespace coltsfootbend
