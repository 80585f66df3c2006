#pragma once

// Decides whether a request that cannot be sent now is held at the gateway or refused, and until when it is held. Each
// reason for a refusal has a rule of its own. Deterministic. Does not choose a server: see `gateway/backend_picker.h`.
//
//     if (const auto until = holdUntil(refused, { .arrivedAt = arrived, .deadline = deadline, ... }, now))
//         pickAgainBefore(*until);
//     else
//         refuse(refused.retryAfter);

#include "coltsfootbend/gateway/pick.h"
#include "coltsfootbend/gateway/silence_policy.h"

#include <optional>

namespace coltsfootbend {

// A request that may be held.
struct held_request {
    time_point arrivedAt {};
    // When the caller gives up.
    time_point deadline {};
    // Longest acceptable time from arrival to the first event.
    duration latencyTarget {};
    // The caller was refused before and retries, so it is late already.
    bool isReturning = false;
    // The request has been held since it arrived.
    bool isHeld = false;
};

// Returns until when the request may be held, or none if it is to be refused now. O(1).
std::optional<time_point> holdUntil(const refused_pick&, const held_request&, time_point now);

// As `holdUntil`, where requests wait for a slot in the order of their priorities. `queueWait` is the expected time
// until the requests ahead have been served; none if it is not known. O(1).
std::optional<time_point> holdInOrder(
    const refused_pick&, const held_request&, std::optional<duration> queueWait, time_point now);

} // namespace coltsfootbend
