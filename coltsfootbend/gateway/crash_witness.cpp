#include "coltsfootbend/gateway/crash_witness.h"

#include "coltsfootbend/net/port_probe.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

// Several round trips between the farthest data centres.
constexpr std::chrono::milliseconds probeLimit { 300 };
// For a new connection, the agent's own look, and its answer.
constexpr std::chrono::milliseconds askLimit { 500 };
// Those that do not answer may be gone with the server, frozen, or cut off themselves.
constexpr std::size_t mostAsked = 3;

} // namespace

bool peer_crash_witness::hasEnded(const backend_server& server)
{
    if (probePort(m_runtime, server.address, clock_type::now() + probeLimit) != port_state::Refused)
        return false;
    const auto agents = m_agentsNear(server);
    for (std::size_t i = 0; i < std::min(agents.size(), mostAsked); ++i) {
        const auto answer = m_peers.ask(
            agents[i], wire::port_inquiry { .address = toString(server.address) }, clock_type::now() + askLimit);
        const auto* finding = answer ? std::get_if<wire::port_finding>(&answer->content) : nullptr;
        if (finding && finding->isKnown)
            return finding->isRefused;
    }
    return false;
}

} // namespace coltsfootbend
