#pragma once

// Distinguishes callers that return after a refusal from new ones by their remaining timeout: a returning caller has
// used up part of its time. Each gateway has one tracker, which stores nothing about single callers.
//
//     if (patience.isReturning(route, timeLeft, timeout)) // queue the request behind those of new callers

#include "coltsfootbend/base/time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace coltsfootbend {

// Estimates for each route how long its callers wait.
class patience_tracker {
public:
    // Returns whether the caller was probably refused before. `timeLeft` is the remaining time that the caller states,
    // and `timeout` is that of the route, a lower bound of the callers' usual timeout until `minCallersSeen` of them
    // were seen. O(log routes).
    bool isReturning(const std::string& route, duration timeLeft, duration timeout)
    {
        auto& known = m_routes[route];
        known.longest = std::max(known.longest, timeLeft);
        ++known.seen;
        const auto usual = known.seen < minCallersSeen ? std::max(known.longest, timeout) : known.longest;
        return toMilliseconds(timeLeft) < newCallerShare * toMilliseconds(usual);
    }

private:
    // Number of callers of a route from which on their longest timeout replaces the timeout of the route.
    static constexpr std::uint32_t minCallersSeen = 20;
    // Share of the longest timeout below which a caller counts as returning. The timeouts of new callers are spread
    // evenly between 0.85 and 1 of the longest, so a returning caller within that range cannot be distinguished from
    // new ones and is treated as one of them.
    static constexpr double newCallerShare = 0.84;

    struct route_patience {
        duration longest {};
        std::uint32_t seen = 0;
    };
    std::map<std::string, route_patience> m_routes;
};

} // namespace coltsfootbend
