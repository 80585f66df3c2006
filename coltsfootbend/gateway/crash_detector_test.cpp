#include "coltsfootbend/gateway/crash_detector.h"

#include <gtest/gtest.h>
#include <thread>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

const request_fingerprint first("1");
const request_fingerprint second("2");

// A server on loopback, and what the detector says once requests at it are lost.
class crash_detector_test : public testing::Test {
protected:
    void play(bool isListening, bool isLeaving)
    {
        std::thread([&] {
            fiber_runtime runtime;
            runtime.spawn([&] {
                auto server = *listener::open(
                    runtime, { .address = { "127.0.0.1", 0 }, .tls = {} }, [](const byte_stream_ptr&) {});
                const backend_server lost { .id = backend_id("b"), .address = { "127.0.0.1", server->port() } };
                if (!isListening)
                    server->close();
                crash_detector detector(
                    runtime, [&](const backend_server&) { return isLeaving; },
                    [this](const backend_crash& crash) { m_crashes.push_back(crash); });
                detector.lost(lost, first);
                detector.lost(lost, second);
                runtime.sleepFor(200ms);
                server->close();
                runtime.sleepFor(20ms); // For its fibers to end.
                runtime.stop();
            });
            runtime.run();
        }).join();
    }

    std::vector<backend_crash> m_crashes;
};

TEST_F(crash_detector_test, NamesAllRequestsThatWereAtAServerThatCrashed)
{
    play(false, false);
    ASSERT_EQ(m_crashes.size(), 1U);
    EXPECT_EQ(m_crashes.front().server.id, backend_id("b"));
    EXPECT_EQ(m_crashes.front().requests, (std::set { first, second }));
}

TEST_F(crash_detector_test, AServerThatOnlyBrokeOffExchangesHasNotCrashed)
{
    play(true, false);
    EXPECT_TRUE(m_crashes.empty());
}

TEST_F(crash_detector_test, AServerThatLeftAsPlannedHasNotCrashed)
{
    play(false, true);
    EXPECT_TRUE(m_crashes.empty());
}

} // namespace
} // namespace coltsfootbend
