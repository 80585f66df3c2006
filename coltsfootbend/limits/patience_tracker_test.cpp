#include "coltsfootbend/limits/patience_tracker.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

TEST(PatienceTracker, ACallerWithLessTimeThanUsualIsReturning)
{
    patience_tracker tracker;
    EXPECT_FALSE(tracker.isReturning("r", 8s, 8s));
    EXPECT_TRUE(tracker.isReturning("r", 5s, 8s));
    EXPECT_FALSE(tracker.isReturning("r", 7990ms, 8s));
}

// Guards against treating new callers as returning ones because their timeouts differ, which made three of four new
// callers wait. The timeouts are those that callers state, spread over 15 % of the longest.
TEST(PatienceTracker, NewCallersWithDifferentTimeoutsAreNotReturning)
{
    patience_tracker tracker;
    int returning = 0;
    for (auto left = 6800ms; left <= 8000ms; left += 10ms)
        returning += tracker.isReturning("r", left, 8s) ? 1 : 0;
    EXPECT_EQ(returning, 0);
    EXPECT_TRUE(tracker.isReturning("r", 6600ms, 8s));
}

TEST(PatienceTracker, UsesTheTimeoutOfTheRouteAfterARestart)
{
    patience_tracker tracker;
    EXPECT_TRUE(tracker.isReturning("r", 5s, 8s));
}

TEST(PatienceTracker, LearnsThatCallersHaveShorterTimeoutsThanTheRoute)
{
    patience_tracker tracker;
    for (int i = 0; i < 20; ++i)
        (void)tracker.isReturning("r", 3s, 8s);
    EXPECT_FALSE(tracker.isReturning("r", 3s, 8s));
    EXPECT_TRUE(tracker.isReturning("r", 2s, 8s));
}

TEST(PatienceTracker, AShortenedRouteTimeoutDoesNotMakeNewCallersReturning)
{
    patience_tracker tracker;
    (void)tracker.isReturning("r", 8s, 8s);
    EXPECT_FALSE(tracker.isReturning("r", 8s, 1s));
}

} // namespace
} // namespace coltsfootbend
