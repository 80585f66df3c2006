#include "coltsfootbend/gateway/deployment_watch.h"

#include "coltsfootbend/gateway/deployment_test_support.h"

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

// The store refuses the gateway; all that it hears is an agent, which has just seen another change.
TEST(DeploymentWatch, AGatewayThatTheStoreRefusesLearnsFromAnAgentInTime)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const endpoint agentAddress { "127.0.0.1", 27341 };
        auto& agent = start(runtime, processes, agentAddress, deployment_watch::options::forAgents());
        deployment_watch::options options;
        options.peers = { agentAddress };
        auto& gateway = start(runtime, processes, { "127.0.0.1", 27340 }, options);
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

// Sixty agents that follow the store themselves cost more than half of all calls.
TEST(DeploymentWatch, AnAgentLeavesTheStoreToTheGateways)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const endpoint gatewayAddress { "127.0.0.1", 27343 };
        auto& gateway = start(runtime, processes, gatewayAddress, {});
        auto options = deployment_watch::options::forAgents();
        options.configurationFromPeersEvery = 100ms;
        auto& agent = start(runtime, processes, { "127.0.0.1", 27344 }, options);
        agent.store.version = 1;
        sendKnowledgeToAgent(runtime, gateway, gatewayAddress, agent, clock_type::now() + 300ms);
        // The polls that were open when the gateway was first heard end with this change.
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

// Replays 1,400 new routes: read by 63 agents through links of 8 Mbit/s they filled these for seconds.
TEST(DeploymentWatch, AnAgentDoesNotReadEveryConfiguration)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const endpoint gatewayAddress { "127.0.0.1", 27347 };
        auto& gateway = start(runtime, processes, gatewayAddress, {});
        auto& agent = start(runtime, processes, { "127.0.0.1", 27348 }, deployment_watch::options::forAgents());
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

TEST(DeploymentWatch, AGatewayThatTheStoreRefusesReadsFromWhoIsSaidToKnowMore)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const endpoint served { "127.0.0.1", 27349 };
        auto& informed = start(runtime, processes, served, {});
        auto& refused = start(runtime, processes, { "127.0.0.1", 27350 }, {});
        runtime.sleepFor(100ms);
        refused.store.isRefusing = true;
        informed.store.version = 2;
        runtime.sleepFor(700ms);
        EXPECT_EQ(refused.version(), 1U);
        refused.watch->hearOfNews(served);
        runtime.sleepFor(200ms);
        EXPECT_EQ(refused.version(), 2U);
    });
}

// Polls of several gateways were silent for twelve seconds while others heard of six configurations.
TEST(DeploymentWatch, AGatewayWhosePollIsSilentReadsFromWhoIsSaidToKnowMore)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const endpoint informedAddress { "127.0.0.1", 27351 };
        auto& informed = start(runtime, processes, informedAddress, {});
        auto& deaf = start(runtime, processes, { "127.0.0.1", 27352 }, {});
        runtime.sleepFor(100ms);
        deaf.store.stallsPolls = true;
        deaf.store.version = informed.store.version = 2;
        for (int i = 0; i < 15; ++i) {
            runtime.sleepFor(100ms);
            deaf.watch->hearOfNews(informedAddress);
        }
        EXPECT_EQ(deaf.version(), 2U);
    });
}

TEST(DeploymentWatch, AnAgentFollowsTheStoreOnceNoGatewayDoes)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const endpoint gatewayAddress { "127.0.0.1", 27345 };
        auto& gateway = start(runtime, processes, gatewayAddress, {});
        auto options = deployment_watch::options::forAgents();
        options.peerSilence = 300ms;
        options.store.settle = 100ms;
        auto& agent = start(runtime, processes, { "127.0.0.1", 27346 }, options);
        runtime.sleepFor(200ms);
        gateway.store.isRefusing = true;
        sendKnowledgeToAgent(runtime, gateway, gatewayAddress, agent, clock_type::now() + 800ms);
        agent.store.version = 2;
        sendKnowledgeToAgent(runtime, gateway, gatewayAddress, agent, clock_type::now() + 800ms);
        EXPECT_EQ(agent.version(), 2U) << "the gateway speaks, but the store does not serve it";
    });
}

