#include "coltsfootbend/gateway/crash_verifier.h"

#include "coltsfootbend/net/port_probe.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

// Time limit of this gateway's probe: several round trips between the data centres farthest apart.
constexpr std::chrono::milliseconds probeTimeout { 300 };
// Time limit for one agent: a new connection, the agent's own probe, and its answer.
constexpr std::chrono::milliseconds agentTimeout { 500 };
// An agent that does not answer may have terminated with the server, be frozen, or be cut off itself, so further agents
// are asked.
constexpr std::size_t maxAgentsAsked = 3;

} // namespace

std::optional<bool> peer_crash_verifier::hasTerminated(const backend_server& server)
{
    const auto port = probePort(m_runtime, server.address, clock_type::now() + probeTimeout);
    if (port == port_state::Open)
        return false;
    if (port == port_state::Unknown)
        return std::nullopt;
    const auto agents = m_agentsNear(server);
    for (std::size_t i = 0; i < std::min(agents.size(), maxAgentsAsked); ++i) {
        const auto answer = m_peers.ask(
            agents[i], wire::port_inquiry { .address = toString(server.address) }, clock_type::now() + agentTimeout);
        const auto* finding = answer ? std::get_if<wire::port_finding>(&answer->content) : nullptr;
        if (finding && finding->isKnown)
            return finding->isRefused;
    }
    return std::nullopt;
}

} // namespace coltsfootbend
