#pragma once

// Serves permit requests that gateways send by datagram, and reports the rate limits that servers have stated. A permit
// is sent when it is due, so that a gateway sends one request and does not poll. Runs a fiber until `stop`.
//
//     permit_service service(runtime, [&](const endpoint& gateway, const wire::permit_reply& reply) { ... });
//     service.receiveRequest(sender, request);

#include "coltsfootbend/net/byte_stream.h"
#include "coltsfootbend/net/fiber_signal.h"
#include "coltsfootbend/permits/permit_issuer.h"
#include "coltsfootbend/wire/messages.h"

#include <functional>
#include <vector>

namespace coltsfootbend {

// Convert a statement to and from its wire form, which carries its age and not its time, since the clocks of VMs
// differ.
wire::server_limit toWire(const permit_subject&, const limit_statement&, time_point now);
limit_statement fromWire(const wire::server_limit&, time_point now);

// Owns a permit issuer and sends its permits to the gateways.
class permit_service {
public:
    using send_function = std::function<void(const endpoint& gateway, const wire::permit_reply&)>;

    permit_service(fiber_runtime&, send_function, const permit_issuer::options& = {});
    permit_service(const permit_service&) = delete;
    permit_service& operator=(const permit_service&) = delete;

    // Records the limit in the request. If the gateway wants a permit, replies at once with the expected wait and
    // queues the request.
    void receiveRequest(const endpoint& gateway, const wire::permit_request&);
    // Returns the limits to report to all gateways: the most recent ones, as many as fit into one message.
    std::vector<wire::server_limit> limits(time_point now) const;
    // Removes old statements. Call about once a second.
    void expire(time_point now) { m_issuer.expire(now); }
    // Ends the fiber.
    void stop();

private:
    void issueLoop();
    wire::permit_reply replyTo(
        const permit_subject&, const permit_requester&, std::uint64_t serial, time_point now) const;

    const send_function m_send;
    permit_issuer m_issuer;
    fiber_signal m_hasRequest;
    bool m_stopped = false;
};

} // namespace coltsfootbend
