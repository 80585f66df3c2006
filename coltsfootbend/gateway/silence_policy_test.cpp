#include "coltsfootbend/gateway/silence_policy.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

const time_point now = time_point {} + 1h;

route makeRoute(route_kind kind, bool resumable = false)
{
    route made;
    made.kind = kind;
    made.resumable = resumable;
    made.latencyTarget = 400ms;
    return made;
}

TEST(SilencePolicy, AResponseOfARequestThatMayRunOnceIsNeverOverdue)
{
    const auto end = now + 24h;
    for (const auto& once : { makeRoute(route_kind::AtMostOnce), makeRoute(route_kind::Stream) }) {
        for (const auto condition :
            { server_condition::Sending, server_condition::Silent, server_condition::GroupStalled }) {
            EXPECT_FALSE(isOverdue(headOverdueTimes(once, 100ms, now, now), condition, end));
            EXPECT_FALSE(isOverdue(streamOverdueTimes(once, now), condition, end));
        }
    }
}

TEST(SilencePolicy, AStreamOfAServerThatPausesForASecondAndAThirdIsNotOverdue)
{
    const auto times = streamOverdueTimes(makeRoute(route_kind::Stream, true), now);
    EXPECT_FALSE(isOverdue(times, server_condition::Silent, now + 1300ms));
    EXPECT_TRUE(isOverdue(times, server_condition::Sending, now + 800ms));
}

// Callers leave after two seconds without an event, and the next server needs time for its first one.
TEST(SilencePolicy, AStreamOfASilentServerIsOverdueBeforeItsCallerLeaves)
{
    const auto times = streamOverdueTimes(makeRoute(route_kind::Stream, true), now);
    EXPECT_TRUE(isOverdue(times, server_condition::Silent, now + 1400ms));
}

TEST(SilencePolicy, AHeadIsOverdueByTheTargetOrThePrediction)
{
    const auto idempotent = makeRoute(route_kind::Idempotent);
    EXPECT_FALSE(isOverdue(headOverdueTimes(idempotent, 100ms, now, now), server_condition::Silent, now + 999ms));
    EXPECT_TRUE(isOverdue(headOverdueTimes(idempotent, 100ms, now, now), server_condition::Silent, now + 1s));
    EXPECT_FALSE(isOverdue(headOverdueTimes(idempotent, 1s, now, now), server_condition::Silent, now + 1999ms));
}

TEST(SilencePolicy, AStreamAtAStalledGroupIsOverdueWhenItsCallerWouldLeave)
{
    const auto stream = makeRoute(route_kind::Stream, true);
    EXPECT_FALSE(isOverdue(streamOverdueTimes(stream, now), server_condition::GroupStalled, now + 1800ms));
    EXPECT_TRUE(isOverdue(streamOverdueTimes(stream, now), server_condition::GroupStalled, now + 1900ms));
    EXPECT_FALSE(isOverdue(headOverdueTimes(makeRoute(route_kind::Idempotent), 100ms, now, now),
        server_condition::GroupStalled, now + 1h));
}

} // namespace
} // namespace coltsfootbend
