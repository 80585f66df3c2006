#pragma once

// Requests that a backend server makes of the gateways in its answers. Doesn't hold what the server reports of its load
// or of the request: see `response_metadata` in `gateway/header_codec.h`.
//
//     const backend_notice notice { .requestsPerSecond = 1.5, .backoff = 3s };

#include "coltsfootbend/base/time.h"

#include <optional>

namespace coltsfootbend {

// The notice in one answer: a limit, a backoff or the announcement that the server leaves.
struct backend_notice {
    // Rate limit for all gateways together; none if the server names no limit.
    std::optional<double> requestsPerSecond;
    // Backoff that the server demands of the gateway whose request it has just refused.
    std::optional<duration> backoff;
    // The answer is certainly the server's own and names no limit, which ends an earlier limit.
    bool endsLimit = false;

    // The server is about to terminate and accepts no new work from any gateway.
    bool isLeaving = false;

    // Returns whether the answer names a limit, a backoff or the server's leaving.
    bool isAny() const { return requestsPerSecond || backoff || isLeaving; }
};

} // namespace coltsfootbend
