#pragma once

// Confirms that a backend server has ended. A connection refused at this gateway is not sufficient: a network partition
// may reset connections, and then all servers beyond it appear to have ended. Rank agents near the server are asked as
// well, first the one on the server's own VM, because no partition can separate the two.
//
//     peer_crash_witness witness(runtime, peers, [](const backend_server& server) { return agentsNear(server); });
//     if (witness.hasEnded(server)) ...

#include "coltsfootbend/gateway/backend_directory.h"
#include "coltsfootbend/wire/peer.h"

#include <functional>
#include <vector>

namespace coltsfootbend {

class crash_witness {
public:
    virtual ~crash_witness() = default;
    // Returns true if the server has ended, false if it has not or if that cannot be confirmed. Blocks the calling
    // fiber for up to two seconds.
    virtual bool hasEnded(const backend_server&) = 0;
};

// Confirms the end of a server by probing its port from this gateway and from rank agents.
class peer_crash_witness final : public crash_witness {
public:
    // `agentsNear`: returns the addresses of agents to ask about a server, the nearest one first.
    peer_crash_witness(fiber_runtime& runtime, peer_client& peers,
        std::function<std::vector<endpoint>(const backend_server&)> agentsNear)
        : m_runtime(runtime)
        , m_peers(peers)
        , m_agentsNear(std::move(agentsNear))
    {
    }

    bool hasEnded(const backend_server&) override;

private:
    fiber_runtime& m_runtime;
    peer_client& m_peers;
    const std::function<std::vector<endpoint>(const backend_server&)> m_agentsNear;
};

} // namespace coltsfootbend
