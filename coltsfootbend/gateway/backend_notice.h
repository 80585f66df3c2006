#pragma once

// What a backend server asks for in its answers. Not for what it says of its load or of the request:
// `response_metadata` in `gateway/header_codec.h` has those.
//
//     const backend_notice notice { .requestsPerSecond = 1.5, .rest = 3s };

#include "coltsfootbend/base/time.h"

#include <optional>

namespace coltsfootbend {

struct backend_notice {
    // What the server takes from all gateways together; none where it names no limit.
    std::optional<double> requestsPerSecond;
    // For how long the server wants nothing from the gateway that it has just turned away.
    std::optional<duration> rest;
    // It names no limit, in an answer that is surely the server's own: a limit named before has ended.
    bool endsLimit = false;

    // It is about to end and wants no new work from anybody.
    bool isLeaving = false;

    // Whether the server asks for anything that can be read.
    bool isAny() const { return requestsPerSecond || rest || isLeaving; }
};

} // namespace coltsfootbend
