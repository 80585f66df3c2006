#pragma once

// What a backend server asks for in its answers. Not for what it says of its load or of the request:
// `backend_facts` in `gateway/request_dialect.h` has those.
//
//     const backend_notice notice { .requestsPerSecond = 1.5 };

#include <optional>

namespace coltsfootbend {

struct backend_notice {
    // What the server takes from all gateways together; none where it names no limit.
    std::optional<double> requestsPerSecond;
    // It names a limit that cannot be read: the one known before holds on.
    bool isLimitUnreadable = false;
};

} // namespace coltsfootbend
