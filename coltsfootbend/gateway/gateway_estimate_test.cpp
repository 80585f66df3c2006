#include "coltsfootbend/gateway/gateway_estimate.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

TEST(GatewayEstimate, AgentsOfASmallDeploymentReportToAllGateways)
{
    gateway_estimate estimate(48);
    EXPECT_EQ(estimate.all(), 48U);
    EXPECT_TRUE(estimate.receive(9, 12, 12));
    EXPECT_EQ(estimate.all(), 9U);
    EXPECT_EQ(estimate.perServer(), 9U);
    EXPECT_FALSE(estimate.receive(9, 12, 12));
}

TEST(GatewayEstimate, AgentsOfSubsetsReportToAPartOfTheGateways)
{
    gateway_estimate estimate(48);
    // 529 gateways with subsets of 32 of 516 engines: an agent reports to 33 gateways on average.
    int changes = 0;
    for (int i = 0; i < 300; ++i)
        changes += estimate.receive(i % 2 == 0 ? 27 : 39, 516, 32) ? 1 : 0;
    EXPECT_NEAR(estimate.all(), 532, 53);
    EXPECT_NEAR(estimate.perServer(), 33, 4);
    EXPECT_LE(changes, 3) << "budgets must not be renewed with each report";
}

TEST(GatewayEstimate, FollowsTheLossOfAThirdOfTheGateways)
{
    gateway_estimate estimate(48);
    for (int i = 0; i < 300; ++i)
        estimate.receive(33, 516, 32);
    for (int i = 0; i < 300; ++i)
        estimate.receive(22, 516, 32);
    EXPECT_NEAR(estimate.all(), 355, 40);
}

} // namespace
} // namespace coltsfootbend