// All eight gateways of a deployment ran on an old configuration for 43 s, while 25 newer ones were accepted. A change
// had made all of them ask the store anew; 0.3 s later the store took those calls, and it answered none for six
// seconds. The calls were waited for until the whole length of a long poll had passed, long after the store was back.
// The same brought about once more, with a line for each call that fails, shows the wait:
//      4.92 E200 version=11 routes=19 revision=31
//     26.72 E208 table=configuration call=changes waited_ms=21501
//     26.89 E200 version=14 routes=20 revision=32, and sixteen later ones in the same millisecond
// No peer could help, for all had asked at the same moment.
TEST(DeploymentWatch, AConfigurationIsInForceSoonAfterAStoreThatTookCallsAndAnsweredNone)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        auto& gateway = start(runtime, processes, { "127.0.0.1", 27353 }, {});
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

// When the store fell silent again, the call for the configuration was lost once more, and this time the loss of the
// store was known. But the first answer about the list of servers ended that state for both tables, so that neither
// peers nor the store were asked again for the configuration: from 34 to 36 s each gateway had seven calls answered,
// and at 38.5 s one still did not know a configuration of 36.0 s.
TEST(DeploymentWatch, AnAnswerAboutOneTableIsNoProofForTheOther)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const endpoint informedAddress { "127.0.0.1", 27354 };
        auto& informed = start(runtime, processes, informedAddress, {});
        deployment_watch::options options;
        options.peers = { informedAddress };
        auto& gateway = start(runtime, processes, { "127.0.0.1", 27356 }, options);
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

// A poll that the store no longer knows of looks just like one that has nothing to tell, without any outage in between.
TEST(DeploymentWatch, APollThatTellsNothingIsNoProofThatNothingChanged)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        auto& gateway = start(runtime, processes, { "127.0.0.1", 27355 }, {});
        runtime.sleepFor(100ms);
        ++gateway.store.pollGeneration;
        runtime.sleepFor(10ms);
        gateway.store.version = 2;
        EXPECT_EQ(waitForVersion(runtime, gateway, 2, 2s), 2U);
    });
}

// The store's answers count the changes of all tables. A gateway that had asked last seemed to know more than all
// others, who then read from it what they had.
TEST(DeploymentWatch, WhoHasAskedLastDoesNotSeemToKnowMore)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        auto& gateway = start(runtime, processes, { "127.0.0.1", 27357 }, {});
        runtime.sleepFor(100ms);
        gateway.store.position = 40;
        runtime.sleepFor(1800ms);
        EXPECT_EQ(gateway.watch->knowledge().configuration.revision, 1U);
        EXPECT_LT(gateway.watch->knowledge().configuration.ageMs, 1600U);
        // Changes that come after those of other tables are told all the same.
        gateway.store.version = 41;
        EXPECT_EQ(waitForVersion(runtime, gateway, 41, 500ms), 41U);
    });
}

// An agent that had lost the store itself, and then followed gateways, kept that loss until its own next call, which
// never came; a directory that believes the store away gives up no server that is gone.
TEST(DeploymentWatch, AnAgentThatLeavesTheStoreToGatewaysForgetsThatItHadLostIt)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const endpoint gatewayAddress { "127.0.0.1", 27370 };
        auto& gateway = start(runtime, processes, gatewayAddress, {});
        auto& agent = start(runtime, processes, { "127.0.0.1", 27371 }, deployment_watch::options::forAgents());
        runtime.sleepFor(100ms);
        agent.store.isRefusing = true;
        runtime.sleepFor(500ms);
        EXPECT_FALSE(agent.watch->storeAnswers());
        sendKnowledgeToAgent(runtime, gateway, gatewayAddress, agent, clock_type::now() + 1500ms);
        EXPECT_TRUE(agent.watch->storeAnswers());
    });
}

TEST(DeploymentWatch, WhatIsKnownNeverGoesBack)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        auto& process = start(runtime, processes, { "127.0.0.1", 27342 }, {});
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
