// Tests that a process does not read a peer again without a pause when the peer answers none of its reads.

#include "coltsfootbend/gateway/deployment_test_support.h"
#include "coltsfootbend/net/byte_stream.h"

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

// Agents that name the same peer as the source of an update: all those of a group of 50, each every 100 ms.
constexpr duration hintInterval = 2ms;

void sendHints(fiber_runtime& runtime, test_process& process, const endpoint& peer, duration length)
{
    for (const auto until = clock_type::now() + length; clock_type::now() < until;) {
        process.watch->receiveUpdateHint(peer);
        runtime.sleepFor(hintInterval);
    }
}

// Guards against a gateway without the store that connects to a peer with each datagram that names the peer, hundreds
// of times a second, while the peer closes each connection, as a process does that has just ended.
TEST(UnreadablePeer, APeerThatClosesEachConnectionIsNotReadWithoutAPause)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const auto connections = std::make_shared<int>(0);
        const auto address = testAddress(27480);
        const auto closing
            = listener::open(runtime, { .address = address }, [connections](const byte_stream_ptr& stream) {
                  ++*connections;
                  stream->close();
              });
        ASSERT_TRUE(closing);
        auto& gateway = start(runtime, processes, testAddress(27481), {});
        ASSERT_EQ(waitForVersion(runtime, gateway, 1, 1s), 1U);
        gateway.store.isRefusing = true;
        runtime.sleepFor(200ms);
        sendHints(runtime, gateway, address, 2s);
        EXPECT_GE(*connections, 2) << "it is tried again";
        EXPECT_LE(*connections, 15);
        (*closing)->close();
    });
}

// Guards against a pause that delays an update: another peer that has it is read at once.
TEST(UnreadablePeer, AnotherPeerIsReadAtOnceAfterOneThatFailed)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        const auto informedAddress = testAddress(27482);
        auto& informed = start(runtime, processes, informedAddress, {});
        auto& gateway = start(runtime, processes, testAddress(27483), {});
        ASSERT_EQ(waitForVersion(runtime, gateway, 1, 1s), 1U);
        gateway.store.isRefusing = true;
        informed.store.version = 2;
        ASSERT_EQ(waitForVersion(runtime, informed, 2, 1s), 2U);
        runtime.sleepFor(200ms);
        gateway.watch->receiveUpdateHint(testAddress(27484)); // Nothing listens there.
        const auto pauseEnd = clock_type::now() + deployment_watch::options().peerRetryDelay;
        while (gateway.version() < 2 && clock_type::now() < pauseEnd) {
            runtime.sleepFor(10ms);
            gateway.watch->receiveUpdateHint(informedAddress);
        }
        EXPECT_EQ(gateway.version(), 2U);
    });
}

} // namespace
} // namespace coltsfootbend
