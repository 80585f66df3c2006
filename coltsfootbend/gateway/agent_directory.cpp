#include "coltsfootbend/gateway/agent_directory.h"

#include "coltsfootbend/base/hash.h"

#include <algorithm>
#include <set>

namespace coltsfootbend {

bool agent_directory::hasAgent(const backend_server& server) const
{
    const auto& catalogue = m_watch.catalogue();
    const auto* deployment = catalogue ? catalogue->findDeployment(server.deployment) : nullptr;
    return deployment && deployment->engine;
}

std::vector<endpoint> agent_directory::all() const
{
    std::set<endpoint> found;
    for (const auto& [id, server] : m_watch.directory().servers()) {
        if (hasAgent(server))
            found.insert(agentOf(server));
    }
    return { found.begin(), found.end() };
}

std::vector<endpoint> agent_directory::near(const backend_server& server)
{
    std::vector<endpoint> found;
    for (const auto& [id, other] : m_watch.directory().servers()) {
        if (hasAgent(other) && other.dataCentre == server.dataCentre && other.address.ip != server.address.ip)
            found.push_back(agentOf(other));
    }
    std::shuffle(found.begin(), found.end(), m_random);
    if (hasAgent(server))
        found.insert(found.begin(), agentOf(server));
    return found;
}

bool agent_directory::hasAny() const
{
    const auto& servers = m_watch.directory().servers();
    return std::any_of(servers.begin(), servers.end(), [this](const auto& entry) { return hasAgent(entry.second); });
}

bool agent_directory::isReachable(const endpoint& agent, time_point now) const
{
    const auto found = m_reachableUntil.find(agent);
    return found != m_reachableUntil.end() && now < found->second;
}

void agent_directory::setUsedEngines(const std::vector<endpoint>& engines)
{
    m_usedAgents.clear();
    for (const auto& engine : engines)
        m_usedAgents.push_back({ engine.ip, m_port });
}

std::vector<endpoint> agent_directory::subscribed(time_point now)
{
    std::set<endpoint> agents(m_usedAgents.begin(), m_usedAgents.end());
    std::erase_if(m_issuerUntil, [now](const auto& entry) { return now >= entry.second; });
    for (const auto& [agent, until] : m_issuerUntil)
        agents.insert(agent);
    std::erase_if(m_subscribedSince, [&](const auto& entry) { return !agents.contains(entry.first); });
    for (const auto& agent : agents)
        m_subscribedSince.emplace(agent, now);
    return { agents.begin(), agents.end() };
}

bool agent_directory::mayBeReachable(const endpoint& agent, time_point now) const
{
    const auto since = m_subscribedSince.find(agent);
    return isReachable(agent, now) || since == m_subscribedSince.end() || now < since->second + reportTimeout;
}

std::optional<endpoint> agent_directory::issuerFor(const backend_server& server, time_point now)
{
    auto issuer = m_issuers.choose(permit_subject(server.id.text()), rankIssuers(server, now), now);
    if (issuer)
        m_issuerUntil[*issuer] = now + issuerInterest;
    return issuer;
}

std::vector<endpoint> agent_directory::rankIssuers(const backend_server& server, time_point now) const
{
    std::set<endpoint> near;
    std::set<endpoint> all;
    for (const auto& [id, other] : m_watch.directory().servers()) {
        if (!hasAgent(other))
            continue;
        all.insert(agentOf(other));
        if (other.dataCentre == server.dataCentre)
            near.insert(agentOf(other));
    }
    const auto own = hasAgent(server) ? std::optional(agentOf(server)) : std::nullopt;
    std::vector<vm_id> others;
    for (const auto& agent : near.empty() ? all : near) {
        if (agent != own && mayBeReachable(agent, now))
            others.emplace_back(toString(agent));
    }
    std::vector<endpoint> ranked;
    if (own && mayBeReachable(*own, now))
        ranked.push_back(*own);
    for (const auto& agent : rendezvousRanking(server.id.text(), others, others.size())) {
        if (const auto address = parseEndpoint(agent.text()))
            ranked.push_back(*address);
    }
    return ranked;
}

bool agent_directory::isAnyReachable(time_point now) const
{
    return std::any_of(
        m_reachableUntil.begin(), m_reachableUntil.end(), [now](const auto& entry) { return now < entry.second; });
}

void agent_directory::expire(time_point now)
{
    m_issuers.expire(now);
    std::erase_if(m_reachableUntil, [now](const auto& entry) { return now >= entry.second; });
}

} // namespace coltsfootbend
