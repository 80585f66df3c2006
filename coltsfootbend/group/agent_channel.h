#pragma once

// Sends orders to one rank through its agent, which may call its engine free of charge. While the agent is
// unresponsive, calls the engine directly from this VM, at the platform's price per call. Remembers the group that the
// rank last reported. Not for sending one order to many ranks: see `group/rank_channel.h`.
//
//     agent_channel channel(runtime, peers, agentAddress, std::move(engine));
//     auto state = channel.ask(query, deadline);

#include "coltsfootbend/group/rank_channel.h"
#include "coltsfootbend/wire/peer.h"

#include <memory>
#include <string>

namespace coltsfootbend {

class agent_channel final : public rank_channel {
public:
    agent_channel(fiber_runtime&, peer_client&, endpoint agent, std::unique_ptr<rank_engine>);

    result<wire::rank_state> ask(const wire::rank_order&, time_point deadline) override;
    result<void> hold(group_epoch, pass_number step, time_point deadline) override;
    wire::relay_target relayTarget() const override;
    bool isAgentUnresponsive() const override { return clock_type::now() < m_agentUnresponsiveUntil; }
    void onRelayedAnswer(const result<wire::rank_state>&) override;

    // Sets the data centre of the rank's VM, numbered by the leader.
    void setDataCentre(std::uint32_t number) { m_dataCentre = number; }

    // Returns false while the rank is known to belong to another group, or to none. While `group` is incomplete, the
    // rank may have joined it since, so this returns true again after a pause.
    bool mayBelongTo(const std::string& group, bool isComplete, time_point now) const;

private:
    result<wire::rank_state> askEngine(const wire::rank_order&, time_point deadline);
    void setGroup(const std::string& group);

    peer_client& m_peers;
    const endpoint m_agent;
    const std::unique_ptr<rank_engine> m_engine;
    map_participant m_directParticipant;
    std::uint32_t m_dataCentre = 0;
    time_point m_agentUnresponsiveUntil {};
    std::string m_group;
    time_point m_groupReportedAt {};
    bool m_hasNoGroup = false;
};

} // namespace coltsfootbend
