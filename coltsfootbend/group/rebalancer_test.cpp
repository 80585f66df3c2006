#include "coltsfootbend/group/rebalancer.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

const time_point start = time_point {} + 1h;

expert_load hotExpert()
{
    expert_load load(16, 0.5 / 15);
    load[3] = 0.5;
    return load;
}

rebalancer makeRebalancer(double protectedSkewLimit = 100)
{
    return rebalancer(placement::initial(8, 16, 4),
        { .gainPerMove = 0.01, .interval = 5min, .protectedSkewLimit = protectedSkewLimit });
}

TEST(Rebalancer, PlansWhenDueAndWorthIt)
{
    auto balanced = makeRebalancer();
    EXPECT_FALSE(balanced.planIfDue(start)) << "nothing is known yet";
    balanced.observe(hotExpert());
    const auto plan = balanced.planIfDue(start);
    ASSERT_TRUE(plan);
    EXPECT_FALSE(balanced.planIfDue(start + 1min)) << "not due";
    balanced.onPlanApplied(*plan);
    EXPECT_FALSE(balanced.planIfDue(start + 6min)) << "nothing is left to gain";
}

TEST(Rebalancer, MovesNothingInAProtectedWindowUnlessTheSkewExceedsTheLimit)
{
    const std::vector<protected_window> windows { { start, start + 4h } };
    auto lenient = makeRebalancer();
    lenient.setProtectedWindows(windows);
    lenient.observe(hotExpert());
    EXPECT_FALSE(lenient.planIfDue(start + 1h));
    EXPECT_TRUE(lenient.planIfDue(start + 4h)) << "the window is over";
    auto strict = makeRebalancer(1.5);
    strict.setProtectedWindows(windows);
    strict.observe(hotExpert());
    EXPECT_GT(strict.expectedSkew(), 1.5);
    EXPECT_TRUE(strict.planIfDue(start + 1h));
}

TEST(Rebalancer, OneOutlierReportChangesTheEstimateLittle)
{
    auto steady = makeRebalancer();
    for (int i = 0; i < 10; ++i)
        steady.observe(expert_load(16, 1.0 / 16));
    const double before = steady.expectedSkew();
    steady.observe(hotExpert());
    EXPECT_LT(steady.expectedSkew(), before + 0.4 * (steady.current().skew(hotExpert()) - before));
}

} // namespace
} // namespace coltsfootbend
