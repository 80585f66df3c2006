#include "coltsfootbend/gateway/agent_directory.h"

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
            found.insert(beside(server));
    }
    return { found.begin(), found.end() };
}

std::vector<endpoint> agent_directory::near(const backend_server& server)
{
    std::vector<endpoint> found;
    for (const auto& [id, other] : m_watch.directory().servers()) {
        if (hasAgent(other) && other.dataCentre == server.dataCentre && other.address.ip != server.address.ip)
            found.push_back(beside(other));
    }
    std::shuffle(found.begin(), found.end(), m_random);
    if (hasAgent(server))
        found.insert(found.begin(), beside(server));
    return found;
}

} // namespace coltsfootbend
