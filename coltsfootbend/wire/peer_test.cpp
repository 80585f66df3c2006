// Tests the lifetime of what the handlers of streams refer to.

#include "coltsfootbend/net/test_address.h"
#include "coltsfootbend/wire/peer.h"

#include <gtest/gtest.h>
#include <thread>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

constexpr auto handlerTime = 300ms;
constexpr auto replyLimit = 2s;

// Represents a process with one message handler, which counts its calls and takes `handlerTime`.
struct slow_process {
    slow_process(fiber_runtime& runtime, const endpoint& address)
        : service(runtime, peer_identity { .vm = vm_id("slow"), .processIncarnation = incarnation(1) },
            peer_service::options { .address = address, .serverTls = {}, .clientTls = {} })
    {
        service.on<wire::deployment_inquiry>(
            [this, &runtime](peer_stream& stream, const wire::message&, const wire::deployment_inquiry&) {
                ++begun;
                runtime.sleepFor(handlerTime);
                (void)stream.send(wire::acknowledge {}, true);
                ++ended;
            });
    }

    peer_service service;
    kernel core;
    int begun = 0;
    int ended = 0;
};

const peer_identity clientIdentity { .vm = vm_id("client"), .processIncarnation = incarnation(2) };

// Runs `test` on a fiber of a new runtime. Fails if fibers still run 5 s after its end.
void onRuntime(const std::function<void(fiber_runtime&)>& test)
{
    std::thread([&] {
        fiber_runtime runtime;
        runtime.spawn([&] {
            test(runtime);
            const auto limit = clock_type::now() + 5s;
            while (runtime.fibers() > 1 && clock_type::now() < limit)
                runtime.sleepFor(1ms);
            EXPECT_EQ(runtime.fibers(), 1U);
            runtime.stop();
        });
        runtime.run();
    }).join();
}

// Guards against handlers that use a service after its destruction: their fibers outlived it.
TEST(PeerService, StopWaitsForTheHandlersThatRun)
{
    onRuntime([](fiber_runtime& runtime) {
        const auto address = testAddress(27460);
        peer_client client(runtime, clientIdentity);
        {
            slow_process process(runtime, address);
            ASSERT_TRUE(process.service.start(process.core));
            const auto until = clock_type::now() + replyLimit;
            auto stream = client.open(address, wire::deployment_inquiry {}, true, until);
            ASSERT_TRUE(stream);
            while (process.begun == 0 && clock_type::now() < until)
                runtime.sleepFor(1ms);
            process.service.stop();
            EXPECT_EQ(process.begun, 1);
            EXPECT_EQ(process.ended, 1);
        }
        client.drop(address);
    });
}

// Guards against connections that stay open after `stop` and pass new streams to a service that no longer exists.
TEST(PeerService, StopClosesTheConnectionsThatItAccepted)
{
    onRuntime([](fiber_runtime& runtime) {
        const auto address = testAddress(27461);
        peer_client client(runtime, clientIdentity);
        {
            slow_process process(runtime, address);
            ASSERT_TRUE(process.service.start(process.core));
            ASSERT_TRUE(client.ask(address, wire::deployment_inquiry {}, clock_type::now() + replyLimit));
            process.service.stop();
        }
        EXPECT_FALSE(client.ask(address, wire::deployment_inquiry {}, clock_type::now() + replyLimit));
        client.drop(address);
    });
}

} // namespace
} // namespace coltsfootbend
