// Tests that a process does not call the store without a growing pause when the store refuses polls and answers the
// short calls by which its return is noticed.

#include "coltsfootbend/gateway/deployment_test_support.h"

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

// The fleet's 1,045 processes share 16,000 reading calls a second.
constexpr int callsPerSecond = 15;

// Guards against processes whose pause begins anew with each short call that is answered: all of them together then
// make twice as many calls as the store answers, so that it refuses them for good.
TEST(RefusedPolls, AStoreThatRefusesPollsOnlyIsCalledLessAndLess)
{
    onRuntime([](fiber_runtime& runtime, test_processes& processes) {
        constexpr int seconds = 4;
        auto& gateway = start(runtime, processes, testAddress(27490), {});
        ASSERT_EQ(waitForVersion(runtime, gateway, 1, 1s), 1U);
        gateway.store.refusesPolls = true;
        gateway.store.version = 2; // Ends the polls that are open.
        const int before = gateway.store.callCount;
        EXPECT_EQ(waitForVersion(runtime, gateway, 2, 1s), 2U);
        runtime.sleepFor(2s);
        gateway.store.version = 3;
        EXPECT_EQ(waitForVersion(runtime, gateway, 3, 1500ms), 3U) << "changes are in force in time all the while";
        runtime.sleepFor(seconds * 1s - 2s);
        EXPECT_LE(gateway.store.callCount - before, seconds * callsPerSecond);
    });
}

} // namespace
} // namespace coltsfootbend
