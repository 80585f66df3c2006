#pragma once

// Relays the body of a response. Buffers it whole while it is small, so that another server can be tried if the first
// one fails. A body that is too large to buffer is forwarded as it arrives, which paces the server by the caller; from
// then on no other server can answer. Does not read from the server: see `gateway/exchange.h`.
//
//     body_relay relay(responder, budget, { .head = head, .mayForward = true });
//     while (const auto bytes = readBody())
//         if (!relay.add(*bytes)) ...
//     relay.finish();

#include "coltsfootbend/base/buffer_budget.h"
#include "coltsfootbend/net/http.h"

#include <string_view>

namespace coltsfootbend {

class body_relay {
public:
    struct options {
        // The head that the caller receives.
        http_head head;
        // The caller can tell a forwarded body that ends early from a complete one, so the body may be forwarded before
        // its end is known.
        bool mayForward = false;
        // Limit in bytes for what is buffered of this body.
        std::size_t maxBuffered = std::size_t { 1024 } * 1024;
    };

    // `responder` and `budget` must outlive the relay.
    body_relay(http_responder& responder, buffer_budget& budget, options);

    // Adds bytes of the body. Blocks while the caller does not read a forwarded body. If the body must not be
    // forwarded, fails with `BadInput` if it is too large, and with `Overloaded` if the budget is used up. Fails with
    // `Lost` if the body is forwarded and the caller has disconnected.
    result<void> add(std::string_view bytes);
    // Returns whether the caller has received the head.
    bool hasBegun() const { return m_hasBegun; }
    // Returns the buffered response. Precondition: `hasBegun` is false.
    const http_response& buffered() const { return m_response; }
    // Sends what is left. Does nothing more after the caller has disconnected.
    void finish();

private:
    result<void> forward(std::string_view bytes);

    http_responder& m_responder;
    const bool m_mayForward;
    const std::size_t m_maxBuffered;
    buffer_share m_share;
    http_response m_response;
    bool m_hasBegun = false;
};

} // namespace coltsfootbend
