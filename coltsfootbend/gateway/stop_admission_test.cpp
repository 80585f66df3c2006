// Guards against requests that a stopping gateway accepts and cannot answer before it ends, and against refusals of
// those that it can.

#include "coltsfootbend/gateway/stop_admission.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

constexpr time_point start { 1h };
const stop_admission::stop_times stop { .begunAt = start, .endsAt = start + 7700ms };

TEST(StopAdmission, BeforeAStopEveryRequestIsAccepted)
{
    stop_admission admission;
    admission.onAnswered("r", 1h, start);
    EXPECT_TRUE(admission.mayAccept("r", start));
    EXPECT_TRUE(admission.mayAccept("other", start));
}

TEST(StopAdmission, ARequestIsAcceptedAsLongAsTheLongestAnswerOfLateFits)
{
    stop_admission admission;
    admission.onAnswered("long", 4s, start - 1s);
    admission.onAnswered("long", 2s, start - 1s);
    admission.onAnswered("short", 30ms, start - 1s);
    admission.begin(stop);
    EXPECT_TRUE(admission.mayAccept("long", start + 3700ms));
    EXPECT_FALSE(admission.mayAccept("long", start + 3701ms));
    EXPECT_TRUE(admission.mayAccept("short", start + 7670ms));
    EXPECT_FALSE(admission.mayAccept("short", start + 7671ms));
}

TEST(StopAdmission, ARequestWhoseAnswersAreUnknownIsAcceptedInTheFirstHalfOfAStop)
{
    stop_admission admission;
    admission.begin(stop);
    EXPECT_TRUE(admission.mayAccept("r", start));
    EXPECT_TRUE(admission.mayAccept("r", start + 3850ms));
    EXPECT_FALSE(admission.mayAccept("r", start + 3851ms));
}

// One long answer must not cause refusals in all later stops.
TEST(StopAdmission, ALongAnswerIsForgottenAfterTwoWindows)
{
    stop_admission admission;
    admission.onAnswered("r", 8s, start - 70s);
    admission.onAnswered("r", 1s, start - 39s);
    admission.onAnswered("r", 1s, start - 8s);
    admission.begin(stop);
    EXPECT_TRUE(admission.mayAccept("r", start + 6s));
}

TEST(StopAdmission, AnAnswerOfThePreviousWindowCounts)
{
    stop_admission admission;
    admission.onAnswered("r", 6s, start - 35s);
    admission.onAnswered("r", 1s, start - 1s);
    admission.begin(stop);
    EXPECT_FALSE(admission.mayAccept("r", start + 2s));
}

TEST(StopAdmission, AnswersOfLongAgoAreUnknown)
{
    stop_admission admission;
    admission.onAnswered("r", 1s, start - 61s);
    admission.begin(stop);
    EXPECT_FALSE(admission.mayAccept("r", start + 4s));
}

} // namespace
} // namespace coltsfootbend
