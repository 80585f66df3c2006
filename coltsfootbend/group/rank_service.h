#pragma once

// The agent of one engine. Reads the engine's load and sends it to gateways, carries out orders of the leader of the
// engine's group, and takes over as leader if the leader is unresponsive. Holds no state that another agent could not
// read from the ranks. Registered in the kernel as "rank".
//
//     kernel.add(std::make_unique<rank_service>(runtime, settings, makeEngine));

#include "coltsfootbend/gateway/deployment_watch.h"
#include "coltsfootbend/group/load_subscribers.h"
#include "coltsfootbend/group/load_update_schedule.h"
#include "coltsfootbend/group/map_leader.h"
#include "coltsfootbend/group/map_participant.h"
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
    // Creates a client of the engine at an address: of the own engine, and of ranks whose agent is unresponsive.
    using engine_factory = std::function<std::unique_ptr<rank_engine>(const endpoint&)>;

    rank_service(fiber_runtime&, const daemon_settings&, engine_factory);
    ~rank_service() override;

    std::string_view name() const override { return "rank"; }
    result<void> start(kernel&) override;
    void stop() override;

private:
    void registerHandlers();
    // Probes whether a process listens at a backend server's address.
    wire::port_finding probeServerPort(const wire::port_inquiry&);
    void loadUpdateLoop();
    void receiveLoop();
    void onLoadSubscribe(const endpoint& sender, const wire::load_subscribe&);
    void sendLoadUpdate(const rank_report&);
    void leaderLoop();
    // Performs one cycle as the leader, or checks whether to take over. Returns the time until the next cycle.
    duration leadOrFollow();
    // Returns null if the engine's deployment has no expert maps.
    const engine_model* engineModel() const;
    // Returns the minimum gain that one copied expert must bring in one set to be worth its copy.
    double gainPerMove(const engine_model&) const;
    // Returns how many experts one change may copy to a rank within the time limit for copies.
    static std::uint32_t copiesPerRank(const engine_model&);
    // Returns the leader's logic, created on first use; null if the engine's deployment has no expert maps.
    map_leader* leader();
    // Passes the channels of the group's other ranks to the leader's logic.
    void updateOtherRanks();
    // Returns how long this rank waits for a leader's message before it takes over.
    duration takeoverTimeout() const;

    fiber_runtime& m_runtime;
    const daemon_settings& m_settings;
    const engine_factory m_makeEngine;
    const std::unique_ptr<rank_engine> m_engine;
    map_participant m_participant;
    deployment_watch* m_watch = nullptr;
    metrics_service* m_metrics = nullptr;
    peer_service* m_peers = nullptr;
    std::unique_ptr<datagram_socket> m_datagrams;
    // Crashes of backend servers, which gateways exchange through agents.
    crash_history m_crashes;
    std::unique_ptr<datagram_crash_channel> m_crashChannel;
    std::unique_ptr<crash_gossip> m_gossip;
    std::unique_ptr<permit_service> m_permits;
    load_subscribers m_subscribers { std::random_device {}() };
    std::optional<group_membership> m_group; // By the last report.
    load_update_schedule m_loadUpdateSchedule;
    std::map<endpoint, std::shared_ptr<agent_channel>> m_channels; // By the engine's address.
    std::unique_ptr<peer_relay_transport> m_transport;
    std::unique_ptr<order_relay> m_relay;
    std::unique_ptr<relay_dispatcher> m_dispatcher;
    std::unique_ptr<relay_node> m_node;
    std::unique_ptr<map_leader> m_leader;
    bool m_stopped = false;
};

} // namespace coltsfootbend
