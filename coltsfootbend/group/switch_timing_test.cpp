// Tests how far ahead switches are scheduled.

#include "coltsfootbend/group/switch_timing.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

constexpr switch_timing::options bounds { .minArmingTime = 80ms, .maxArmingTime = 900ms };

// Records `count` passes of 20 ms each, every fourth of them. Returns the number of the last one.
pass_number recordPassesOf20ms(switch_timing& timing, pass_number first, pass_number count)
{
    const time_point start {};
    pass_number step = first;
    for (; step < first + count; step += 4)
        timing.recordPass(step, start + step * 20ms);
    return step;
}

TEST(SwitchTiming, FollowsTheDurationOfPasses)
{
    switch_timing timing(bounds);
    recordPassesOf20ms(timing, 1, 200);
    EXPECT_NEAR(timing.passMilliseconds(), 20, 0.1);
    EXPECT_EQ(timing.passesAhead(), 4U) << "the minimum arming time of 80 ms";
}

TEST(SwitchTiming, OneSlowArmingIsFollowedForSeveralChanges)
{
    switch_timing timing(bounds);
    recordPassesOf20ms(timing, 1, 200);
    timing.recordArming(200ms);
    EXPECT_EQ(timing.passesAhead(), 14U);
    timing.recordArming(10ms);
    EXPECT_EQ(timing.passesAhead(), 11U);
    for (int i = 0; i < 10; ++i)
        timing.recordArming(10ms);
    EXPECT_EQ(timing.passesAhead(), 4U);
}

TEST(SwitchTiming, TheNumberOfPassesIsBounded)
{
    switch_timing timing(bounds);
    EXPECT_EQ(timing.passesAhead(), 2U) << "with passes of 60 ms";
    timing.recordArming(10s);
    recordPassesOf20ms(timing, 1, 200);
    EXPECT_EQ(timing.passesAhead(), 16U);
}

// Guards against a pass duration that includes the time in which the group was broken, or spans two formations.
TEST(SwitchTiming, TheTimeBetweenTwoFormationsIsNotMeasured)
{
    switch_timing timing(bounds);
    const auto last = recordPassesOf20ms(timing, 1, 200);
    timing.restart();
    timing.recordPass(last + 10, time_point {} + 1h);
    timing.recordPass(last + 14, time_point {} + 1h + 80ms);
    EXPECT_NEAR(timing.passMilliseconds(), 20, 0.1);
}

} // namespace
} // namespace coltsfootbend
