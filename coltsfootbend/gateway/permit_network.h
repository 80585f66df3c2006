#pragma once

// Exchanges the limits of servers and permits for them between a gateway and the rank agents: receives limits from
// agents, reports limits to them, and requests permits from the agent that issues them for a server. That agent is the
// one on the server's VM, or else one of the server's data centre, which all gateways that reach the same agents choose
// alike. In a deployment without agents the gateway issues permits for its share of the rate itself.
//
//     permit_network permits(runtime, settings.vm, notices, agents, directory, socket);
//     permits.requestPermit(server, serial);
//     permits.receiveReply(reply);

#include "coltsfootbend/gateway/agent_directory.h"
#include "coltsfootbend/gateway/backend_notices.h"
#include "coltsfootbend/net/datagram.h"
#include "coltsfootbend/permits/permit_service.h"

namespace coltsfootbend {

// Sends and receives the messages about limits and permits, and updates `backend_notices` from them.
class permit_network {
public:
    permit_network(fiber_runtime&, vm_id self, backend_notices&, agent_directory&, datagram_socket&);

    // Sets the number of gateways, this one included.
    void setGateways(std::uint32_t count) { m_gateways = count; }

    // Requests a permit; `serial` is the number of the permit request.
    void requestPermit(const backend_server&, std::uint64_t serial);
    // Reports the server's latest limit at once.
    void sendLimit(const backend_server&);
    // Applies an agent's reply to a permit request.
    void receiveReply(const wire::permit_reply&);
    // Applies the limits that `agent` reports, and for which of the servers it issues permits.
    void receiveLimits(const endpoint& agent, const std::vector<wire::server_limit>&);
    // Drops expired state of the local issuer.
    void expire(time_point now) { m_localIssuer.expire(now); }
    void stop() { m_localIssuer.stop(); }

private:
    // Sends a permit request with the server's latest limit to its issuer, or handles it here if there are no agents.
    void send(const backend_server&, wire::permit_request);
    void receiveLimit(const wire::server_limit&, time_point now);

    const vm_id m_self;
    backend_notices& m_notices;
    agent_directory& m_agents;
    datagram_socket& m_socket;
    permit_service m_localIssuer;
    std::uint32_t m_gateways = 1;
};

} // namespace coltsfootbend
