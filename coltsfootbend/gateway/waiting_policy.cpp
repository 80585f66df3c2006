#include "coltsfootbend/gateway/waiting_policy.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

// For a group that is about to open: no longer than it would take a caller to come back.
constexpr std::chrono::milliseconds shortWait { 800 };

std::optional<time_point> onlyAfter(time_point needed, time_point limit)
{
    return needed < limit ? std::optional(limit) : std::nullopt;
}

// A clump of requests finds all slots taken, and at the end of each pass some become free. A new request that gets one
// while it can still be served in time loses nothing; refused, it would be late for certain. One that is late already
// may have no further try, so it waits as long as its caller does.
std::optional<time_point> holdForSlot(const pick_refused& refused, const held_request& request, time_point now)
{
    if (request.isReturning)
        return onlyAfter(
            now + refused.expectedWait, std::min<time_point>(request.deadline, request.arrivedAt + callerGapLimit));
    return onlyAfter(now, request.arrivedAt + request.latencyTarget - refused.startLatency);
}

// Servers that name a limit take one request now and then, and others may stand before this one: whoever would be late
// by then is told at once when to come instead. Once begun, the wait goes on as long as it can end in time.
std::optional<time_point> holdForPermit(const pick_refused& refused, const held_request& request, time_point now)
{
    const auto limit = request.isReturning ? std::min<time_point>(request.deadline, request.arrivedAt + callerGapLimit)
                                           : request.arrivedAt + request.latencyTarget - refused.startLatency;
    return onlyAfter(request.isHeld ? now : now + refused.expectedWait, limit);
}

// Servers that turn everybody away say when they take requests again: whoever can still be served in time then is held,
// everybody else is told at once when to come.
std::optional<time_point> holdForRest(const pick_refused& refused, const held_request& request, time_point now)
{
    const auto limit = std::min(request.deadline,
                           request.arrivedAt + (request.isReturning ? duration(callerGapLimit) : request.latencyTarget))
        - refused.startLatency;
    return onlyAfter(std::max(now, refused.expectedOpenAt), limit);
}

// A group that broke opens after seconds, when everybody comes back. Whoever arrives shortly before is held, so that it
// does not come with that wave; whoever was refused before is held for as long as its caller waits. An outage beyond
// the usual length is always expected to end in a moment, so that expectation ends no wait that was begun.
std::optional<time_point> holdForGroup(const pick_refused& refused, const held_request& request, time_point now)
{
    const duration patience = request.isReturning ? callerGapLimit - refused.startLatency : duration(shortWait);
    const auto limit = std::min<time_point>(request.deadline, request.arrivedAt + patience);
    return onlyAfter(request.isHeld ? now : refused.expectedOpenAt, limit);
}

// A group that stands may go on at any moment: engines themselves wait for a rank that is gone for a while before they
// say so. Until then nobody can tell a caller when to come back, and one that was told too early is lost. Sent instead,
// requests wait in a group that a rank has left, and most have no try left afterwards.
std::optional<time_point> holdForVerdict(const pick_refused& refused, const held_request& request, time_point now)
{
    const duration patience = callerGapLimit - refused.startLatency;
    return onlyAfter(now, std::min<time_point>(request.deadline, request.arrivedAt + patience));
}

} // namespace

std::optional<time_point> holdUntil(const pick_refused& refused, const held_request& request, time_point now)
{
    switch (refused.reason) {
    case pick_refusal::Overloaded:
        return holdForSlot(refused, request, now);
    case pick_refusal::Limited:
        return holdForPermit(refused, request, now);
    case pick_refusal::Resting:
        return holdForRest(refused, request, now);
    case pick_refusal::GroupStanding:
        return holdForVerdict(refused, request, now);
    case pick_refusal::GroupDown:
        return holdForGroup(refused, request, now);
    case pick_refusal::NoServers:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace coltsfootbend
