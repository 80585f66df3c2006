#pragma once

// Assigns refused callers of one deployment the times at which they return. Callers that return at the same moment, for
// example when a group is expected to open, are refused again or are all late. So each gets a time of its own, at
// intervals at which the servers can take returning callers. A caller retries once, and honours a time up to a third of
// what it has left. Deterministic. Does not decide whether a request is refused: see `gateway/waiting_policy.h`.
//
//     return_schedule schedule;
//     const auto at = schedule.assign({ .earliest = opening, .interval = 200ms, .deadline = deadline }, now);

#include "coltsfootbend/base/time.h"

#include <cstdint>

namespace coltsfootbend {

// When a caller could be served if it returned.
struct return_request {
    // A caller that returns earlier is refused again.
    time_point earliest {};
    // Time between two returning callers that the servers can take; 0 if callers need not be spread.
    duration interval {};
    // When the caller gives up.
    time_point deadline {};
    // Callers that cannot wait for their turn share the time that they honour, instead of being assigned a later one.
    bool mayCrowd = false;
};

class return_schedule {
public:
    // Returns when the caller should return; it may be past its deadline. O(1).
    time_point assign(const return_request&, time_point now);

private:
    time_point m_lastAssignedAt {};
    std::uint32_t m_crowded = 0; // Callers that shared the time that they honour.
};

} // namespace coltsfootbend
