#pragma once

// Chooses the engines that one gateway sends requests to, where a deployment has too many of them for each gateway to
// receive the load of all. Every gateway has a subset of the same size, so that the number of its load updates and
// connections, and the number of gateways that an agent reports to, do not grow with the number of engines. Half of a
// subset is in the gateway's own data centre. Deterministic; a change of the list replaces only the engines that it
// removes.
//
//     const auto used = chooseServers(directory.servers(), { .gateway = vm, .localDataCentre = dataCentre },
//         [](const backend_server& server) { return !server.isLeaving; });

#include "coltsfootbend/gateway/backend_directory.h"

#include <functional>
#include <map>

namespace coltsfootbend {

// Sizes of a subset, and whose it is.
struct subset_options {
    vm_id gateway;
    data_centre_id localDataCentre;
    // Deployments of up to this many engines are used whole.
    std::size_t wholeUpTo = 256;
    // Engines of the own data centre, and of all others together. If there are fewer on one side, the other side
    // provides the remainder. Together enough that the requests of all gateways spread evenly, and that a subset has
    // ranks of every group.
    std::size_t localCount = 16;
    std::size_t remoteCount = 16;
};

// Returns the servers of one deployment that the gateway uses: all of them, or a subset of those for which `isUsable`
// returns true. O(servers log servers).
std::map<backend_id, backend_server> chooseServers(const std::map<backend_id, backend_server>& servers,
    const subset_options&, const std::function<bool(const backend_server&)>& isUsable);

} // namespace coltsfootbend
