#pragma once

// Connects a gateway's quarantine with the rank agents, which confirm crashes and distribute crash records, and with
// the store, which keeps the records of requests with repeated crashes. Doesn't decide which requests are quarantined:
// see `quarantine/crash_history.h`.
//
//     quarantine_network network(runtime, settings, watch, agents, peers, hasAnnouncedLeaving, archive, socket);
//     network.receiveDigest(sender, news.crashes);
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

// Owns the gateway's `request_quarantine` and exchanges its crash records with agents and the store.
class quarantine_network {
public:
    // `hasAnnouncedLeaving` returns whether a server has announced to this gateway that it leaves. `archive` is null if
    // no records are stored.
    quarantine_network(fiber_runtime&, const daemon_settings&, const deployment_watch&, agent_directory&, peer_client&,
        std::function<bool(const backend_server&)> hasAnnouncedLeaving, crash_archive* archive, datagram_socket&);
    quarantine_network(const quarantine_network&) = delete;
    quarantine_network& operator=(const quarantine_network&) = delete;

    request_quarantine& requests() { return m_requests; }

    // Adds the crash records that an agent reports.
    void receiveReport(const endpoint& sender, const wire::crash_report&);
    // Receives the digest of an agent's crash records, and exchanges records with the agent if it differs.
    void receiveDigest(const endpoint& sender, std::uint64_t digest);
    // Drops expired records; to be called about once a second.
    void expire();
    // Called when the store has come back from an older copy, so that records may be missing in it.
    void onStoreRestored();

private:
    // Sends new records to some agents, which distribute them to the others, and stores those of repeated crashes.
    void publish(const std::vector<crash_record>&);
    // Stores the records of repeated crashes.
    void store(const std::vector<crash_record>&);
    // Returns whether this gateway has lost requests at servers lately and reaches no agent, so that it exchanges
    // records with other gateways through the store.
    bool mustUseStore(time_point now) const;
    // Returns the number of crashes of a suspect from which on its records are stored.
    std::size_t crashesToStore() const;
    // Returns the records of all suspects with so many crashes.
    std::vector<crash_record> recordsToStore() const;
    // Returns whether the server has announced that it leaves, or is no longer registered.
    bool isLeaving(const backend_server&) const;

    const deployment_watch& m_watch;
    agent_directory& m_agents;
    const std::function<bool(const backend_server&)> m_hasAnnouncedLeaving;
    crash_archive* const m_archive;
    std::minstd_rand m_random { std::random_device {}() };
    peer_crash_verifier m_witness;
    request_quarantine m_requests;
    datagram_crash_channel m_channel;
    crash_gossip m_gossip;
};

} // namespace coltsfootbend
