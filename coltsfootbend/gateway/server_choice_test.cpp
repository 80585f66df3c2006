#include "coltsfootbend/gateway/server_choice.h"

#include <gtest/gtest.h>
#include <vector>

namespace coltsfootbend {
namespace {

// How often each of `scores` is chosen, of a thousand draws.
std::vector<int> chosen(const std::vector<double>& scores, double unseen)
{
    constexpr int draws = 1000;
    std::vector<int> counts(scores.size());
    for (int i = 0; i < draws; ++i)
        ++counts[chooseServer(scores, unseen, (i + 0.5) / draws)];
    return counts;
}

// The load pattern: forty gateways with the same reports, and one server that looks emptiest.
TEST(ServerChoice, WhatAllGatewaysSendFillsTheEmptiestServersEvenly)
{
    EXPECT_EQ(chosen({ 0, 4, 4 }, 10), (std::vector<int> { 600, 200, 200 }));
}

TEST(ServerChoice, AServerAboveTheLevelGetsNothing)
{
    EXPECT_EQ(chosen({ 1, 9, 1 }, 4), (std::vector<int> { 500, 0, 500 }));
}

TEST(ServerChoice, ALoneGatewayTakesTheEmptiest)
{
    EXPECT_EQ(chosen({ 3, 2, 5 }, 1), (std::vector<int> { 0, 1000, 0 }));
}

} // namespace
} // namespace coltsfootbend
