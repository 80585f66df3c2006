#include "coltsfootbend/gateway/deployment_watch.h"

#include "coltsfootbend/gateway/deployment_test_support.h"

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

// A gateway that the store refuses must learn of a configuration from an agent within two seconds, even if the agent
// has just read another change and delays its next poll.
TEST(DeploymentWatch, AGatewayThatTheStoreRefusesReadsFromAnAgentInTime)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const auto agentAddress = testAddress(27341);
        auto& agent = start(runtime, processes, agentAddress, deployment_watch::options::forAgents());
        deployment_watch::options options;
        options.peers = { agentAddress };
        auto& gateway = start(runtime, processes, testAddress(27340), options);
        runtime.sleepFor(100ms);
        EXPECT_EQ(gateway.version(), 1U);
        gateway.store.isRefusing = true;
        agent.store.version = 2;
        runtime.sleepFor(300ms);
        agent.store.version = 3;
        const auto changedAt = clock_type::now();
        while (gateway.version() < 3 && clock_type::now() < changedAt + 10s)
            runtime.sleepFor(5ms);
        EXPECT_LT(clock_type::now() - changedAt, 2s) << "a configuration has to be in force within two seconds";
    });
}

// Guards against agents that follow the store while gateways do: sixty agents would make more than half of all calls.
TEST(DeploymentWatch, AnAgentDoesNotCallTheStoreWhileGatewaysFollowIt)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const auto gatewayAddress = testAddress(27343);
        auto& gateway = start(runtime, processes, gatewayAddress, {});
        auto options = deployment_watch::options::forAgents();
        options.configurationReadInterval = 100ms;
        auto& agent = start(runtime, processes, testAddress(27344), options);
        agent.store.version = 1;
        sendKnowledgeToAgent(runtime, gateway, gatewayAddress, agent, clock_type::now() + 300ms);
        // The polls that were pending at the gateway's first report end with this change.
        agent.store.version = gateway.store.version = 2;
        sendKnowledgeToAgent(runtime, gateway, gatewayAddress, agent, clock_type::now() + 1500ms);
        const int calls = agent.store.callCount;
        for (std::uint64_t version = 3; version <= 6; ++version) {
            agent.store.version = gateway.store.version = version;
            sendKnowledgeToAgent(runtime, gateway, gatewayAddress, agent, clock_type::now() + 800ms);
            EXPECT_EQ(agent.version(), version);
        }
        EXPECT_EQ(agent.store.callCount, calls);
    });
}

// Guards against saturated links: 1,400 new routes, read by 63 agents over links of 8 Mbit/s, take all bandwidth for
// seconds.
TEST(DeploymentWatch, AnAgentDoesNotReadEveryConfiguration)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const auto gatewayAddress = testAddress(27347);
        auto& gateway = start(runtime, processes, gatewayAddress, {});
        auto& agent = start(runtime, processes, testAddress(27348), deployment_watch::options::forAgents());
        sendKnowledgeToAgent(runtime, gateway, gatewayAddress, agent, clock_type::now() + 300ms);
        agent.store.version = gateway.store.version = 2;
        sendKnowledgeToAgent(runtime, gateway, gatewayAddress, agent, clock_type::now() + 1500ms);
        for (std::uint64_t version = 3; version <= 5; ++version) {
            gateway.store.version = version;
            sendKnowledgeToAgent(runtime, gateway, gatewayAddress, agent, clock_type::now() + 500ms);
            EXPECT_EQ(agent.watch->knowledge().servers.revision, version);
        }
        EXPECT_LT(agent.version(), 5U);
    });
}

TEST(DeploymentWatch, AGatewayThatTheStoreRefusesReadsFromAGatewayWithNewerState)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const auto served = testAddress(27349);
        auto& informed = start(runtime, processes, served, {});
        auto& refused = start(runtime, processes, testAddress(27350), {});
        runtime.sleepFor(100ms);
        refused.store.isRefusing = true;
        informed.store.version = 2;
        runtime.sleepFor(700ms);
        EXPECT_EQ(refused.version(), 1U);
        refused.watch->receiveUpdateHint(served);
        runtime.sleepFor(200ms);
        EXPECT_EQ(refused.version(), 2U);
    });
}

// Guards against stalled polls: a gateway's poll may return nothing for twelve seconds while other gateways receive six
// configurations.
TEST(DeploymentWatch, AGatewayWithAStalledPollReadsFromAGatewayWithNewerState)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const auto informedAddress = testAddress(27351);
        auto& informed = start(runtime, processes, informedAddress, {});
        auto& stalled = start(runtime, processes, testAddress(27352), {});
        runtime.sleepFor(100ms);
        stalled.store.stallsPolls = true;
        stalled.store.version = informed.store.version = 2;
        for (int i = 0; i < 15; ++i) {
            runtime.sleepFor(100ms);
            stalled.watch->receiveUpdateHint(informedAddress);
        }
        EXPECT_EQ(stalled.version(), 2U);
    });
}

