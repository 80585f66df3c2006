// Guards against requests that reach a server after the gateway has given them up: the server stood still or its
// connection was slow, and it then runs a request that no caller waits for. Each test gives up a request in another
// way. All of them failed while connections with a pending request were closed in order.

#include "coltsfootbend/gateway/exchange_test_support.h"
#include "coltsfootbend/net/paused_server.h"

#include <gtest/gtest.h>
#include <stdexcept>

namespace coltsfootbend::exchange_tests {
namespace {

// Larger than what the kernel buffers for a paused server, and small enough to be sent without blocking.
constexpr std::size_t paddingBytes = 20'000;

std::vector<http_header> padding() { return { { "X-Padding", std::string(paddingBytes, 'p') } }; }

void respond(byte_stream& stream, const std::string& head, int) { (void)stream.writeAll(responseTo(head, 200, "ok")); }

// Checks that the server cannot run the request, and learns at once that no caller waits for it.
void expectNotDelivered(paused_server& server)
{
    const auto received = server.resume();
    EXPECT_TRUE(received.hasConnection) << "the request was not sent to the server";
    EXPECT_TRUE(received.wasReset);
    EXPECT_LT(received.bytes.size(), paddingBytes);
}

TEST(GivenUpRequests, AreNotDeliveredAfterTheCallerHasDisconnected)
{
    onRuntime([](exchange_fixture& fixture) {
        paused_server server;
        fixture.configureAddresses(makeRoute(route_kind::Stream, 1, true), { server.address() });
        fixture.runtime.spawn([&] {
            fixture.runtime.sleepFor(50ms);
            fixture.responder.onDisconnect();
        });
        (void)fixture.run("r1", "3000", padding());
        expectNotDelivered(server);
    });
}

TEST(GivenUpRequests, AreNotDeliveredAfterTheDeadline)
{
    onRuntime([](exchange_fixture& fixture) {
        paused_server server;
        fixture.configureAddresses(makeRoute(route_kind::AtMostOnce, 1), { server.address() });
        EXPECT_EQ(fixture.run("r1", "200", padding()).status, 504);
        expectNotDelivered(server);
    });
}

TEST(GivenUpRequests, AreNotDeliveredAfterAnotherServerHasTakenThemOver)
{
    onRuntime([](exchange_fixture& fixture) {
        paused_server paused;
        scripted_server sound(fixture.runtime, respond);
        const auto onlyRoute = makeRoute(route_kind::Idempotent, 2);
        fixture.configureAddresses(onlyRoute, { paused.address() });
        fixture.runtime.spawn([&] {
            fixture.runtime.sleepFor(50ms); // The request has been sent to the paused server.
            fixture.configureAddresses(onlyRoute, { paused.address(), sound.address() });
        });
        EXPECT_EQ(fixture.run("r1", "3000", padding()).status, 200);
        expectNotDelivered(paused);
        sound.close();
    });
}

TEST(GivenUpRequests, AreNotDeliveredToASecondServerThatIsNotNeeded)
{
    onRuntime([](exchange_fixture& fixture) {
        paused_server paused;
        scripted_server slow(fixture.runtime, [&](byte_stream& stream, const std::string& head, int number) {
            fixture.runtime.sleepFor(1s); // Longer than the wait before a second attempt.
            respond(stream, head, number);
        });
        const auto onlyRoute = makeRoute(route_kind::Idempotent, 2);
        fixture.configureAddresses(onlyRoute, { slow.address() });
        fixture.runtime.spawn([&] {
            fixture.runtime.sleepFor(50ms); // The request has been sent to the slow server.
            fixture.configureAddresses(onlyRoute, { slow.address(), paused.address() });
        });
        EXPECT_EQ(fixture.run("r1", "3000", padding()).status, 200);
        expectNotDelivered(paused);
        slow.close();
    });
}

TEST(GivenUpRequests, AreNotDeliveredAfterAnExceptionOfTheExchange)
{
    onRuntime([](exchange_fixture& fixture) {
        paused_server server;
        fixture.configureAddresses(makeRoute(route_kind::Stream, 1, true), { server.address() });
        fixture.responder.onWrite = [] { throw std::runtime_error("a fault of one request"); };
        fixture.runtime.spawn([&] {
            fixture.runtime.sleepFor(50ms);
            const std::string request = "X-Request-Id: r1\r\n";
            EXPECT_TRUE(server.respondWithoutReading(streamHead(request) + chunk(event(1))));
        });
        EXPECT_THROW((void)fixture.run("r1", "3000", padding()), std::runtime_error);
        expectNotDelivered(server);
    });
}

// A server may answer before it has read a long body and read on later. It must get the rest of that body.
TEST(GivenUpRequests, AnAnsweredRequestIsDeliveredToItsEnd)
{
    onRuntime([](exchange_fixture& fixture) {
        paused_server server;
        fixture.configureAddresses(makeRoute(route_kind::AtMostOnce, 1), { server.address() });
        fixture.runtime.spawn([&] {
            fixture.runtime.sleepFor(50ms);
            EXPECT_TRUE(
                server.respondWithoutReading(responseTo("X-Request-Id: r1\r\n", 200, "ok", "Connection: close\r\n")));
        });
        EXPECT_EQ(fixture.run("r1", "3000", padding()).status, 200);
        const auto received = server.resume();
        EXPECT_TRUE(received.hasEnded);
        EXPECT_GT(received.bytes.size(), paddingBytes);
    });
}

} // namespace
} // namespace coltsfootbend::exchange_tests
