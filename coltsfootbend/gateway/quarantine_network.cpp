#include "coltsfootbend/gateway/quarantine_network.h"

#include <algorithm>
#include <set>

namespace coltsfootbend {

namespace {

// A request that was at one crash only is forgotten if all VMs end at once: most of these are innocent.
constexpr std::size_t crashesToKeep = 2;
// Enough that some are reached by everybody, few enough that a crash costs a gateway the same at any number of agents.
// The others hear of it by way of the digests.
constexpr std::size_t agentsToTell = 16;

} // namespace

quarantine_network::quarantine_network(fiber_runtime& runtime, const daemon_settings& settings,
    const deployment_watch& watch, peer_client& peers, crash_archive* archive, datagram_socket& socket)
    : m_settings(settings)
    , m_watch(watch)
    , m_archive(archive)
    , m_witness(runtime, peers, [this](const backend_server& server) { return agentsNear(server); })
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
        m_requests.review();
    });
}

void quarantine_network::hear(const endpoint& sender, const wire::crash_report& report)
{
    m_gossip.hear(sender, report, clock_type::now());
    m_requests.review();
}

void quarantine_network::hearDigest(const endpoint& sender, std::uint64_t digest)
{
    m_gossip.hearDigest(sender, digest, clock_type::now());
}

void quarantine_network::expire()
{
    m_requests.history().expire(clock_type::now());
    m_requests.review();
}

void quarantine_network::publish(const std::vector<crash_record>& records)
{
    auto receivers = agents();
    std::shuffle(receivers.begin(), receivers.end(), m_random);
    receivers.resize(std::min(receivers.size(), agentsToTell));
    m_gossip.tell(records, receivers, clock_type::now());
    if (!m_archive)
        return;
    for (const auto& record : records) {
        const auto all = m_requests.history().recordsOf(record.request);
        if (all.size() >= crashesToKeep)
            m_archive->keep(all);
    }
}

bool quarantine_network::isLeaving(const backend_server& server) const
{
    const auto* known = m_watch.directory().find(server.id);
    return !known || known->isLeaving;
}

bool quarantine_network::hasAgent(const backend_server& server) const
{
    const auto& catalogue = m_watch.catalogue();
    const auto* deployment = catalogue ? catalogue->findDeployment(server.deployment) : nullptr;
    return deployment && deployment->engine;
}

endpoint quarantine_network::agentBeside(const backend_server& server) const
{
    return { server.address.ip, m_settings.peers.port };
}

std::vector<endpoint> quarantine_network::agents() const
{
    std::set<endpoint> found;
    for (const auto& [id, server] : m_watch.directory().servers()) {
        if (hasAgent(server))
            found.insert(agentBeside(server));
    }
    return { found.begin(), found.end() };
}

std::vector<endpoint> quarantine_network::agentsNear(const backend_server& server)
{
    std::vector<endpoint> found;
    for (const auto& [id, other] : m_watch.directory().servers()) {
        if (hasAgent(other) && other.dataCentre == server.dataCentre && other.address.ip != server.address.ip)
            found.push_back(agentBeside(other));
    }
    std::shuffle(found.begin(), found.end(), m_random);
    if (hasAgent(server))
        found.insert(found.begin(), agentBeside(server));
    return found;
}

} // namespace coltsfootbend
