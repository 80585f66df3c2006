#pragma once

// The agent beside one engine. It tells gateways the engine's load, which it reads fresh, answers the leader of the
// engine's group, and leads itself when no leader is heard. Keeps nothing that another agent could not read from the
// ranks. Found through the kernel as "rank".
//
//     kernel.add(std::make_unique<rank_service>(runtime, settings, engine, engineAt));

#include "coltsfootbend/gateway/deployment_watch.h"
#include "coltsfootbend/group/load_subscribers.h"
#include "coltsfootbend/group/map_leader.h"
#include "coltsfootbend/group/map_participant.h"
#include "coltsfootbend/group/news_schedule.h"
#include "coltsfootbend/group/relay_peers.h"
#include "coltsfootbend/metrics/metrics.h"
#include "coltsfootbend/net/datagram.h"
#include "coltsfootbend/permits/permit_service.h"
#include "coltsfootbend/quarantine/datagram_crash_channel.h"
#include "coltsfootbend/settings/settings.h"

#include <functional>
#include <map>
#include <memory>
#include <random>

namespace coltsfootbend {

class agent_channel;

class rank_service final : public service {
public:
    // Makes a client of the engine at an address, for ranks whose agent does not answer.
    using engine_source = std::function<std::unique_ptr<rank_engine>(const endpoint&)>;

    rank_service(fiber_runtime&, const daemon_settings&, engine_source);
    ~rank_service() override;

    std::string_view name() const override { return "rank"; }
    result<void> start(kernel&) override;
    void stop() override;

private:
    void answerPeers();
    // Whether anybody listens at a backend server's address.
    wire::port_finding lookAt(const wire::port_inquiry&);
    void newsLoop();
    void receiveLoop();
    void hearGateway(const endpoint& sender, const wire::load_subscribe&);
    void tellLoad(const rank_report&);
    void leadLoop();
    // Leads, or waits for who does. Returns when to look again.
    duration leadOrFollow();
    // Null where the engine's deployment has no expert maps.
    const engine_model* engineModel() const;
    double gainPerMove(const engine_model&) const;
    // Experts that one change may bring to a rank, so that copying them holds the change up for no longer than that.
    static std::uint32_t copiesPerRank(const engine_model&);
    map_leader* leader();
    void updateOthers();
    duration silenceLimit() const;

    fiber_runtime& m_runtime;
    const daemon_settings& m_settings;
    const engine_source m_engineAt;
    const std::unique_ptr<rank_engine> m_engine;
    map_participant m_participant;
    deployment_watch* m_watch = nullptr;
    metrics_service* m_metrics = nullptr;
    peer_service* m_peers = nullptr;
    std::unique_ptr<datagram_socket> m_news;
    // What gateways tell each other by way of agents.
    crash_history m_crashes;
    std::unique_ptr<datagram_crash_channel> m_crashChannel;
    std::unique_ptr<crash_gossip> m_gossip;
    std::unique_ptr<permit_service> m_permits;
    load_subscribers m_subscribers { std::random_device {}() };
    std::optional<group_membership> m_group; // By the last report.
    news_schedule m_newsSchedule;
    std::map<endpoint, std::shared_ptr<agent_channel>> m_channels; // By the engine's address.
    std::unique_ptr<peer_relay_transport> m_transport;
    std::unique_ptr<order_relay> m_relay;
    std::unique_ptr<relay_carrier> m_carrier;
    std::unique_ptr<relay_node> m_node;
    std::unique_ptr<map_leader> m_leader;
    bool m_stopped = false;
};

} // namespace coltsfootbend
