#pragma once

// The backend servers that this gateway sends requests to: all plain servers, and of each deployment of engines all or
// a subset (`gateway/server_subset.h`). Deterministic.
//
//     used_servers used(settings.vm, settings.dataCentre);
//     used.update(directory.servers(), catalogue, evacuated);
//     picker.setServers(used.servers(), catalogue);

#include "coltsfootbend/gateway/backend_directory.h"
#include "coltsfootbend/gateway/catalogue.h"

#include <map>
#include <set>
#include <vector>

namespace coltsfootbend {

class used_servers {
public:
    used_servers(vm_id gateway, data_centre_id localDataCentre)
        : m_gateway(std::move(gateway))
        , m_localDataCentre(std::move(localDataCentre))
    {
    }

    // Chooses the servers anew. Of a deployment that is not used whole, servers that leave and those in evacuated data
    // centres are left out. O(servers log servers).
    void update(const std::map<backend_id, backend_server>& listed, const catalogue&,
        const std::set<data_centre_id>& evacuated);

    const std::map<backend_id, backend_server>& servers() const { return m_servers; }
    // Returns the addresses of the used engines, in order.
    const std::vector<endpoint>& engines() const { return m_engines; }
    // Returns the number of addresses at which engines are listed, used or not.
    std::size_t listedEngineCount() const { return m_listedEngineCount; }

private:
    const vm_id m_gateway;
    const data_centre_id m_localDataCentre;
    std::map<backend_id, backend_server> m_servers;
    std::vector<endpoint> m_engines;
    std::size_t m_listedEngineCount = 0;
};

} // namespace coltsfootbend
