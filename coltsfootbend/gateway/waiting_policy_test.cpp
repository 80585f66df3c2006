#include "coltsfootbend/gateway/waiting_policy.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

const time_point start = time_point {} + 1h;

held_request newRequest()
{
    return { .arrivedAt = start, .deadline = start + 8s, .latencyTarget = 400ms, .isReturning = false };
}

held_request returningRequest()
{
    auto request = newRequest();
    request.isReturning = true;
    return request;
}

refused_pick overloaded()
{
    return { .reason = refusal_reason::Overloaded,
        .retryAfter = 1s,
        .expectedWait = 160ms,
        .startLatency = 150ms,
        .expectedOpenAt = {} };
}

refused_pick groupDown(time_point openAt)
{
    return { .reason = refusal_reason::GroupDown,
        .retryAfter = 1s,
        .expectedWait = openAt - start,
        .startLatency = 150ms,
        .expectedOpenAt = openAt };
}

// After a burst of requests all slots are taken for one or two passes.
TEST(WaitingPolicy, NewRequestIsHeldForASlotWhileItCanMeetItsLatencyTarget)
{
    EXPECT_EQ(holdUntil(overloaded(), newRequest(), start), start + 250ms);
    EXPECT_EQ(holdUntil(overloaded(), newRequest(), start + 240ms), start + 250ms);
    EXPECT_FALSE(holdUntil(overloaded(), newRequest(), start + 250ms));
}

TEST(WaitingPolicy, NewRequestThatCannotMeetItsLatencyTargetIsRefusedAtOnce)
{
    auto refused = overloaded();
    refused.startLatency = 450ms;
    EXPECT_FALSE(holdUntil(refused, newRequest(), start));
}

// Guards against refusals that leave the gateway at the very end of the latency target, and so reach the caller after
// it.
TEST(WaitingPolicy, HoldEndsEarlyEnoughForARefusalToReachTheCallerInTime)
{
    for (const auto reason : { refusal_reason::Overloaded, refusal_reason::Limited }) {
        auto refused = overloaded();
        refused.reason = reason;
        refused.startLatency = {};
        const auto until = holdUntil(refused, newRequest(), start);
        ASSERT_TRUE(until);
        EXPECT_LT(*until, start + newRequest().latencyTarget);
    }
}

TEST(WaitingPolicy, ReturningRequestIsHeldUpToTheCallerGapLimit)
{
    EXPECT_EQ(holdUntil(overloaded(), returningRequest(), start), start + callerGapLimit);
    EXPECT_FALSE(holdUntil(overloaded(), returningRequest(), start + callerGapLimit - 100ms));
}

TEST(WaitingPolicy, DeadlineEndsTheWait)
{
    auto request = returningRequest();
    request.deadline = start + 300ms;
    EXPECT_EQ(holdUntil(overloaded(), request, start), start + 300ms);
}

TEST(WaitingPolicy, RequestIsHeldForAGroupThatOpensSoon)
{
    EXPECT_TRUE(holdUntil(groupDown(start + 600ms), newRequest(), start));
    EXPECT_FALSE(holdUntil(groupDown(start + 900ms), newRequest(), start));
    EXPECT_TRUE(holdUntil(groupDown(start + 900ms), returningRequest(), start));
    EXPECT_FALSE(holdUntil(groupDown(start + 3s), returningRequest(), start));
}

// While an outage exceeds its usual length, every estimate says that it ends in another half second. If that ended the
// wait, the request would be refused although it has been held all along.
TEST(WaitingPolicy, ALaterOpeningEstimateDoesNotEndAWaitThatHasBegun)
{
    auto request = returningRequest();
    ASSERT_TRUE(holdUntil(groupDown(start + 500ms), request, start));
    request.isHeld = true;
    EXPECT_EQ(holdUntil(groupDown(start + 2s), request, start + 1500ms),
        start + callerGapLimit - groupDown(start).startLatency)
        << "the first event has to arrive before the caller leaves";
    EXPECT_FALSE(holdUntil(groupDown(start + 2500ms), request, start + 2s));
}

// A group is stalled when a data centre has just been cut off. Until its engines report it as broken, no retry time can
// be estimated, and a caller that is refused retries only once.
TEST(WaitingPolicy, RequestIsHeldForAStalledGroupWhileItsFirstEventCanBeInTime)
{
    auto refused = groupDown(start + 10s);
    refused.reason = refusal_reason::GroupStalled;
    EXPECT_EQ(holdUntil(refused, newRequest(), start), start + callerGapLimit - refused.startLatency);
    EXPECT_FALSE(holdUntil(refused, newRequest(), start + callerGapLimit));
}

TEST(WaitingPolicy, RequestIsRefusedAtOnceWithoutServers)
{
    EXPECT_FALSE(holdUntil({ .reason = refusal_reason::NoServers }, returningRequest(), start));
}

} // namespace
} // namespace coltsfootbend
