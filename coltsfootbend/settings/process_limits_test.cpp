// Tests that the connections which a process accepts fit its VM.

#include "coltsfootbend/settings/process_limits.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace coltsfootbend {
namespace {

constexpr std::size_t mebibyte = std::size_t { 1024 } * 1024;

daemon_settings gatewayOf(std::size_t memoryBytes, std::size_t descriptors)
{
    daemon_settings settings;
    settings.gateway.emplace();
    settings.limits = { .memoryBytes = memoryBytes, .descriptors = descriptors };
    return settings;
}

std::size_t admitted(connection_budget& budget, const connection_resources& cost, double keptFree)
{
    std::size_t count = 0;
    while (count < 100'000 && budget.admit(cost, keptFree))
        ++count;
    return count;
}

TEST(ProcessLimits, AnEntryVmTakesAllItsConfiguredCallersAndLeavesRoomForOtherProcesses)
{
    const auto settings = gatewayOf(260 * mebibyte, 4100);
    connection_budget budget(connectionTotals(settings, {}));
    EXPECT_GE(admitted(budget, callerConnectionCost(), keptFreeByCallers), settings.gateway->maxConnections);
    EXPECT_GE(admitted(budget, peerConnectionCost(), keptFreeByPeers), 200U);
    EXPECT_GE(admitted(budget, callerConnectionCost(), 0), 20U) << "for the health address";
}

// Guards against connections that together need more than the VM has.
RC_GTEST_PROP(ProcessLimits, WhatIsAdmittedFitsTheVm, ())
{
    const auto memory = *rc::gen::inRange<std::size_t>(96, 1024) * mebibyte;
    const auto descriptors = *rc::gen::inRange<std::size_t>(64, 5000);
    const auto addresses = *rc::gen::inRange<std::size_t>(128, 1024) * mebibyte;
    const auto settings = gatewayOf(memory, descriptors);
    connection_budget budget(connectionTotals(settings, { .addressBytes = addresses }));
    for (int step = 0; step < 5000; ++step) {
        const bool isCaller = *rc::gen::inRange(0, 2) == 0;
        if (!budget.admit(isCaller ? callerConnectionCost() : peerConnectionCost(),
                isCaller ? keptFreeByCallers : keptFreeByPeers))
            break;
    }
    RC_ASSERT(budget.used().memoryBytes <= memory);
    RC_ASSERT(budget.used().addressBytes <= addresses);
    RC_ASSERT(budget.used().descriptors < descriptors);
}

TEST(ProcessLimits, WhatAConnectionTookIsFreeAfterItsEnd)
{
    connection_budget budget(connectionTotals(gatewayOf(160 * mebibyte, 2048), {}));
    const auto most = admitted(budget, peerConnectionCost(), 0);
    ASSERT_GT(most, 0U);
    EXPECT_FALSE(budget.admit(peerConnectionCost(), 0));
    budget.release(peerConnectionCost());
    EXPECT_TRUE(budget.admit(peerConnectionCost(), 0));
}

TEST(ProcessLimits, WithoutLimitsConnectionsAreNotBounded)
{
    connection_budget budget(connectionTotals({}, {}));
    EXPECT_EQ(admitted(budget, callerConnectionCost(), keptFreeByCallers), 100'000U);
}

} // namespace
} // namespace coltsfootbend
