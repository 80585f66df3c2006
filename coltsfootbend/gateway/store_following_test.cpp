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
        addresses.push_back(testAddress(static_cast<std::uint16_t>(firstPort + i)));
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
            addresses.push_back(testAddress(static_cast<std::uint16_t>(firstPort + i)));
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

// Guards against a start of a whole deployment in which every process polls the store after each registration: 1,045
// processes made 15,800 calls before they received the first request.
TEST(DeploymentWatch, AProcessWithoutADutyPollsASeriesOfChangesEverMoreSeldom)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        auto& gateway = start(runtime, processes, testAddress(27430), {});
        waitForVersion(runtime, gateway, 1, 1s);
        const int before = gateway.store.callCount;
        for (std::uint64_t version = 2; version <= 31; ++version) {
            gateway.store.version = version;
            runtime.sleepFor(100ms);
        }
        constexpr int pollsOfATable = 5; // In three seconds: after 0, 0.6, 1.6 and 2.6 s, and one that is pending.
        EXPECT_LE(gateway.store.callCount - before, 2 * pollsOfATable);
        EXPECT_EQ(waitForVersion(runtime, gateway, 31, 1100ms), 31U) << "within a second of the last change";
        runtime.sleepFor(1500ms);
        gateway.store.version = 32;
        EXPECT_EQ(waitForVersion(runtime, gateway, 32, 100ms), 32U) << "a single change is read at once";
    });
}

// States the growth: agents that gateways report to from their start on cost the store nothing, however many there are.
TEST(DeploymentWatch, AgentsThatStartBesideGatewaysDoNotCallTheStore)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const auto gatewayAddress = testAddress(27431);
        auto& gateway = start(runtime, processes, gatewayAddress, {});
        std::vector<test_process*> agents;
        for (std::uint16_t port = 27432; port < 27436; ++port)
            agents.push_back(&start(runtime, processes, testAddress(port), deployment_watch::options::forAgents()));
        const auto until = clock_type::now() + 4s;
        while (clock_type::now() < until) {
            for (auto* agent : agents)
                agent->watch->receiveGatewayReport(gatewayAddress, gateway.watch->knowledge());
            runtime.sleepFor(100ms);
        }
        for (const auto* agent : agents) {
            EXPECT_EQ(agent->store.callCount, 0);
            EXPECT_EQ(agent->version(), 1U) << "read from the gateway";
        }
    });
}

// In a large deployment an agent receives reports from a part of the gateways, which may all be on standby. A
// gateway is on standby only while others follow the store and confirm its tables.
TEST(DeploymentWatch, AnAgentOfStandbyGatewaysDoesNotCallTheStoreWhileTheyAreOnStandby)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const auto gatewayAddress = testAddress(27437);
        auto& gateway = start(runtime, processes, gatewayAddress, {});
        auto& agent = start(runtime, processes, testAddress(27438), deployment_watch::options::forAgents());
        const auto reportFor = [&](duration length, bool isOnStandby) {
            const auto until = clock_type::now() + length;
            while (clock_type::now() < until) {
                auto knowledge = gateway.watch->knowledge();
                knowledge.isServed = false;
                knowledge.isOnStandby = isOnStandby;
                agent.watch->receiveGatewayReport(gatewayAddress, knowledge);
                runtime.sleepFor(100ms);
            }
        };
        reportFor(3s, true);
        EXPECT_EQ(agent.store.callCount, 0);
        reportFor(3s, false);
        EXPECT_GT(agent.store.callCount, 0);
    });
}

// An agent that receives no gateway's report reads the store soon.
TEST(DeploymentWatch, AnAgentThatStartsAloneReadsTheStore)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        auto& agent = start(runtime, processes, testAddress(27436), deployment_watch::options::forAgents());
        EXPECT_EQ(waitForVersion(runtime, agent, 1, 2500ms), 1U);
    });
}

} // namespace
} // namespace coltsfootbend
