#include "coltsfootbend/gateway/crash_witness.h"

#include "coltsfootbend/metrics/metrics.h"

#include <future>
#include <gtest/gtest.h>
#include <optional>
#include <thread>
#include <unistd.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

// Tests run beside each other, each in a process of its own.
const std::string host
    = "127.45." + std::to_string(::getpid() / 250 % 250) + "." + std::to_string(::getpid() % 250 + 1);
const endpoint agentAddress { host, 7400 };
const endpoint deadAgent { host, 7401 };

struct verdict {
    bool hasEnded = false;
    int asked = 0;
};

// A server that listens or not, and an agent that says what it found at the server's port.
verdict judge(bool isListening, std::optional<wire::port_finding> finding, const std::vector<endpoint>& agents)
{
    std::promise<verdict> told;
    std::thread([&] {
        // Fibers of the services wait for more: the process ends with them.
        auto& runtime = *new fiber_runtime;
        runtime.spawn([&] {
            int asked = 0;
            auto& core = *new kernel;
            core.add(std::make_unique<metrics_service>());
            core.add(
                std::make_unique<peer_service>(runtime, peer_identity { .vm = vm_id("agent"), .life = incarnation(1) },
                    peer_service::options { .address = agentAddress, .serverTls = {}, .clientTls = {} }));
            auto* peers = core.find<peer_service>("peers");
            if (finding) {
                peers->on<wire::port_inquiry>(
                    [&](peer_stream& stream, const wire::message&, const wire::port_inquiry&) {
                        ++asked;
                        (void)stream.send(*finding, true);
                    });
            }
            EXPECT_TRUE(core.start());
            auto server
                = *listener::open(runtime, { .address = { "127.0.0.1", 0 }, .tls = {} }, [](const byte_stream_ptr&) {});
            const backend_server lost { .id = backend_id("b"), .address = { "127.0.0.1", server->port() } };
            if (!isListening)
                server->close();
            peer_crash_witness witness(runtime, peers->client(), [&](const backend_server&) { return agents; });
            const bool hasEnded = witness.hasEnded(lost);
            told.set_value({ hasEnded, asked });
            while (true)
                runtime.sleepFor(1h);
        });
        runtime.run();
    }).detach();
    return told.get_future().get();
}

constexpr wire::port_finding refused { .isKnown = true, .isRefused = true };
constexpr wire::port_finding open { .isKnown = true, .isRefused = false };

TEST(CrashWitness, AServerWhosePortRefusesItsAgentTooHasEnded)
{
    EXPECT_TRUE(judge(false, refused, { agentAddress }).hasEnded);
}

// Seen from one VM, a partition that resets connections looks like the end of all servers beyond it: eleven engines
// were taken for crashed in one moment, most of which other gateways still reached.
TEST(CrashWitness, AServerThatItsAgentReachesHasNotEnded)
{
    EXPECT_FALSE(judge(false, open, { agentAddress }).hasEnded);
}

TEST(CrashWitness, AServerThatCanBeReachedFromHereIsNotAskedAbout)
{
    const auto found = judge(true, refused, { agentAddress });
    EXPECT_FALSE(found.hasEnded);
    EXPECT_EQ(found.asked, 0);
}

TEST(CrashWitness, AnAgentThatDoesNotAnswerIsPassedOver)
{
    EXPECT_TRUE(judge(false, refused, { deadAgent, agentAddress }).hasEnded);
}

TEST(CrashWitness, NothingIsProvedWhereNoAgentCanTell)
{
    EXPECT_FALSE(judge(false, wire::port_finding {}, { agentAddress, deadAgent }).hasEnded);
}

} // namespace
} // namespace coltsfootbend
