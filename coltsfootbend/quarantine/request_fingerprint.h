#pragma once

// Identifies a request by its content: attempts with the same method, host, target, caller and body have the same
// fingerprint, whatever their ids, deadlines and entry VMs are. Does not distinguish attempts, and is not secret.
//
//     const auto fingerprint
//         = fingerprintOf({ .method = "POST", .host = "h", .target = "/p", .caller = "c", .body = b });

#include "coltsfootbend/base/id.h"

#include <string>
#include <string_view>

namespace coltsfootbend {

// The first 128 bits of a SHA-256, as 32 hexadecimal digits.
using request_fingerprint = text_id<struct request_fingerprint_tag>;

// The parts of a request that determine its fingerprint.
struct fingerprint_source {
    std::string_view method;
    std::string_view host;
    std::string_view target;
    std::string_view caller; // The caller on whose behalf the request is made; empty on open routes.
    std::string_view body;
};

// Returns the fingerprint of a request, which is the same on every VM. O(length).
request_fingerprint fingerprintOf(const fingerprint_source&);

// Returns the leading digits of a fingerprint for logs: enough to search for, and short enough to read.
std::string shortName(const request_fingerprint&);

} // namespace coltsfootbend
