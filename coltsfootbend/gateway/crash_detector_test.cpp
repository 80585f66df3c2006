#include "coltsfootbend/gateway/crash_detector.h"

#include <gtest/gtest.h>
#include <thread>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

const request_fingerprint first("1");
const request_fingerprint second("2");

class fake_verifier final : public crash_verifier {
public:
    explicit fake_verifier(bool hasTerminated)
        : m_hasEnded(hasTerminated)
    {
    }
    bool hasTerminated(const backend_server&) override { return m_hasEnded; }

private:
    const bool m_hasEnded;
};

// Collects the crashes that the detector reports after two exchanges with a server broke.
class crash_detector_test : public testing::Test {
protected:
    void play(bool hasTerminated, bool isLeaving)
    {
        std::thread([&] {
            fiber_runtime runtime;
            fake_verifier verifier(hasTerminated);
            runtime.spawn([&] {
                const backend_server lost { .id = backend_id("b"), .address = { "127.0.0.1", 1 } };
                crash_detector detector(
                    runtime, verifier, [&](const backend_server&) { return isLeaving; },
                    [this](const backend_crash& crash) { m_crashes.push_back(crash); });
                detector.onExchangeBroken(lost, first);
                detector.onExchangeBroken(lost, second);
                runtime.sleepFor(100ms);
                runtime.stop();
            });
            runtime.run();
        }).join();
    }

    std::vector<backend_crash> m_crashes;
};

TEST_F(crash_detector_test, ReportsAllRequestsThatWereAtACrashedServer)
{
    play(true, false);
    ASSERT_EQ(m_crashes.size(), 1U);
    EXPECT_EQ(m_crashes.front().server.id, backend_id("b"));
    EXPECT_EQ(m_crashes.front().requests, (std::set { first, second }));
}

TEST_F(crash_detector_test, BrokenExchangesAloneAreNoCrash)
{
    play(false, false);
    EXPECT_TRUE(m_crashes.empty());
}

TEST_F(crash_detector_test, PlannedEndOfAServerIsNoCrash)
{
    play(true, true);
    EXPECT_TRUE(m_crashes.empty());
}

} // namespace
} // namespace coltsfootbend
