#include "coltsfootbend/gateway/deployment_test_support.h"

#include <algorithm>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

// Size in bytes of a configuration with about 1,500 routes.
constexpr std::size_t largeConfiguration = 500'000;

std::uint64_t bytesMoved(test_process& process)
{
    return process.core.find<peer_service>("peers")->client().bytesMoved();
}

void refuseAll(const test_processes& processes)
{
    for (const auto& process : processes)
        process->store.isRefusing = true;
}

// Guards against agents that read a large configuration, of which they need no routes, from several gateways every 0.4
// s when the store becomes unavailable to all processes after a large change. Such reads fill links of 8 Mbit/s for
// eight seconds, so that group leaders reach no rank, expert maps don't follow the demand, and two thirds of the
// answers are late.
TEST(PeerReading, AnAgentDoesNotReadManyRoutesWhileTheStoreIsUnavailable)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const std::vector<endpoint> gateways { testAddress(27380), testAddress(27381), testAddress(27382) };
        for (const auto& address : gateways)
            start(runtime, processes, address, {});
        auto options = deployment_watch::options::forAgents();
        options.peers = gateways;
        auto& agent = start(runtime, processes, testAddress(27383), options);
        sendKnowledgeToAgent(runtime, *processes[0], gateways[0], agent, clock_type::now() + 300ms);
        for (const auto& process : processes) {
            process->store.padding = std::string(largeConfiguration, ' ');
            process->store.version = 2;
        }
        agent.store.isRefusing = true;
        runtime.sleepFor(300ms);
        refuseAll(processes);
        const auto before = bytesMoved(agent);
        runtime.sleepFor(3s);
        EXPECT_LT(bytesMoved(agent) - before, largeConfiguration) << "it needs the figures of one engine";
    });
}

// Guards against reading the same rows from each of three peers that have them.
TEST(PeerReading, AGatewayReadsAnUpdateFromOnlyOneOfItsPeers)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const std::vector<endpoint> peers { testAddress(27384), testAddress(27385), testAddress(27386) };
        for (const auto& address : peers)
            start(runtime, processes, address, {});
        deployment_watch::options options;
        options.peers = peers;
        auto& gateway = start(runtime, processes, testAddress(27387), options);
        runtime.sleepFor(100ms);
        gateway.store.isRefusing = true;
        const auto before = bytesMoved(gateway);
        for (const auto& process : processes) {
            process->store.padding = std::string(largeConfiguration, ' ');
            process->store.version = 2;
        }
        EXPECT_EQ(waitForVersion(runtime, gateway, 2, 2s), 2U);
        runtime.sleepFor(500ms);
        EXPECT_LT(bytesMoved(gateway) - before, 2 * largeConfiguration);
    });
}

// Guards against a process that holds a copy of the whole table in memory for each of the processes that read it at the
// same time: states that the number is bounded, whatever the number of readers.
TEST(PeerReading, WholeTablesAreSentToFewPeersAtOnce)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const auto source = testAddress(27440);
        auto& gateway = start(runtime, processes, source, {});
        gateway.store.padding = std::string(largeConfiguration, ' ');
        gateway.store.version = 2;
        ASSERT_EQ(waitForVersion(runtime, gateway, 2, 2s), 2U);
        constexpr std::uint16_t readers = 20;
        std::vector<test_process*> started;
        for (std::uint16_t i = 1; i <= readers; ++i)
            started.push_back(&start(runtime, processes, testAddress(static_cast<std::uint16_t>(27440 + i)),
                deployment_watch::options::forAgents()));
        std::size_t most = 0;
        const auto areAllRead = [&] {
            return std::all_of(
                started.begin(), started.end(), [](const auto* process) { return process->version() == 2; });
        };
        const auto until = clock_type::now() + 5s;
        for (auto* process : started)
            process->watch->receiveGatewayReport(source, gateway.watch->knowledge());
        while (!areAllRead() && clock_type::now() < until) {
            most = std::max(most, gateway.watch->snapshotReplies());
            runtime.sleepFor(1ms);
        }
        EXPECT_TRUE(areAllRead());
        EXPECT_GE(most, 1U);
        EXPECT_LE(most, deployment_watch::maxSnapshotReplies);
    });
}

// A peer with a slow link. Guards against a timeout that is shorter than its answer takes: each read would be abandoned
// shortly before its end and would start again.
class slow_peer {
public:
    static constexpr std::uint64_t era = 1; // That of the fake stores.

    slow_peer(fiber_runtime& runtime, const endpoint& address, duration answerTime)
    {
        m_core.add(std::make_unique<metrics_service>());
        auto made = std::make_unique<peer_service>(runtime,
            peer_identity { .vm = vm_id(toString(address)), .processIncarnation = incarnation(1) },
            peer_service::options { .address = address, .serverTls = {}, .clientTls = {} });
        made->on<wire::deployment_request>(
            [this, &runtime, answerTime](peer_stream& stream, const wire::message&, const wire::deployment_request&) {
                ++m_asked;
                runtime.sleepFor(answerTime);
                (void)stream.send(wire::deployment_reply { .configurationRevision = 2,
                                      .configuration = { { "configuration", "2", 2, false, era } },
                                      .serversRevision = 0,
                                      .servers = {},
                                      .configurationEra = era },
                    true);
            });
        made->on<wire::deployment_inquiry>(
            [](peer_stream& stream, const wire::message&, const wire::deployment_inquiry&) {
                (void)stream.send(wire::deployment_knowledge { .configuration = { .revision = 2, .era = era } }, true);
            });
        m_core.add(std::move(made));
        EXPECT_TRUE(m_core.start());
    }

    int asked() const { return m_asked; }
    void stop() { m_core.stop(); }

private:
    kernel m_core;
    int m_asked = 0;
};

TEST(PeerReading, ASlowAnswerIsAwaitedAndNotRequestedAgain)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const auto slowAddress = testAddress(27388);
        slow_peer slow(runtime, slowAddress, 1500ms);
        deployment_watch::options options;
        options.peers = { slowAddress };
        auto& gateway = start(runtime, processes, testAddress(27389), options);
        runtime.sleepFor(100ms);
        gateway.store.isRefusing = true;
        EXPECT_EQ(waitForVersion(runtime, gateway, 2, 3s), 2U);
        EXPECT_EQ(slow.asked(), 1);
        slow.stop();
    });
}

} // namespace
} // namespace coltsfootbend
