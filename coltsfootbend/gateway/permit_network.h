#pragma once

// Connects what a gateway knows of servers' limits with the rest of the system: hears of limits from agents, tells
// them, and asks the agent that issues a server's permits. That agent is the one beside the server, or else one of the
// server's data centre, on which all gateways that hear the same agents agree. Where there are no agents at all, the
// gateway issues itself its part of what the server takes.
//
//     permit_network permits(runtime, settings.vm, notices, agents, directory, socket);
//     permits.ask(server, serial);
//     permits.hear(reply);

#include "coltsfootbend/gateway/agent_directory.h"
#include "coltsfootbend/gateway/backend_notices.h"
#include "coltsfootbend/net/datagram.h"
#include "coltsfootbend/permits/permit_service.h"

namespace coltsfootbend {

class permit_network {
public:
    permit_network(fiber_runtime&, vm_id self, backend_notices&, const agent_directory&, datagram_socket&);

    // How many gateways there are, this one included.
    void setGateways(std::uint32_t count) { m_gateways = count; }

    // Asks for a permit; `serial` is the number of the wish.
    void ask(const backend_server&, std::uint64_t serial);
    // Tells at once what the server has just said.
    void tell(const backend_server&);
    void hear(const wire::permit_reply&);
    // What an agent tells of the servers for which it issues permits.
    void hear(const std::vector<wire::server_limit>&);
    void expire(time_point now) { m_ownDesk.expire(now); }
    void stop() { m_ownDesk.stop(); }

private:
    void send(const backend_server&, wire::permit_request);
    void hearLimit(const wire::server_limit&, time_point now);

    const vm_id m_self;
    backend_notices& m_notices;
    const agent_directory& m_agents;
    datagram_socket& m_socket;
    permit_service m_ownDesk;
    std::uint32_t m_gateways = 1;
};

} // namespace coltsfootbend
