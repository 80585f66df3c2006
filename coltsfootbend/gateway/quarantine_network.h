#pragma once

// Connects a gateway's quarantine with the rest of the system: rank agents, who prove crashes and pass news of them on,
// and the store, which keeps what is serious. Not for the verdicts: see `quarantine/crash_history.h`.
//
//     quarantine_network network(runtime, settings, watch, agents, peers, saidItLeaves, archive, socket);
//     network.hearDigest(sender, news.crashes);
//     exchange(..., network.requests(), ...)

#include "coltsfootbend/gateway/agent_directory.h"
#include "coltsfootbend/gateway/request_quarantine.h"
#include "coltsfootbend/quarantine/crash_archive.h"
#include "coltsfootbend/quarantine/datagram_crash_channel.h"
#include "coltsfootbend/settings/settings.h"

#include <functional>
#include <random>
#include <vector>

namespace coltsfootbend {

class quarantine_network {
public:
    // `saidItLeaves`: whether a server has told this gateway so itself. `archive` is null where nothing is kept.
    quarantine_network(fiber_runtime&, const daemon_settings&, const deployment_watch&, agent_directory&, peer_client&,
        std::function<bool(const backend_server&)> saidItLeaves, crash_archive* archive, datagram_socket&);
    quarantine_network(const quarantine_network&) = delete;
    quarantine_network& operator=(const quarantine_network&) = delete;

    request_quarantine& requests() { return m_requests; }

    void hear(const endpoint& sender, const wire::crash_report&);
    void hearDigest(const endpoint& sender, std::uint64_t digest);
    // To be called about once a second.
    void expire();

private:
    // Tells some agents, by way of whom all others hear, and has the store keep what is serious.
    void publish(const std::vector<crash_record>&);
    // Announced that it leaves, or is not registered any more.
    bool isLeaving(const backend_server&) const;

    const deployment_watch& m_watch;
    agent_directory& m_agents;
    const std::function<bool(const backend_server&)> m_saidItLeaves;
    crash_archive* const m_archive;
    std::minstd_rand m_random { std::random_device {}() };
    peer_crash_verifier m_witness;
    request_quarantine m_requests;
    datagram_crash_channel m_channel;
    crash_gossip m_gossip;
};

} // namespace coltsfootbend
