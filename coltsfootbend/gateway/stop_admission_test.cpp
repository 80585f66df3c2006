// Guards against requests that a stopping gateway accepts and cannot answer before it ends, and against refusals of
// those that it can.

#include "coltsfootbend/gateway/stop_admission.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

constexpr time_point start { 1h };
const stop_admission::stop_times stop { .begunAt = start, .acceptsUntil = start + 2600ms, .endsAt = start + 7700ms };

// Returns whether a request with a deadline long after the stop may begin when it arrives.
bool mayBegin(const stop_admission& admission, const std::string& route, time_point arrivedAt)
{
    return admission.mayBegin(route, { .arrivedAt = arrivedAt, .deadline = start + 1h }, arrivedAt);
}

TEST(StopAdmission, BeforeAStopEveryRequestMayBegin)
{
    stop_admission admission;
    admission.onAnswered("r", 1h, start);
    EXPECT_TRUE(mayBegin(admission, "r", start));
    EXPECT_TRUE(mayBegin(admission, "other", start));
}

// Guards against requests that are cut at the end of the stop because earlier answers were shorter.
TEST(StopAdmission, ARequestThatArrivesAfterTheLastConnectionBeginsOnlyIfItsDeadlineIsBeforeTheEnd)
{
    stop_admission admission;
    admission.onAnswered("short", 30ms, start - 1s);
    admission.begin(stop);
    for (const std::string route : { "short", "unknown" }) {
        for (const auto arrivedAt : { stop.acceptsUntil, start + 5s }) {
            EXPECT_TRUE(admission.mayBegin(route, { arrivedAt, stop.endsAt }, arrivedAt));
            EXPECT_FALSE(admission.mayBegin(route, { arrivedAt, stop.endsAt + 1ms }, arrivedAt));
        }
    }
}

// Guards against refusals of callers that have no more time than the process.
TEST(StopAdmission, ARequestWhoseDeadlineIsBeforeTheEndBeginsAlsoAfterLongAnswers)
{
    stop_admission admission;
    admission.onAnswered("long", 1h, start - 1s);
    admission.begin(stop);
    EXPECT_TRUE(admission.mayBegin("long", { start + 1s, stop.endsAt }, start + 1s));
    EXPECT_FALSE(admission.mayBegin("long", { start + 1s, stop.endsAt + 1ms }, start + 1s));
}

TEST(StopAdmission, ARequestThatArrivesBeforeMayBeginAsLongAsTheLongestAnswerOfLateFits)
{
    stop_admission admission;
    admission.onAnswered("longest", 6s, start - 1s);
    admission.onAnswered("long", 4s, start - 1s);
    admission.onAnswered("long", 2s, start - 1s);
    admission.begin(stop);
    EXPECT_TRUE(mayBegin(admission, "longest", start + 1700ms));
    EXPECT_FALSE(mayBegin(admission, "longest", start + 1701ms));
    EXPECT_TRUE(mayBegin(admission, "long", start + 2599ms));
}

// Guards against requests that wait for a server for so long that their answers are cut.
TEST(StopAdmission, ARequestThatHasWaitedMayBeginAsLongAsTheLongestAnswerOfLateFits)
{
    stop_admission admission;
    admission.onAnswered("long", 4s, start - 1s);
    admission.begin(stop);
    EXPECT_TRUE(admission.mayBegin("long", { start - 1s, start + 1h }, start + 3700ms));
    EXPECT_FALSE(admission.mayBegin("long", { start - 1s, start + 1h }, start + 3701ms));
}

TEST(StopAdmission, ARequestWhoseAnswersAreUnknownMayBeginInTheFirstHalfOfAStop)
{
    stop_admission admission;
    admission.begin(stop);
    EXPECT_TRUE(mayBegin(admission, "r", start));
    EXPECT_TRUE(mayBegin(admission, "r", start + 2599ms));
    EXPECT_TRUE(admission.mayBegin("r", { start, start + 1h }, start + 3850ms));
    EXPECT_FALSE(admission.mayBegin("r", { start, start + 1h }, start + 3851ms));
}

// One long answer must not cause refusals in all later stops.
TEST(StopAdmission, ALongAnswerIsForgottenAfterTwoWindows)
{
    stop_admission admission;
    admission.onAnswered("r", 8s, start - 70s);
    admission.onAnswered("r", 1s, start - 39s);
    admission.onAnswered("r", 1s, start - 8s);
    admission.begin(stop);
    EXPECT_TRUE(mayBegin(admission, "r", start + 2s));
}

TEST(StopAdmission, AnAnswerOfThePreviousWindowCounts)
{
    stop_admission admission;
    admission.onAnswered("r", 6s, start - 35s);
    admission.onAnswered("r", 1s, start - 1s);
    admission.begin(stop);
    EXPECT_FALSE(mayBegin(admission, "r", start + 2s));
}

TEST(StopAdmission, AnswersOfLongAgoAreUnknown)
{
    stop_admission admission;
    admission.onAnswered("r", 1s, start - 61s);
    admission.begin(stop);
    EXPECT_FALSE(admission.mayBegin("r", { start, start + 1h }, start + 4s));
}

} // namespace
} // namespace coltsfootbend
