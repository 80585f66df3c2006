#include "coltsfootbend/gateway/server_subset.h"

#include "coltsfootbend/base/hash.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace coltsfootbend {

namespace {

// A server with its rank for this gateway; the highest ranks are used.
struct ranked_server {
    std::uint64_t rank = 0;
    const backend_server* server = nullptr;
};

void sortByRank(std::vector<ranked_server>& servers)
{
    std::sort(servers.begin(), servers.end(), [](const auto& left, const auto& right) {
        return std::pair(left.rank, left.server->id) > std::pair(right.rank, right.server->id);
    });
}

} // namespace

std::map<backend_id, backend_server> chooseServers(const std::map<backend_id, backend_server>& servers,
    const subset_options& options, const std::function<bool(const backend_server&)>& isUsable)
{
    if (servers.size() <= options.wholeUpTo)
        return servers;
    const auto seed = stableHash(options.gateway.text());
    std::vector<ranked_server> local;
    std::vector<ranked_server> remote;
    for (const auto& [id, server] : servers) {
        if (isUsable(server))
            (server.dataCentre == options.localDataCentre ? local : remote)
                .push_back({ stableHash(id.text(), seed), &server });
    }
    sortByRank(local);
    sortByRank(remote);
    const auto size = options.localCount + options.remoteCount;
    const auto localCount = std::min(local.size(), std::max(options.localCount, size - std::min(size, remote.size())));
    const auto remoteCount = std::min(remote.size(), size - localCount);
    std::map<backend_id, backend_server> chosen;
    for (std::size_t i = 0; i < localCount; ++i)
        chosen.emplace(local[i].server->id, *local[i].server);
    for (std::size_t i = 0; i < remoteCount; ++i)
        chosen.emplace(remote[i].server->id, *remote[i].server);
    return chosen;
}

} // namespace coltsfootbend
