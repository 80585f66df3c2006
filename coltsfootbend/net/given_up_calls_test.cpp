// Guards against calls that take effect after they were given up, because the process that is called stood still in the
// meantime: calls of the store and of engines, and streams between the system's own processes.

#include "coltsfootbend/net/cancellation.h"
#include "coltsfootbend/net/h2.h"
#include "coltsfootbend/net/http.h"
#include "coltsfootbend/net/paused_server.h"

#include <gtest/gtest.h>
#include <optional>
#include <thread>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

// Larger than what the kernel buffers for a paused server, and small enough to be sent without blocking.
constexpr std::size_t bodyBytes = 20'000;

// Runs `work` on a new runtime in a new thread, because the fiber scheduler of a thread cannot be replaced.
void onRuntime(const std::function<void(fiber_runtime&)>& work)
{
    std::thread([&] {
        fiber_runtime runtime;
        runtime.spawn([&] {
            work(runtime);
            runtime.sleepFor(100ms); // Lets the other fibers end.
            runtime.stop();
        });
        runtime.run();
    }).join();
}

http_request largeRequest()
{
    return { .method = "POST", .target = "/order", .headers = {}, .body = std::string(bodyBytes, 'b') };
}

void expectNotDelivered(paused_server& server)
{
    const auto received = server.resume();
    EXPECT_TRUE(received.hasConnection) << "the call was not sent";
    EXPECT_TRUE(received.wasReset);
    EXPECT_LT(received.bytes.size(), bodyBytes);
}

TEST(GivenUpCalls, AreNotDeliveredAfterTheirDeadline)
{
    onRuntime([](fiber_runtime& runtime) {
        paused_server server;
        http_client client(runtime);
        EXPECT_FALSE(client.send(server.address(), largeRequest(), clock_type::now() + 100ms));
        expectNotDelivered(server);
    });
}

TEST(GivenUpCalls, AreNotDeliveredAfterTheyWereCancelled)
{
    onRuntime([](fiber_runtime& runtime) {
        paused_server server;
        http_client client(runtime);
        cancellation call;
        runtime.spawn([&] {
            runtime.sleepFor(50ms);
            call.cancel();
        });
        EXPECT_FALSE(client.send(server.address(), largeRequest(), clock_type::now() + 2s, &call));
        expectNotDelivered(server);
    });
}

// Opens a stream to a process that stands still, gives it up, and returns what the handler of the stream receives when
// the process goes on; none if the handler is not called.
std::optional<result<std::optional<std::string>>> receiveAfterPause(
    const std::function<void(h2_connection&, h2_stream&)>& giveUp)
{
    std::optional<result<std::optional<std::string>>> received;
    onRuntime([&](fiber_runtime& runtime) {
        bool isPaused = true;
        const auto handleStream = [&](const std::string&, const h2_stream_ptr& stream) {
            received = stream->receive(clock_type::now() + 1s);
        };
        const auto listening = *listener::open(
            runtime, { .address = { "127.0.0.1", 0 }, .tls = {} }, [&](const byte_stream_ptr& accepted) {
                while (isPaused)
                    runtime.sleepFor(5ms);
                h2_connection::serve(runtime, accepted, handleStream);
            });
        const endpoint address { "127.0.0.1", listening->port() };
        const auto connection = *h2_connection::connect(runtime, address, {}, clock_type::now() + 1s);
        const auto stream = *connection->open("/order");
        ASSERT_TRUE(stream->send("order", true));
        runtime.sleepFor(50ms); // Lets the order be written.
        giveUp(*connection, *stream);
        runtime.sleepFor(50ms);
        isPaused = false;
        runtime.sleepFor(200ms);
        connection->close();
        listening->close();
    });
    return received;
}

TEST(GivenUpCalls, AStreamThatWasResetIsNotServedAfterAPause)
{
    const auto received = receiveAfterPause([](h2_connection&, h2_stream& stream) { stream.reset(); });
    EXPECT_TRUE(!received || !*received) << "the handler received an order that was given up";
}

TEST(GivenUpCalls, AStreamThatStillWaitsIsServedAfterAPause)
{
    const auto received = receiveAfterPause([](h2_connection&, h2_stream&) {});
    ASSERT_TRUE(received);
    ASSERT_TRUE(*received);
    EXPECT_EQ(**received, "order");
}

// The peer of a dropped connection must not read the rest of a large order.
TEST(GivenUpCalls, AreNotDeliveredOverAConnectionThatIsDropped)
{
    onRuntime([](fiber_runtime& runtime) {
        paused_server server;
        const auto connection = *h2_connection::connect(runtime, server.address(), {}, clock_type::now() + 1s);
        const auto stream = *connection->open("/order");
        ASSERT_TRUE(stream->send(std::string(bodyBytes, 'b'), true));
        runtime.sleepFor(50ms); // Lets the order be written.
        connection->close();
        expectNotDelivered(server);
    });
}

} // namespace
} // namespace coltsfootbend
