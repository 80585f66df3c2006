#pragma once

// What makes two attempts the same request: they ask for the same thing, with the same body, for the same caller. Their
// ids and deadlines differ, and so may the VM at which they arrive. Not for telling attempts apart, and not secret.
//
//     const auto fingerprint = fingerprintOf({ .method = "POST", .host = "h", .target = "/p", .caller = "c", .body = b
//     });

#include "coltsfootbend/base/id.h"

#include <string>
#include <string_view>

namespace coltsfootbend {

// The first 128 bits of a SHA-256, as 32 hexadecimal digits.
using request_fingerprint = text_id<struct request_fingerprint_tag>;

struct fingerprint_source {
    std::string_view method;
    std::string_view host;
    std::string_view target;
    std::string_view caller; // Whoever the request is made for; empty on open routes.
    std::string_view body;
};

// Returns the same on every VM. O(length).
request_fingerprint fingerprintOf(const fingerprint_source&);

// Returns the digits that logs show: enough to search for, few enough to read.
std::string shortName(const request_fingerprint&);

} // namespace coltsfootbend
