#include "coltsfootbend/gateway/server_choice.h"

#include <gtest/gtest.h>
#include <vector>

namespace coltsfootbend {
namespace {

// Returns how often the server of each score is chosen in a thousand draws.
std::vector<int> chosen(const std::vector<double>& scores, double unreported)
{
    constexpr int draws = 1000;
    std::vector<int> counts(scores.size());
    for (int i = 0; i < draws; ++i)
        ++counts[chooseServer(scores, unreported, (i + 0.5) / draws)];
    return counts;
}

// Many gateways have the same reports, and one server looks least loaded: if each gateway chose it, it would be
// overloaded.
TEST(ServerChoice, SpreadsUnreportedRequestsOverTheLeastLoadedServers)
{
    EXPECT_EQ(chosen({ 0, 4, 4 }, 10), (std::vector<int> { 600, 200, 200 }));
}

TEST(ServerChoice, DoesNotChooseAServerAboveTheFillLevel)
{
    EXPECT_EQ(chosen({ 1, 9, 1 }, 4), (std::vector<int> { 500, 0, 500 }));
}

TEST(ServerChoice, ASingleGatewayChoosesTheLeastLoadedServer)
{
    EXPECT_EQ(chosen({ 3, 2, 5 }, 1), (std::vector<int> { 0, 1000, 0 }));
}

} // namespace
} // namespace coltsfootbend
