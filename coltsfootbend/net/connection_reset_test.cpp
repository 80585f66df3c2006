#include "coltsfootbend/net/connection_reset.h"

#include "coltsfootbend/net/http.h"
#include "coltsfootbend/net/paused_server.h"
#include "coltsfootbend/net/port_probe.h"

#include <boost/asio/error.hpp>
#include <gtest/gtest.h>
#include <thread>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

time_point soon() { return clock_type::now() + 2s; }

// Serves each connection of a listener with `serve` while `work` runs.
void withListener(const std::function<void(fiber_runtime&, const byte_stream_ptr&)>& serve,
    const std::function<void(fiber_runtime&, const endpoint&)>& work)
{
    std::thread([&] {
        fiber_runtime runtime;
        runtime.spawn([&] {
            const auto opened = *listener::open(runtime, { .address = { "127.0.0.1", 0 }, .tls = {} },
                [&](const byte_stream_ptr& stream) { serve(runtime, stream); });
            work(runtime, { "127.0.0.1", opened->port() });
            opened->close();
            runtime.sleepFor(100ms);
            runtime.stop();
        });
        runtime.run();
    }).join();
}

// Reads until the connection ends and returns the error.
boost::system::error_code readToEnd(byte_stream& stream)
{
    std::string bytes(100, '\0');
    stream.setDeadline(soon());
    while (true) {
        const auto received = stream.readSome(boost::asio::buffer(bytes));
        if (!received)
            return received.error();
    }
}

TEST(ConnectionReset, ThePeerReadsAnErrorAndNotTheEnd)
{
    withListener([](fiber_runtime&, const byte_stream_ptr& stream) { resetConnection(*stream); },
        [](fiber_runtime& runtime, const endpoint& address) {
            const auto stream = *connectTcp(runtime, address, soon());
            EXPECT_EQ(readToEnd(*stream), boost::asio::error::connection_reset);
        });
}

// Guards against requests of a process that was killed, or whose drain limit has passed, that reach a server which
// stood still: the kernel then ends the connection, and no code of the process runs.
TEST(ConnectionReset, AClientConnectionThatIsNotClosedIsReset)
{
    paused_server server;
    withListener([](fiber_runtime&, const byte_stream_ptr&) {},
        [&](fiber_runtime& runtime, const endpoint&) {
            const std::string request(20'000, 'r');
            const auto stream = *connectTcp(runtime, server.address(), soon());
            ASSERT_TRUE(stream->writeAll(request));
        });
    const auto received = server.resume();
    EXPECT_TRUE(received.wasReset);
    EXPECT_LT(received.bytes.size(), 20'000U);
}

TEST(ConnectionReset, AClientConnectionThatIsClosedEndsInOrder)
{
    paused_server server;
    withListener([](fiber_runtime&, const byte_stream_ptr&) {},
        [&](fiber_runtime& runtime, const endpoint&) {
            const auto stream = *connectTcp(runtime, server.address(), soon());
            ASSERT_TRUE(stream->writeAll(std::string(20'000, 'r')));
            stream->close();
        });
    const auto received = server.resume();
    EXPECT_TRUE(received.hasEnded);
    EXPECT_EQ(received.bytes.size(), 20'000U);
}

// Guards against a stream that looks complete to a caller whose protocol version has no chunks, although it broke off.
TEST(ConnectionReset, ABrokenResponseWithoutChunksIsReset)
{
    const auto serve = [](fiber_runtime& runtime, const byte_stream_ptr& stream) {
        serveHttp(
            runtime, stream, {},
            [&](const http_request&, http_responder& responder) {
                (void)responder.begin({ 200, {} });
                (void)responder.write("part");
                runtime.sleepFor(50ms); // Lets the caller read the part first.
                responder.abort();
            },
            [] { return false; });
    };
    withListener(serve, [](fiber_runtime& runtime, const endpoint& address) {
        const auto stream = *connectTcp(runtime, address, soon());
        ASSERT_TRUE(stream->writeAll("GET / HTTP/1.0\r\n\r\n"));
        EXPECT_EQ(readToEnd(*stream), boost::asio::error::connection_reset);
    });
}

TEST(KeepsConnections, IsTrueForAServerThatWaitsForARequest)
{
    withListener([](fiber_runtime&, const byte_stream_ptr& stream) { (void)readToEnd(*stream); },
        [](fiber_runtime& runtime, const endpoint& address) {
            EXPECT_TRUE(keepsConnections(runtime, address, soon()));
        });
}

// The port of a process that is terminating may accept connections until shortly after the others have ended.
TEST(KeepsConnections, IsFalseForAProcessThatIsTerminating)
{
    withListener(
        [](fiber_runtime& runtime, const byte_stream_ptr& stream) {
            runtime.sleepFor(5ms);
            resetConnection(*stream);
        },
        [](fiber_runtime& runtime, const endpoint& address) {
            EXPECT_FALSE(keepsConnections(runtime, address, soon()));
        });
}

TEST(KeepsConnections, IsFalseWhereNoProcessListens)
{
    endpoint closed;
    withListener([](fiber_runtime&, const byte_stream_ptr& stream) { stream->close(); },
        [&](fiber_runtime&, const endpoint& address) { closed = address; });
    withListener([](fiber_runtime&, const byte_stream_ptr& stream) { stream->close(); },
        [&](fiber_runtime& runtime, const endpoint&) { EXPECT_FALSE(keepsConnections(runtime, closed, soon())); });
}

} // namespace
} // namespace coltsfootbend
