#include "coltsfootbend/measure/group_trial.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace coltsfootbend {
namespace {

// Checks that in every step all ranks use the same expert map, under any two faults.
RC_GTEST_PROP(LockStep, NoStepMixesMaps, ())
{
    const auto fault = [] { return static_cast<group_fault>(*rc::gen::inRange<std::size_t>(0, groupFaults)); };
    const group_trial_options options { .seed = *rc::gen::arbitrary<std::uint64_t>(),
        .steps = 1500,
        .ranks = *rc::gen::inRange<std::uint32_t>(2, 12),
        .faults = { fault(), fault() },
        .changeInterval = std::chrono::milliseconds(*rc::gen::inRange(600, 3000)) };
    const auto report = runGroupTrial(options);
    RC_ASSERT(report.mixedMaps == 0U);
    RC_ASSERT(report.steps >= options.steps);
}

// Checks that the trial detects mixed maps: without promises a rank that misses the message keeps the old map.
TEST(LockStep, WithoutPromisesALostMessageMixesMaps)
{
    const auto report
        = runGroupTrial({ .seed = 1, .steps = 5000, .faults = { group_fault::MessageLost }, .withoutPromises = true });
    EXPECT_GT(report.mixedMaps, 0U);
}

TEST(LockStep, WithoutFaultsAChangeStallsNoStep)
{
    const auto report = runGroupTrial({ .seed = 1, .steps = 5000, .ranks = 32 });
    EXPECT_GE(report.changes, 10U);
    EXPECT_EQ(report.stalled, duration::zero());
}

} // namespace
} // namespace coltsfootbend
