#include "coltsfootbend/gateway/backend_directory.h"

#include <algorithm>
#include <utility>

namespace coltsfootbend {

bool backend_directory::put(const backend_server& server)
{
    const auto known = m_servers.find(server.id);
    if (known != m_servers.end() && server.incarnation < known->second.incarnation)
        return false;
    m_lapsed.erase(server.id);
    m_departures.erase(server.id);
    m_withheld.erase(server.id);
    m_servers[server.id] = server;
    return true;
}

bool backend_directory::putRestored(const backend_server& server, time_point now)
{
    const auto departed = m_departures.find(server.id);
    if (departed != m_departures.end() && server.incarnation <= departed->second.incarnation) {
        m_withheld[server.id] = { server, now + m_options.returnProofTime };
        return false;
    }
    const auto* known = find(server.id);
    auto restored = server;
    restored.isLeaving = server.isLeaving || (known && known->isLeaving && known->instance() == server.instance());
    return put(restored);
}

void backend_directory::erase(const backend_id& id, time_point now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end())
        return;
    m_departures[id] = { found->second.incarnation, now, found->second.isLeaving };
    m_servers.erase(found);
}

void backend_directory::discard(const backend_id& id)
{
    m_lapsed.erase(id);
    m_withheld.erase(id);
    m_servers.erase(id);
}

void backend_directory::remove(const backend_id& id, time_point now)
{
    m_withheld.erase(id);
    const auto found = m_servers.find(id);
    if (found == m_servers.end())
        return;
    if (now >= m_keepLapsedUntil && !m_failingSince) {
        if (!found->second.isLeaving)
            m_justRemoved.push_back(found->second);
        erase(id, now);
        m_lapsed.erase(id);
        return;
    }
    m_lapsed.emplace(id, std::max(m_keepLapsedUntil, now));
}

void backend_directory::retainOnly(const std::vector<backend_id>& present, time_point now)
{
    std::vector<backend_id> missing;
    for (const auto& [id, server] : m_servers) {
        if (std::find(present.begin(), present.end(), id) == present.end())
            missing.push_back(id);
    }
    for (const auto& id : missing)
        remove(id, now);
    std::erase_if(m_withheld,
        [&](const auto& entry) { return std::find(present.begin(), present.end(), entry.first) == present.end(); });
}

void backend_directory::storeFailed(time_point now)
{
    if (!m_failingSince)
        m_failingSince = now;
}

void backend_directory::storeAnswered(time_point now)
{
    if (m_failingSince && now - *m_failingSince >= m_options.outageThreshold) {
        m_keepLapsedUntil = now + m_options.registrationGracePeriod;
        for (auto& [id, until] : m_lapsed)
            until = m_keepLapsedUntil;
        // While the store was away, the platform could not show that a registration is not renewed.
        for (auto& [id, withheld] : m_withheld)
            withheld.until = now + m_options.returnProofTime;
    }
    m_failingSince.reset();
}

void backend_directory::storeRestored(time_point now)
{
    m_restoredUntil = now + m_options.registrationGracePeriod;
    m_keepLapsedUntil = std::max(m_keepLapsedUntil, m_restoredUntil);
    for (auto& [id, until] : m_lapsed)
        until = std::max(until, m_restoredUntil);
}

void backend_directory::restoreMassRemovals(time_point now)
{
    const auto removed = std::exchange(m_justRemoved, {});
    std::map<deployment_id, std::size_t> removedCounts;
    for (const auto& server : removed)
        ++removedCounts[server.deployment];
    std::map<deployment_id, std::size_t> listedCounts;
    for (const auto& [id, server] : m_servers)
        listedCounts[server.deployment] += server.isLeaving ? 0 : 1;
    const auto keptUntil = now + m_options.unnoticedOutageGracePeriod;
    for (const auto& server : removed) {
        if (removedCounts[server.deployment] <= listedCounts[server.deployment] || m_servers.contains(server.id))
            continue;
        m_servers.emplace(server.id, server);
        m_departures.erase(server.id);
        m_lapsed.emplace(server.id, keptUntil);
        m_massLapses.try_emplace(server.deployment, keptUntil);
    }
}

// A process that was cut off from the store sees the same as one whose store was unavailable to all. A server that left
// during the cut must get no further requests.
void backend_directory::removeIsolatedLapses(time_point now)
{
    if (m_failingSince || now < m_restoredUntil)
        return;
    restoreMassRemovals(now);
    struct tally {
        std::size_t listed = 0;
        std::size_t lapsed = 0;
    };
    std::map<deployment_id, tally> tallies;
    for (const auto& [id, server] : m_servers) {
        ++tallies[server.deployment].listed;
        tallies[server.deployment].lapsed += m_lapsed.contains(id) ? 1 : 0;
    }
    for (const auto& [deployment, tally] : tallies) {
        if (2 * tally.lapsed > tally.listed)
            m_massLapses.try_emplace(deployment, m_keepLapsedUntil);
    }
    std::erase_if(m_massLapses, [now](const auto& entry) { return now >= entry.second; });
    std::erase_if(m_lapsed, [&](const auto& entry) {
        if (m_massLapses.contains(m_servers.at(entry.first).deployment))
            return false;
        erase(entry.first, now);
        return true;
    });
}

std::size_t backend_directory::expire(time_point now)
{
    std::erase_if(
        m_departures, [&](const auto& entry) { return now >= entry.second.at + m_options.departureRetention; });
    // While the store is unavailable no registration can be renewed, so none is removed.
    if (m_failingSince)
        return 0;
    return std::erase_if(m_lapsed, [&](const auto& entry) {
        if (now < entry.second)
            return false;
        erase(entry.first, now);
        return true;
    });
}

std::vector<backend_server> backend_directory::admitReturned(time_point now)
{
    std::vector<backend_server> admitted;
    if (m_failingSince)
        return admitted;
    for (const auto& [id, withheld] : m_withheld) {
        if (now >= withheld.until)
            admitted.push_back(withheld.server);
    }
    for (const auto& server : admitted)
        put(server);
    return admitted;
}

bool backend_directory::leavesAsPlanned(const backend_server& server, time_point now) const
{
    if (const auto* known = find(server.id))
        return known->isLeaving;
    const auto departed = m_departures.find(server.id);
    const bool isRemembered = departed != m_departures.end() && departed->second.incarnation == server.incarnation;
    return !isRemembered || departed->second.wasAnnounced || now >= departed->second.at + m_options.unplannedEndTime;
}

std::set<backend_instance> backend_directory::listedAt(const endpoint& address) const
{
    std::set<backend_instance> listed;
    for (const auto& [id, server] : m_servers) {
        if (server.address == address)
            listed.insert(server.instance());
    }
    return listed;
}

const backend_server* backend_directory::find(const backend_id& id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

} // namespace coltsfootbend
