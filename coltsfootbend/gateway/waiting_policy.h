#pragma once

// Whether a request that cannot be sent now is worth holding, and until when. Each rule answers one pattern of load;
// the figures beside them say why. Deterministic. Not for the choice of a server: see `gateway/backend_picker.h`.
//
//     if (const auto until = holdUntil(refused, { .arrivedAt = arrived, .deadline = deadline, ... }, now))
//         lookAgainBefore(*until);
//     else
//         refuse(refused.retryAfter);

#include "coltsfootbend/gateway/pick.h"

#include <optional>

namespace coltsfootbend {

struct held_request {
    time_point arrivedAt {};
    time_point deadline {};
    duration latencyTarget {};
    // It was refused before and is late already.
    bool isReturning = false;
    // It has been held here since it came.
    bool isHeld = false;
};

// The longest that a caller of a stream waits without an event, less the way back to it: it leaves after two seconds.
constexpr std::chrono::milliseconds callerGapLimit { 1900 };

// Returns until when the request may be held, none when it is to be refused at once. O(1).
std::optional<time_point> holdUntil(const pick_refused&, const held_request&, time_point now);

} // namespace coltsfootbend
