#pragma once

// Proof that a backend server has ended. That its port refuses this gateway is not enough: a partition may reset
// connections, and then all servers beyond it seem to be gone. Rank agents near the server are asked too, first the one
// beside it, between which and the server no partition can be.
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
    // False as well where it cannot be proved. Blocks the calling fiber for a second or two at most.
    virtual bool hasEnded(const backend_server&) = 0;
};

class peer_crash_witness final : public crash_witness {
public:
    // `agentsNear`: agents that may be asked of a server, the best first.
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
