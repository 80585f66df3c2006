#pragma once

// Confirms that a backend server has terminated. A connection refused at this gateway is not sufficient: a network
// partition may reset connections, and then all servers beyond it appear to have terminated. Rank agents near the
// server are asked as well, first the one on the server's own VM, because no partition can separate the two.
//
//     peer_crash_verifier verifier(runtime, peers, [](const backend_server& server) { return agentsNear(server); });
//     if (verifier.hasTerminated(server).value_or(false)) ...

#include "coltsfootbend/gateway/backend_directory.h"
#include "coltsfootbend/wire/peer.h"

#include <functional>
#include <optional>
#include <vector>

namespace coltsfootbend {

// Interface for confirming that a server has terminated.
class crash_verifier {
public:
    virtual ~crash_verifier() = default;
    // Returns whether the server has terminated, or none if that cannot be determined. Blocks the calling fiber for up
    // to two seconds.
    virtual std::optional<bool> hasTerminated(const backend_server&) = 0;
};

// Confirms that a server has terminated by probing its port from this gateway and from rank agents.
class peer_crash_verifier final : public crash_verifier {
public:
    // `agentsNear`: returns the addresses of agents to ask about a server, the nearest one first.
    peer_crash_verifier(fiber_runtime& runtime, peer_client& peers,
        std::function<std::vector<endpoint>(const backend_server&)> agentsNear)
        : m_runtime(runtime)
        , m_peers(peers)
        , m_agentsNear(std::move(agentsNear))
    {
    }

    std::optional<bool> hasTerminated(const backend_server&) override;

private:
    fiber_runtime& m_runtime;
    peer_client& m_peers;
    const std::function<std::vector<endpoint>(const backend_server&)> m_agentsNear;
};

} // namespace coltsfootbend
