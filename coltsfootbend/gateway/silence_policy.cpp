#include "coltsfootbend/gateway/silence_policy.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

// Multiple of the route's latency target after which a response without a head is overdue.
constexpr double headTimeoutFactor = 2.5;
// Time without data after which a started stream is overdue if its server sends on other connections.
constexpr std::chrono::milliseconds connectionSilenceLimit { 800 };
// The same if its server sends on no connection. Longer than the pauses of sound servers, and short enough that another
// server can send an event within `callerGapLimit`.
constexpr std::chrono::milliseconds serverSilenceLimit { 1400 };

// Requests at a stalled group continue when the group does, so they move to another group only when their callers would
// leave otherwise.
time_point stalledTime(const route& route, time_point lastEventAt)
{
    return route.kind == route_kind::Stream ? lastEventAt + callerGapLimit : time_point::max();
}

} // namespace

overdue_times headOverdueTimes(const route& route, duration predictedLatency, time_point sentAt, time_point lastEventAt)
{
    if (!route.mayRepeat())
        return {};
    const auto overdueAt = sentAt
        + std::max(fromMilliseconds(headTimeoutFactor * toMilliseconds(route.latencyTarget)), 2 * predictedLatency);
    return { .whileSending = overdueAt, .whileSilent = overdueAt, .whileStalled = stalledTime(route, lastEventAt) };
}

overdue_times streamOverdueTimes(const route& route, time_point lastDataAt)
{
    if (!route.mayRepeat())
        return {};
    return { .whileSending = lastDataAt + connectionSilenceLimit,
        .whileSilent = lastDataAt + serverSilenceLimit,
        .whileStalled = stalledTime(route, lastDataAt) };
}

bool isOverdue(const overdue_times& times, server_condition condition, time_point now)
{
    switch (condition) {
    case server_condition::Sending:
        return now >= std::min(times.whileSending, times.whileSilent);
    case server_condition::Silent:
        return now >= times.whileSilent;
    case server_condition::GroupStalled:
        return now >= times.whileStalled;
    }
    return false;
}

} // namespace coltsfootbend
