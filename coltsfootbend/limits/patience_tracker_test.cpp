#include "coltsfootbend/limits/patience_tracker.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

TEST(PatienceTracker, ACallerWithLessTimeThanUsualWasHereBefore)
{
    patience_tracker tracker;
    EXPECT_FALSE(tracker.isReturning("r", 8s, 8s));
    EXPECT_TRUE(tracker.isReturning("r", 5s, 8s));
    EXPECT_FALSE(tracker.isReturning("r", 7990ms, 8s));
}

TEST(PatienceTracker, AfterARestartTheTimeoutStandsForTheUsualPatience)
{
    patience_tracker tracker;
    EXPECT_TRUE(tracker.isReturning("r", 5s, 8s));
}

TEST(PatienceTracker, CallersWithLessPatienceThanTheTimeoutAreSoonKnown)
{
    patience_tracker tracker;
    for (int i = 0; i < 20; ++i)
        (void)tracker.isReturning("r", 3s, 8s);
    EXPECT_FALSE(tracker.isReturning("r", 3s, 8s));
    EXPECT_TRUE(tracker.isReturning("r", 2s, 8s));
}

TEST(PatienceTracker, AShortenedTimeoutDoesNotMakeNewCallersLookLate)
{
    patience_tracker tracker;
    (void)tracker.isReturning("r", 8s, 8s);
    EXPECT_FALSE(tracker.isReturning("r", 8s, 1s));
}

} // namespace
} // namespace coltsfootbend
