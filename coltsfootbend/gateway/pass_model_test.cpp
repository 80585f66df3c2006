#include "coltsfootbend/gateway/pass_model.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

// Returns an engine whose passes take 50 ms with full slots, and whose answers take ten passes.
engine_model fourSlots()
{
    engine_model engine;
    engine.slots = 4;
    engine.stepMs = 6;
    engine.perSequenceMs = 1;
    engine.stepsPerPass = 5;
    engine.usualAnswerTokens = 50;
    return engine;
}

TEST(PassModel, FirstEventTakesTwoPassesWhileASlotIsFree)
{
    const auto engine = fourSlots();
    EXPECT_EQ(pass_model(engine, 0).firstEventLatency(3), 100ms);
    EXPECT_EQ(pass_model(engine, 80).firstEventLatency(0), 160ms)
        << "recent passes took longer than the engine model states";
}

TEST(PassModel, EachRequestAheadAddsOneSlotIntervalToTheWait)
{
    const auto engine = fourSlots();
    EXPECT_EQ(pass_model(engine, 0).firstEventLatency(4), 100ms + 150ms);
    EXPECT_EQ(pass_model(engine, 0).firstEventLatency(5), 100ms + 300ms);
}

TEST(PassModel, RunningLimitFallsWhenPassesExceedTheGapTarget)
{
    const auto engine = fourSlots();
    EXPECT_EQ(pass_model(engine, 120).runningLimit(120ms), 3);
    EXPECT_EQ(pass_model(engine, 60).runningLimit(120ms), 4);
    EXPECT_EQ(pass_model(engine, 2000).runningLimit(120ms), 1);
    EXPECT_EQ(pass_model(engine, 120).runningLimit({}), 4);
}

} // namespace
} // namespace coltsfootbend
