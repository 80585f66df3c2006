#include "coltsfootbend/gateway/quarantine_network.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

// A request that was at one crash only is forgotten if all VMs end at once: most of these are innocent.
constexpr std::size_t crashesToKeep = 2;
// Enough that some are reached by everybody, few enough that a crash costs a gateway the same at any number of agents.
// The others hear of it by way of the digests.
constexpr std::size_t agentsToTell = 16;

} // namespace

quarantine_network::quarantine_network(fiber_runtime& runtime, const daemon_settings& settings,
    const deployment_watch& watch, agent_directory& agents, peer_client& peers,
    std::function<bool(const backend_server&)> saidItLeaves, crash_archive* archive, datagram_socket& socket)
    : m_watch(watch)
    , m_agents(agents)
    , m_saidItLeaves(std::move(saidItLeaves))
    , m_archive(archive)
    , m_witness(runtime, peers, [this](const backend_server& server) { return m_agents.near(server); })
    , m_requests(
          runtime, m_witness, [this](const backend_server& server) { return isLeaving(server); },
          [this](const std::vector<crash_record>& records) { publish(records); })
    , m_channel(settings.vm, socket)
    , m_gossip(m_requests.history(), m_channel)
{
    if (!m_archive)
        return;
    m_archive->onRestored([this](const std::vector<crash_record>& records) {
        m_requests.history().add(records, clock_type::now());
        m_requests.logChangedVerdicts();
    });
}

void quarantine_network::hear(const endpoint& sender, const wire::crash_report& report)
{
    m_gossip.receive(sender, report, clock_type::now());
    m_requests.logChangedVerdicts();
}

void quarantine_network::hearDigest(const endpoint& sender, std::uint64_t digest)
{
    m_gossip.receiveDigest(sender, digest, clock_type::now());
}

void quarantine_network::expire()
{
    m_requests.history().expire(clock_type::now());
    m_requests.logChangedVerdicts();
}

void quarantine_network::publish(const std::vector<crash_record>& records)
{
    auto receivers = m_agents.all();
    std::shuffle(receivers.begin(), receivers.end(), m_random);
    receivers.resize(std::min(receivers.size(), agentsToTell));
    m_gossip.send(records, receivers, clock_type::now());
    if (!m_archive)
        return;
    for (const auto& record : records) {
        const auto all = m_requests.history().recordsOf(record.request);
        if (all.size() >= crashesToKeep)
            m_archive->queueWrite(all);
    }
}

bool quarantine_network::isLeaving(const backend_server& server) const
{
    const auto* known = m_watch.directory().find(server.id);
    return !known || known->isLeaving || m_saidItLeaves(server);
}

} // namespace coltsfootbend
