#include "coltsfootbend/group/load_update_schedule.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

// Returns the number of updates per second that a gateway receives from this many engines.
double updatesPerSecond(std::size_t engines)
{
    load_update_schedule schedule;
    int sent = 0;
    const time_point start { 1h };
    for (auto now = start; now < start + 60s; now += 100ms)
        sent += schedule.isDue(engines, false, now) ? 1 : 0;
    return static_cast<double>(engines) * sent / 60;
}

// With ten updates per second from each of 3,000 engines, a gateway spends most of its processor on updates.
TEST(LoadUpdateSchedule, UpdatesPerGatewayDoNotGrowWithTheNumberOfEngines)
{
    EXPECT_NEAR(updatesPerSecond(129), 1290, 10) << "at the usual rate";
    EXPECT_LE(updatesPerSecond(300), 3000);
    EXPECT_LE(updatesPerSecond(1000), 2700);
    EXPECT_LE(updatesPerSecond(3000), 3100);
}

TEST(LoadUpdateSchedule, LongestIntervalIsShorterThanTheValidityOfAReport)
{
    EXPECT_LE(load_update_schedule().intervalFor(100'000), 1s);
}

TEST(LoadUpdateSchedule, GroupChangesAreSentAtOnce)
{
    load_update_schedule schedule;
    const time_point now { 1h };
    EXPECT_TRUE(schedule.isDue(3000, false, now));
    EXPECT_FALSE(schedule.isDue(3000, false, now + 100ms));
    EXPECT_TRUE(schedule.isDue(3000, true, now + 200ms));
}

} // namespace
} // namespace coltsfootbend
