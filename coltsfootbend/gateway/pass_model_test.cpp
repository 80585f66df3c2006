#include "coltsfootbend/gateway/pass_model.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

// Passes of 50 ms with full slots, and an answer of ten of them.
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

TEST(PassModel, AFirstEventTakesTwoPassesWhileASlotIsFree)
{
    const auto engine = fourSlots();
    EXPECT_EQ(pass_model(engine, 0).firstEvent(3), 100ms);
    EXPECT_EQ(pass_model(engine, 80).firstEvent(0), 160ms) << "passes were longer lately than the operator states";
}

TEST(PassModel, WhoeverWaitsForASlotWaitsForItsShareOfAnAnswer)
{
    const auto engine = fourSlots();
    EXPECT_EQ(pass_model(engine, 0).firstEvent(4), 100ms + 150ms);
    EXPECT_EQ(pass_model(engine, 0).firstEvent(5), 100ms + 300ms);
}

TEST(PassModel, FewerRequestsRunWherePassesOutlastThePauseThatCallersAccept)
{
    const auto engine = fourSlots();
    EXPECT_EQ(pass_model(engine, 120).runningLimit(120ms), 3);
    EXPECT_EQ(pass_model(engine, 60).runningLimit(120ms), 4);
    EXPECT_EQ(pass_model(engine, 2000).runningLimit(120ms), 1);
    EXPECT_EQ(pass_model(engine, 120).runningLimit({}), 4);
}

} // namespace
} // namespace coltsfootbend
