#include "coltsfootbend/gateway/deployment_test_support.h"

#include <algorithm>
#include <numeric>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

std::vector<endpoint> startGateways(
    fiber_runtime& runtime, test_processes& processes, int count, std::uint16_t firstPort)
{
    std::vector<endpoint> addresses;
    for (int i = 0; i < count; ++i) {
        addresses.push_back({ "127.0.0.1", static_cast<std::uint16_t>(firstPort + i) });
        start(runtime, processes, addresses.back(), {});
    }
    return addresses;
}

int callsOf(const test_processes& processes)
{
    return std::accumulate(processes.begin(), processes.end(), 0,
        [](int sum, const auto& process) { return sum + process->store.callCount; });
}

// A check costs two calls. Each gateway for itself would make six in five seconds; it is one a second for all together.
TEST(DeploymentWatch, GatewaysAskTheStoreInTurnForAll)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        constexpr std::uint16_t firstPort = 27360;
        constexpr int gateways = 6;
        std::vector<endpoint> addresses;
        for (int i = 0; i < gateways; ++i) {
            addresses.push_back({ "127.0.0.1", static_cast<std::uint16_t>(firstPort + i) });
            start(runtime, processes, addresses.back(), {});
        }
        exchangeKnowledge(runtime, processes, addresses, clock_type::now() + 2s);
        const auto calls = [&] {
            int sum = 0;
            for (const auto& process : processes)
                sum += process->store.callCount;
            return sum;
        };
        const int before = calls();
        exchangeKnowledge(runtime, processes, addresses, clock_type::now() + 5s);
        EXPECT_LE(calls() - before, 2 * 6);
        for (const auto& process : processes)
            EXPECT_LT(process->watch->knowledge().configuration.ageMs, 1600U);
    });
}

// Forty gateways that each ask anew after each change made most of the 3,500 to 5,200 calls of a day.
TEST(DeploymentWatch, AChangeCostsCallsOfThoseOnlyWhoFollowTheStore)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const auto addresses = startGateways(runtime, processes, 8, 27400);
        exchangeKnowledge(runtime, processes, addresses, clock_type::now() + 1s);
        // The polls that are out when others begin to rest end with this change.
        for (const auto& process : processes)
            process->store.version = 2;
        exchangeKnowledge(runtime, processes, addresses, clock_type::now() + 1s);
        const int before = callsOf(processes);
        for (std::uint64_t version = 3; version <= 6; ++version) {
            for (const auto& process : processes)
                process->store.version = version;
            exchangeKnowledge(runtime, processes, addresses, clock_type::now() + 1s);
            for (const auto& process : processes)
                EXPECT_EQ(process->version(), version);
        }
        constexpr int changes = 4 * 2 * 2; // Two followers, two tables.
        constexpr int checks = 4 * 2 + 2;
        EXPECT_LE(callsOf(processes) - before, changes + checks);
    });
}

// Whoever rests hears of a change in time although those who follow the store are deaf, refused by it, or gone, one
// after the other.
TEST(DeploymentWatch, WhoRestsHearsInTimeThoughThoseWhoFollowTheStoreFail)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        auto addresses = startGateways(runtime, processes, 6, 27410);
        std::uint64_t version = 1;
        const auto change = [&] {
            ++version;
            for (const auto& process : processes)
                process->store.version = version;
            const auto changedAt = clock_type::now();
            // Of the first two nothing is expected: they fail.
            while (std::any_of(processes.begin() + 2, processes.end(), [&](const auto& process) {
                return process->version() < version;
            }) && clock_type::now() < changedAt + 5s)
                exchangeKnowledge(runtime, processes, addresses, clock_type::now() + 50ms);
            EXPECT_LT(clock_type::now() - changedAt, 2s);
        };
        exchangeKnowledge(runtime, processes, addresses, clock_type::now() + 1s);
        change();
        for (int i = 0; i < 2; ++i)
            processes[i]->store.stallsPolls = true;
        change();
        for (int i = 0; i < 2; ++i)
            processes[i]->store.unansweredTables = bothTables;
        change();
        for (int i = 0; i < 2; ++i) {
            processes[i]->store.unansweredTables.clear();
            processes[i]->store.isRefusing = true;
        }
        change();
        change();
    });
}

// Agents name gateways that stand still for three seconds more, so that what they say must not be believed without
// fresh news of the store.
TEST(DeploymentWatch, WhoRestsHearsInTimeThoughThoseWhoFollowTheStoreStandStill)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const auto addresses = startGateways(runtime, processes, 4, 27420);
        load_subscribers agent(1);
        exchangeKnowledgeThrough(agent, runtime, processes, addresses, clock_type::now() + 1s);
        for (const auto& process : processes)
            process->store.version = 2;
        exchangeKnowledgeThrough(agent, runtime, processes, addresses, clock_type::now() + 1s);
        constexpr std::size_t frozen = 2;
        for (const auto& process : processes)
            process->store.version = 3;
        const auto changedAt = clock_type::now();
        while (std::any_of(processes.begin() + frozen, processes.end(), [](const auto& process) {
            return process->version() < 3;
        }) && clock_type::now() < changedAt + 5s)
            exchangeKnowledgeThrough(agent, runtime, processes, addresses, clock_type::now() + 50ms, frozen);
        EXPECT_LT(clock_type::now() - changedAt, 2s);
    });
}

} // namespace
} // namespace coltsfootbend