TEST(DeploymentWatch, AnAgentFollowsTheStoreOnceNoGatewayDoes)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const auto gatewayAddress = testAddress(27345);
        auto& gateway = start(runtime, processes, gatewayAddress, {});
        auto options = deployment_watch::options::forAgents();
        options.gatewayReportTimeout = 300ms;
        options.store.pollDelay = 100ms;
        auto& agent = start(runtime, processes, testAddress(27346), options);
        runtime.sleepFor(200ms);
        gateway.store.isRefusing = true;
        sendKnowledgeToAgent(runtime, gateway, gatewayAddress, agent, clock_type::now() + 800ms);
        agent.store.version = 2;
        sendKnowledgeToAgent(runtime, gateway, gatewayAddress, agent, clock_type::now() + 800ms);
        EXPECT_EQ(agent.version(), 2U) << "the gateway reports, but the store does not serve it";
    });
}

// Guards against long polls that are lost in an outage. All gateways poll again at the same moment after a change; a
// store that accepts these calls and answers none holds them for the whole length of a poll (21.5 s), long after its
// return, so that all gateways keep an old configuration for up to 43 s and no peer can provide a newer one.
TEST(DeploymentWatch, AConfigurationIsInForceSoonAfterTheStoreHasLeftCallsUnanswered)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        auto& gateway = start(runtime, processes, testAddress(27353), {});
        runtime.sleepFor(100ms);
        gateway.store.version = 2;
        EXPECT_EQ(waitForVersion(runtime, gateway, 2, 500ms), 2U);
        gateway.store.unansweredTables = bothTables;
        runtime.sleepFor(1500ms);
        gateway.store.version = 3;
        gateway.store.unansweredTables.clear();
        EXPECT_EQ(waitForVersion(runtime, gateway, 3, 2s), 3U);
    });
}

// Guards against an outage that is ended for both tables by an answer about one. If the call for the configuration is
// lost while the list of servers is answered, the process must go on to ask peers and the store for the configuration;
// otherwise it may lack a configuration for more than two seconds.
TEST(DeploymentWatch, AnAnswerAboutOneTableConfirmsNothingAboutTheOther)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const auto informedAddress = testAddress(27354);
        auto& informed = start(runtime, processes, informedAddress, {});
        deployment_watch::options options;
        options.peers = { informedAddress };
        auto& gateway = start(runtime, processes, testAddress(27356), options);
        runtime.sleepFor(100ms);
        gateway.store.isRefusing = true;
        runtime.sleepFor(200ms);
        gateway.store.unansweredTables = { watched_table::Configuration };
        gateway.store.isRefusing = false;
        runtime.sleepFor(1000ms);
        gateway.store.serversVersion = 5;
        runtime.sleepFor(500ms);
        informed.store.version = 2;
        EXPECT_EQ(waitForVersion(runtime, gateway, 2, 2s), 2U);
    });
}

// Guards against polls that the store has dropped without an outage. They look the same as polls without a change.
TEST(DeploymentWatch, AnUnansweredPollDoesNotConfirmThatNothingChanged)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        auto& gateway = start(runtime, processes, testAddress(27355), {});
        runtime.sleepFor(100ms);
        ++gateway.store.pollGeneration;
        runtime.sleepFor(10ms);
        gateway.store.version = 2;
        EXPECT_EQ(waitForVersion(runtime, gateway, 2, 2s), 2U);
    });
}

// The store's answers count the changes of all tables. Guards against a gateway that reports this count as its
// revision: the gateway with the latest query would seem to have newer rows, and the others would read rows that they
// have.
TEST(DeploymentWatch, AQueryWithoutChangesDoesNotRaiseTheRevision)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        auto& gateway = start(runtime, processes, testAddress(27357), {});
        runtime.sleepFor(100ms);
        gateway.store.position = 40;
        runtime.sleepFor(1800ms);
        EXPECT_EQ(gateway.watch->knowledge().configuration.revision, 1U);
        EXPECT_LT(gateway.watch->knowledge().configuration.ageMs, 1600U);
        // Changes that follow those of other tables are still returned.
        gateway.store.version = 41;
        EXPECT_EQ(waitForVersion(runtime, gateway, 41, 500ms), 41U);
    });
}

// Guards against an agent that loses the store, then follows gateways, and records the outage until its own next call,
// which never comes. Its directory would never remove a server, because it keeps all servers during an outage.
TEST(DeploymentWatch, AnAgentEndsItsOutageOfTheStoreWhenItFollowsGateways)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const auto gatewayAddress = testAddress(27370);
        auto& gateway = start(runtime, processes, gatewayAddress, {});
        auto& agent = start(runtime, processes, testAddress(27371), deployment_watch::options::forAgents());
        ASSERT_EQ(waitForVersion(runtime, agent, 1, 2s), 1U) << "it follows the store, as no gateway reports to it";
        agent.store.isRefusing = true;
        runtime.sleepFor(500ms);
        EXPECT_FALSE(agent.watch->isStoreAvailable());
        sendKnowledgeToAgent(runtime, gateway, gatewayAddress, agent, clock_type::now() + 1500ms);
        EXPECT_TRUE(agent.watch->isStoreAvailable());
    });
}

TEST(DeploymentWatch, TheKnownVersionNeverDecreases)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        auto& process = start(runtime, processes, testAddress(27342), {});
        process.store.version = 5;
        runtime.sleepFor(800ms);
        EXPECT_EQ(process.version(), 5U);
        process.store.version = 3;
        runtime.sleepFor(800ms);
        EXPECT_EQ(process.version(), 5U);
    });
}

} // namespace
} // namespace coltsfootbend
