#include "coltsfootbend/gateway/waiting_policy.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

// Longest wait of a new request for a broken group to open: about the time in which a refused caller would return.
constexpr std::chrono::milliseconds maxNewRequestGroupWait { 800 };

// Shortest time from the end of a hold until the answer, even a refusal, reaches the caller.
constexpr std::chrono::milliseconds minAnswerTime { 25 };

// Returns until when a request may be sent, or refused, so that the caller receives the answer in time.
time_point lastTimelyMoment(const refused_pick& refused, const held_request& request)
{
    return request.arrivedAt + request.latencyTarget - std::max<duration>(refused.startLatency, minAnswerTime);
}

// Returns `limit` if the request can be sent before it.
std::optional<time_point> limitIfLaterThan(time_point earliest, time_point limit)
{
    return earliest < limit ? std::optional(limit) : std::nullopt;
}

// Holds a request for a free slot. After a burst all slots are taken, and some become free at the end of each pass. A
// new request that gets one in time loses nothing, while a refusal would make it late. A returning request is late
// already and its caller may not retry again, so it is held as long as the caller waits.
std::optional<time_point> holdForSlot(const refused_pick& refused, const held_request& request, time_point now)
{
    if (request.isReturning)
        return limitIfLaterThan(
            now + refused.expectedWait, std::min<time_point>(request.deadline, request.arrivedAt + callerGapLimit));
    return limitIfLaterThan(now, lastTimelyMoment(refused, request));
}

// Holds a request for a permit. Limited servers accept requests at a low rate and others may be ahead in the queue, so
// a request that would be late by then is refused at once with a retry time. A wait that has begun continues as long as
// it can end in time.
std::optional<time_point> holdForPermit(const refused_pick& refused, const held_request& request, time_point now)
{
    const auto limit = request.isReturning ? std::min<time_point>(request.deadline, request.arrivedAt + callerGapLimit)
                                           : lastTimelyMoment(refused, request);
    return limitIfLaterThan(request.isHeld ? now : now + refused.expectedWait, limit);
}

// Holds a request until servers that are cold or in backoff accept requests again. It is known when, so only a request
// that can still be served in time then is held; others are refused at once with a retry time.
std::optional<time_point> holdForBackoff(const refused_pick& refused, const held_request& request, time_point now)
{
    const auto limit = std::min(request.deadline,
                           request.arrivedAt + (request.isReturning ? duration(callerGapLimit) : request.latencyTarget))
        - refused.startLatency;
    return limitIfLaterThan(std::max(now, refused.expectedOpenAt), limit);
}

// Holds a request for a broken group. The group opens after seconds, and then the refused callers return at the same
// time. A new request that arrives shortly before is held, so that it does not add to that burst; a returning one is
// held as long as its caller waits. An outage that exceeds the usual length is always expected to end soon, so this
// estimate does not end a wait that has begun.
std::optional<time_point> holdForBrokenGroup(const refused_pick& refused, const held_request& request, time_point now)
{
    const duration maxWait
        = request.isReturning ? callerGapLimit - refused.startLatency : duration(maxNewRequestGroupWait);
    const auto limit = std::min<time_point>(request.deadline, request.arrivedAt + maxWait);
    return limitIfLaterThan(request.isHeld ? now : refused.expectedOpenAt, limit);
}

// Holds a request for a stalled group, which may continue at any moment or be reported as broken: engines wait for an
// unreachable rank for some time before they report it. Until then no retry time can be estimated, and a caller that
// returns too early is lost. A request that is sent into the group instead waits there, and most such requests have no
// attempt left afterwards.
std::optional<time_point> holdForStalledGroup(const refused_pick& refused, const held_request& request, time_point now)
{
    const duration maxWait = callerGapLimit - refused.startLatency;
    return limitIfLaterThan(now, std::min<time_point>(request.deadline, request.arrivedAt + maxWait));
}

} // namespace

// While urgent requests take the free slots, a patient one that misses its latency target is still served before its
// caller gives up, which is sooner than it would be after a refusal. It is refused at once if those ahead of it take
// longer than that.
std::optional<time_point> holdInOrder(
    const refused_pick& refused, const held_request& request, std::optional<duration> queueWait, time_point now)
{
    if (refused.reason != refusal_reason::Overloaded)
        return holdUntil(refused, request, now);
    const duration maxWait = callerGapLimit - std::max<duration>(refused.startLatency, minAnswerTime);
    return limitIfLaterThan(now + queueWait.value_or(duration::zero()),
        std::min<time_point>(request.deadline, request.arrivedAt + maxWait));
}

std::optional<time_point> holdUntil(const refused_pick& refused, const held_request& request, time_point now)
{
    switch (refused.reason) {
    case refusal_reason::Overloaded:
        return holdForSlot(refused, request, now);
    case refusal_reason::Limited:
        return holdForPermit(refused, request, now);
    case refusal_reason::Cold:
    case refusal_reason::BackingOff:
        return holdForBackoff(refused, request, now);
    case refusal_reason::GroupStalled:
        return holdForStalledGroup(refused, request, now);
    case refusal_reason::GroupDown:
        return holdForBrokenGroup(refused, request, now);
    case refusal_reason::NoHomeServers:
    case refusal_reason::Evacuated:
    case refusal_reason::NoServers:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace coltsfootbend
