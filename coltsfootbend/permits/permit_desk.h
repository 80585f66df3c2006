#pragma once

// Issues permits for limited servers to gateways that ask by datagram, and says what servers have named. A permit goes
// out when it is due, so that a gateway asks once and need not ask again and again. Runs a fiber until `stop`.
//
//     permit_desk desk(runtime, [&](const endpoint& gateway, const wire::permit_reply& reply) { ... });
//     desk.hear(sender, request);

#include "coltsfootbend/net/byte_stream.h"
#include "coltsfootbend/net/fiber_signal.h"
#include "coltsfootbend/permits/permit_issuer.h"
#include "coltsfootbend/wire/messages.h"

#include <functional>
#include <vector>

namespace coltsfootbend {

// Between processes, ages travel: the clocks of VMs differ.
wire::server_limit toWire(const permit_subject&, const limit_statement&, time_point now);
limit_statement fromWire(const wire::server_limit&, time_point now);

class permit_desk {
public:
    using send_function = std::function<void(const endpoint& gateway, const wire::permit_reply&)>;

    permit_desk(fiber_runtime&, send_function, const permit_issuer::options& = {});
    permit_desk(const permit_desk&) = delete;
    permit_desk& operator=(const permit_desk&) = delete;

    void hear(const endpoint& gateway, const wire::permit_request&);
    // What is to be told to all gateways: the latest, as many as fit into one message.
    std::vector<wire::server_limit> limits(time_point now) const;
    // To be called about once a second.
    void expire(time_point now) { m_issuer.expire(now); }
    void stop();

private:
    void issueLoop();
    wire::permit_reply replyTo(const permit_subject&, const permit_asker&, std::uint64_t serial, time_point now) const;

    const send_function m_send;
    permit_issuer m_issuer;
    fiber_signal m_hasWish;
    bool m_stopped = false;
};

} // namespace coltsfootbend
