#pragma once

// Tells callers that come back after a refusal from new ones, by how long they say they will still wait: a caller that
// was here before has used up some of its time. One for each gateway; knows nothing of single callers.
//
//     if (patience.isReturning(route, timeLeft, timeout)) // late already: behind the new ones

#include "coltsfootbend/base/time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace coltsfootbend {

class patience_tracker {
public:
    // `timeLeft`: what the caller says; `timeout`: the route's, which stands for the callers' usual patience until
    // enough of them were seen. O(log routes).
    bool isReturning(const std::string& route, duration timeLeft, duration timeout)
    {
        auto& known = m_routes[route];
        known.longest = std::max(known.longest, timeLeft);
        ++known.seen;
        const auto usual = known.seen < enough ? std::max(known.longest, timeout) : known.longest;
        return toMilliseconds(timeLeft) < newcomerShare * toMilliseconds(usual);
    }

private:
    // Callers of a route that have to be seen before its timeout is not needed any more.
    static constexpr std::uint32_t enough = 20;
    // New callers' own limits differ: they lie evenly between 0.85 and 1 of the longest. Whoever was refused
    // and told to come back within that range cannot be told from them, and is treated as well as they are.
    static constexpr double newcomerShare = 0.84;

    struct route_patience {
        duration longest {};
        std::uint32_t seen = 0;
    };
    std::map<std::string, route_patience> m_routes;
};

} // namespace coltsfootbend
