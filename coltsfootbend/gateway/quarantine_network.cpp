#include "coltsfootbend/gateway/quarantine_network.h"

#include <algorithm>
#include <map>

namespace coltsfootbend {

namespace {

// Crashes of a suspect from which on its records are stored. Most suspects with a single crash are unrelated to it, so
// their records may be lost if all VMs terminate at once.
constexpr std::size_t minCrashesToStore = 2;
// How long after it lost a request at a server a gateway follows the store if it reaches no agent.
constexpr std::chrono::seconds followTime { 60 };
// Agents to which a gateway sends a new record. Enough that every process reaches some of them, and bounded so that the
// cost of a crash for a gateway does not grow with the number of agents. The other agents receive it through the
// digests.
constexpr std::size_t maxNotifiedAgents = 16;

} // namespace

quarantine_network::quarantine_network(fiber_runtime& runtime, const daemon_settings& settings,
    const deployment_watch& watch, agent_directory& agents, peer_client& peers,
    std::function<bool(const backend_server&)> hasAnnouncedLeaving, crash_archive* archive, datagram_socket& socket)
    : m_watch(watch)
    , m_agents(agents)
    , m_hasAnnouncedLeaving(std::move(hasAnnouncedLeaving))
    , m_archive(archive)
    , m_witness(runtime, peers, [this](const backend_server& server) { return m_agents.near(server); })
    , m_requests(
          runtime, m_witness, [this](const backend_server& server) { return isLeaving(server); },
          [this](const endpoint& address) { return m_watch.directory().listedAt(address); },
          [this](const std::vector<crash_record>& records) { publish(records); })
    , m_channel(settings.vm, socket)
    , m_gossip(m_requests.history(), m_channel)
{
    if (!m_archive)
        return;
    m_archive->onRestored([this](const std::vector<crash_record>& records) {
        const auto added = m_requests.history().add(records, clock_type::now());
        store(m_requests.clearCompleted(added));
        m_requests.logChangedVerdicts();
    });
    m_archive->setSource([this] { return recordsToStore(); });
    m_archive->followWhile([this] { return mustUseStore(clock_type::now()); });
}

bool quarantine_network::mustUseStore(time_point now) const
{
    return !m_agents.isAnyReachable(now) && now < m_requests.lastLossAt() + followTime;
}

std::size_t quarantine_network::crashesToStore() const
{
    return mustUseStore(clock_type::now()) ? 1 : minCrashesToStore;
}

void quarantine_network::onStoreRestored()
{
    if (m_archive)
        m_archive->onStoreRestored();
}

std::vector<crash_record> quarantine_network::recordsToStore() const
{
    auto records = m_requests.history().records();
    std::map<crash_suspect, std::size_t> crashes;
    for (const auto& record : records)
        ++crashes[record.suspect];
    std::erase_if(records, [&](const auto& record) { return crashes[record.suspect] < crashesToStore(); });
    return records;
}

void quarantine_network::receiveReport(const endpoint& sender, const wire::crash_report& report)
{
    const auto now = clock_type::now();
    const auto cleared = m_requests.clearCompleted(m_gossip.receive(sender, report, now));
    // The sender distributes them to the others, so that the cost of a part does not grow with gateways and agents.
    m_gossip.send(cleared, { sender }, now);
    store(cleared);
    m_requests.logChangedVerdicts();
}

void quarantine_network::receiveDigest(const endpoint& sender, std::uint64_t digest)
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
    receivers.resize(std::min(receivers.size(), maxNotifiedAgents));
    m_gossip.send(records, receivers, clock_type::now());
    store(records);
}

void quarantine_network::store(const std::vector<crash_record>& records)
{
    if (!m_archive)
        return;
    for (const auto& record : records) {
        const auto all = m_requests.history().recordsOf(record.suspect);
        if (all.size() >= crashesToStore())
            m_archive->queueWrite(all);
    }
}

bool quarantine_network::isLeaving(const backend_server& server) const
{
    return m_watch.directory().leavesAsPlanned(server, clock_type::now()) || m_hasAnnouncedLeaving(server);
}

} // namespace coltsfootbend
