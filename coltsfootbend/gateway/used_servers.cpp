#include "coltsfootbend/gateway/used_servers.h"

#include "coltsfootbend/gateway/server_subset.h"

namespace coltsfootbend {

void used_servers::update(const std::map<backend_id, backend_server>& listed, const catalogue& catalogue,
    const std::set<data_centre_id>& evacuated)
{
    std::map<deployment_id, std::map<backend_id, backend_server>> engines;
    m_servers.clear();
    for (const auto& [id, server] : listed) {
        const auto* deployment = catalogue.findDeployment(server.deployment);
        auto& servers = deployment && deployment->engine ? engines[server.deployment] : m_servers;
        servers.emplace(id, server);
    }
    const subset_options options { .gateway = m_gateway, .localDataCentre = m_localDataCentre };
    const auto isUsable
        = [&](const backend_server& server) { return !server.isLeaving && !evacuated.contains(server.dataCentre); };
    std::set<endpoint> listedAddresses;
    std::set<endpoint> addresses;
    for (const auto& [deployment, servers] : engines) {
        for (const auto& [id, server] : servers)
            listedAddresses.insert(server.address);
        for (const auto& [id, server] : chooseServers(servers, options, isUsable)) {
            addresses.insert(server.address);
            m_servers.emplace(id, server);
        }
    }
    m_listedEngineCount = listedAddresses.size();
    m_engines.assign(addresses.begin(), addresses.end());
}

} // namespace coltsfootbend
