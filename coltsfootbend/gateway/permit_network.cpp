#include "coltsfootbend/gateway/permit_network.h"

#include "coltsfootbend/base/log_event.h"
#include "coltsfootbend/wire/codec.h"

#include <algorithm>
#include <random>
#include <utility>

namespace coltsfootbend {

namespace {

// Longer than any time that matters, and short enough that it can be subtracted from the time.
constexpr std::uint64_t maxIssuingMs = 86'400'000;

} // namespace

permit_network::permit_network(
    fiber_runtime& runtime, vm_id self, backend_notices& notices, agent_directory& agents, datagram_socket& socket)
    : m_self(std::move(self))
    , m_notices(notices)
    , m_agents(agents)
    , m_socket(socket)
    , m_localIssuer(runtime, [this](const endpoint&, const wire::permit_reply& reply) { receiveReply(reply); },
          { .minPerSecond = 0, .delaySeed = std::random_device {}() })
{
}

void permit_network::requestPermit(const backend_server& server, std::uint64_t serial)
{
    send(server, { .limit = {}, .requestsPermit = true, .serial = serial });
}

void permit_network::sendLimit(const backend_server& server)
{
    send(server, { .limit = {}, .requestsPermit = false, .serial = 0 });
}

void permit_network::send(const backend_server& server, wire::permit_request request)
{
    const auto now = clock_type::now();
    const auto limit = m_notices.limitOf(server.instance());
    if (!limit)
        return;
    request.limit = toWire(permit_subject(server.id.text()), *limit, now);
    if (!m_agents.hasAny()) {
        const auto least = permit_issuer::options {}.minPerSecond;
        request.limit.perSecond = std::max(request.limit.perSecond, least) / m_gateways;
        m_localIssuer.receiveRequest({}, request);
        return;
    }
    // Without a reachable issuer the rate of the other gateways is unknown, so nothing is sent to the server.
    if (const auto issuer = m_agents.issuerFor(server, now))
        m_socket.send(
            *issuer, wire::encode({ .sender = m_self, .senderIncarnation = {}, .version = {}, .content = request }));
}

void permit_network::receiveReply(const wire::permit_reply& reply)
{
    const auto now = clock_type::now();
    const backend_id server(reply.limit.server);
    if (m_agents.hasAny()) // Without agents the reply is the gateway's own and only repeats the known limit.
        receiveLimit(reply.limit, now);
    m_notices.expectPermit(
        server, reply.serial, now + std::chrono::milliseconds(reply.expectedInMs), reply.waitingGateways);
    if (reply.isGranted)
        m_notices.grant(server, reply.serial, now);
}

void permit_network::receiveLimits(const endpoint& agent, const std::vector<wire::server_limit>& limits)
{
    const auto now = clock_type::now();
    for (const auto& limit : limits) {
        receiveLimit(limit, now);
        if (limit.issuingForMs > 0)
            m_agents.recordIssuing(backend_id(limit.server), agent,
                std::chrono::milliseconds(std::min(limit.issuingForMs, maxIssuingMs)), now);
    }
}

void permit_network::receiveLimit(const wire::server_limit& limit, time_point now)
{
    const auto changes = m_notices.receiveStatement(backend_id(limit.server), fromWire(limit, now), now);
    if (!changes.empty())
        logEvent(log_event::BackendNotice, "backend=" + limit.server + " " + changes + " source=agent");
}

} // namespace coltsfootbend
