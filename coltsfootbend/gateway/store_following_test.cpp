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

// A check costs two calls. Each gateway by itself would make six checks in five seconds; with the shared duty it is one
// per second for all gateways together.
TEST(DeploymentWatch, GatewaysShareTheChecksOfTheStore)
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

// Guards against gateways on standby that poll again after each change: with forty gateways these polls would be most
// of 3,500 to 5,200 calls a day.
TEST(DeploymentWatch, OnlyGatewaysThatFollowTheStoreCallItAfterAChange)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const auto addresses = startGateways(runtime, processes, 8, 27400);
        exchangeKnowledge(runtime, processes, addresses, clock_type::now() + 1s);
        // The polls that are pending when gateways go on standby end with this change.
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

// Gateways on standby must receive a change in time although the polls of those that follow the store stall, their
// calls are not answered, or the store refuses them, one failure after the other.
TEST(DeploymentWatch, GatewaysOnStandbyReceiveChangesInTimeThoughThoseThatFollowTheStoreFail)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        auto addresses = startGateways(runtime, processes, 6, 27410);
        std::uint64_t version = 1;
        const auto change = [&] {
            ++version;
            for (const auto& process : processes)
                process->store.version = version;
            const auto changedAt = clock_type::now();
            // The first two follow the store and fail, so they are not checked.
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

// Guards against a standby that relies on frozen gateways: agents list a gateway for three more seconds after it
// freezes, so that a standby needs recent confirmations from the store.
TEST(DeploymentWatch, GatewaysOnStandbyReceiveChangesInTimeThoughThoseThatFollowTheStoreFreeze)
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
