#include "coltsfootbend/quarantine/crash_history.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

const request_fingerprint fatal("fatal");
const request_fingerprint bystander("bystander");
const time_point start = time_point {} + 24h;
const duration settled = crash_history::options().settle;

crash_record at(const request_fingerprint& request, int server, time_point when = start)
{
    return { .request = request, .server = server_life("s" + std::to_string(server)), .at = when };
}

TEST(CrashHistory, ARequestIsQuarantinedAfterThreeCrashes)
{
    crash_history history;
    history.add({ at(fatal, 1) }, start);
    history.add({ at(fatal, 2) }, start + 1s);
    EXPECT_FALSE(history.isQuarantined(fatal, start + 1h));
    history.add({ at(fatal, 3, start + 2s) }, start + 2s);
    EXPECT_FALSE(history.isQuarantined(fatal, start + 2s)) << "others may still tell who else was there";
    EXPECT_TRUE(history.isQuarantined(fatal, start + 2s + settled));
}

// Each crash takes a whole group down for seconds, so that the third one is not waited for while the request comes on.
TEST(CrashHistory, ARequestIsSuspendedForAMinuteAfterTwoCrashes)
{
    crash_history history;
    history.add({ at(fatal, 1), at(bystander, 1) }, start);
    EXPECT_FALSE(history.refusedUntil(fatal, start + 1s));
    history.add({ at(fatal, 2, start + 5s) }, start + 5s);
    EXPECT_EQ(history.refusedUntil(fatal, start + 5s + settled), start + 65s);
    EXPECT_FALSE(history.refusedUntil(bystander, start + 6s));
    EXPECT_FALSE(history.refusedUntil(fatal, start + 65s)) << "it was no proof";
    history.add({ at(fatal, 3, start + 70s) }, start + 70s);
    EXPECT_EQ(history.refusedUntil(fatal, start + 71s), start + 70s + 60min);
}

TEST(CrashHistory, WhileTwoRequestsWereAtTheSameTwoCrashesNeitherIsSuspended)
{
    crash_history history;
    for (int server = 1; server <= 2; ++server)
        history.add({ at(fatal, server), at(bystander, server) }, start);
    EXPECT_FALSE(history.refusedUntil(fatal, start + settled));
    EXPECT_FALSE(history.refusedUntil(bystander, start + settled));
}

TEST(CrashHistory, AGoodEndEndsASuspension)
{
    crash_history history;
    history.add({ at(bystander, 1), at(bystander, 2) }, start);
    EXPECT_TRUE(history.refusedUntil(bystander, start + settled));
    history.clear(bystander);
    EXPECT_FALSE(history.refusedUntil(bystander, start + settled));
}

TEST(CrashHistory, TheSameCrashCountsOnceHoweverOftenItIsTold)
{
    crash_history history;
    for (int i = 0; i < 5; ++i)
        history.add({ at(fatal, 1), at(fatal, 2) }, start);
    EXPECT_EQ(history.crashes(fatal), 2U);
}

TEST(CrashHistory, WhoWasOftenBesideTheCauseIsNotQuarantinedWithIt)
{
    crash_history history;
    for (int server = 1; server <= 4; ++server)
        history.add({ at(fatal, server) }, start);
    for (int server = 2; server <= 4; ++server)
        history.add({ at(bystander, server) }, start);
    EXPECT_TRUE(history.isQuarantined(fatal, start + settled));
    EXPECT_FALSE(history.isQuarantined(bystander, start + settled));
    EXPECT_EQ(history.crashes(bystander), 0U);
}

TEST(CrashHistory, WhileTwoRequestsWereAtTheSameCrashesNeitherIsBlamed)
{
    crash_history history;
    for (int server = 1; server <= 3; ++server)
        history.add({ at(fatal, server), at(bystander, server) }, start);
    EXPECT_FALSE(history.isQuarantined(fatal, start + settled));
    EXPECT_FALSE(history.isQuarantined(bystander, start + settled));
    history.add({ at(fatal, 4) }, start);
    EXPECT_TRUE(history.isQuarantined(fatal, start + settled)) << "the next crash tells which";
    EXPECT_FALSE(history.isQuarantined(bystander, start + settled));
}

TEST(CrashHistory, RequestsThatAlwaysCrashServersTogetherAreBothQuarantinedInTheEnd)
{
    crash_history history;
    for (int server = 1; server <= 5; ++server)
        history.add({ at(fatal, server), at(bystander, server) }, start);
    EXPECT_TRUE(history.isQuarantined(fatal, start + settled) || history.isQuarantined(bystander, start + settled));
}

TEST(CrashHistory, TwoRequestsThatCrashServersAreBothQuarantined)
{
    crash_history history;
    const request_fingerprint other("other");
    for (int server = 1; server <= 3; ++server)
        history.add({ at(fatal, server), at(other, 10 + server) }, start);
    EXPECT_TRUE(history.isQuarantined(fatal, start + settled) && history.isQuarantined(other, start + settled));
}

TEST(CrashHistory, ACrashAtWhichTheCauseWasCountsAgainstNobodyElse)
{
    crash_history history;
    const request_fingerprint other("other");
    for (int server = 1; server <= 4; ++server)
        history.add({ at(fatal, server) }, start);
    history.add({ at(other, 4), at(other, 5), at(other, 6) }, start);
    EXPECT_FALSE(history.isQuarantined(other, start + settled));
    history.add({ at(other, 7) }, start);
    EXPECT_TRUE(history.isQuarantined(other, start + settled));
}

TEST(CrashHistory, AGoodEndClearsARequestForGood)
{
    crash_history history;
    history.add({ at(bystander, 1), at(bystander, 2) }, start);
    const auto cleared = history.clear(bystander);
    ASSERT_EQ(cleared.size(), 2U);
    EXPECT_TRUE(cleared.front().isCleared);
    EXPECT_TRUE(history.clear(bystander).empty()) << "no news the second time";
    history.add({ at(bystander, 1), at(bystander, 2), at(bystander, 3) }, start);
    EXPECT_EQ(history.crashes(bystander), 1U) << "what others still tell of the first two counts no more";
}

TEST(CrashHistory, SuspectsAndQuarantinesAreForgottenInTime)
{
    crash_history history;
    history.add({ at(bystander, 1) }, start);
    history.add({ at(fatal, 2), at(fatal, 3), at(fatal, 4) }, start);
    history.expire(start + 10min);
    EXPECT_TRUE(history.recordsOf(bystander).empty());
    EXPECT_TRUE(history.isQuarantined(fatal, start + 59min));
    EXPECT_EQ(history.refusedUntil(fatal, start + 1min), start + 60min);
    EXPECT_FALSE(history.isQuarantined(fatal, start + 60min));
    history.expire(start + 60min);
    EXPECT_TRUE(history.isEmpty());
    history.add({ at(fatal, 2) }, start + 61min);
    EXPECT_TRUE(history.isEmpty()) << "old news from others do not bring it back";
}

TEST(CrashHistory, IsBoundedAndKeepsWhoIsMostSuspected)
{
    crash_history history({ .maxRecords = 10 });
    history.add({ at(fatal, 1), at(fatal, 2), at(fatal, 3) }, start);
    for (int i = 0; i < 100; ++i)
        history.add({ at(request_fingerprint(std::to_string(i)), 100 + i) }, start);
    EXPECT_EQ(history.records().size(), 10U);
    EXPECT_TRUE(history.isFull());
    EXPECT_TRUE(history.isQuarantined(fatal, start + settled));
}

RC_GTEST_PROP(CrashHistory, AllVmsComeToTheSameVerdictsInWhateverOrderTheyAreTold, ())
{
    std::vector<crash_record> records;
    const auto count = *rc::gen::inRange(1, 60);
    records.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        const request_fingerprint request("r" + std::to_string(*rc::gen::inRange(0, 8)));
        records.push_back(at(request, *rc::gen::inRange(0, 12)));
        records.back().isCleared = *rc::gen::inRange(0, 10) == 0;
    }
    crash_history one;
    one.add(records, start);
    std::shuffle(records.begin(), records.end(), std::minstd_rand(*rc::gen::arbitrary<unsigned>()));
    crash_history other;
    for (const auto& record : records)
        other.add({ record }, start + 5ms);
    RC_ASSERT(one.digest() == other.digest());
    RC_ASSERT(one.quarantined() == other.quarantined());
}

// Servers crash by one request, and some by themselves. Bystanders change from crash to crash as requests under way do.
RC_GTEST_PROP(CrashHistory, TheCauseIsFoundWithinSixCrashesAndNobodyElseIsBlamed, ())
{
    std::minstd_rand random(*rc::gen::arbitrary<unsigned>());
    const auto draw = [&](int until) { return std::uniform_int_distribution<int>(0, until - 1)(random); };
    crash_history history;
    constexpr int others = 60;
    constexpr int aboard = 8;
    int fatalCrashes = 0;
    for (int server = 0; !history.quarantined().contains(fatal); ++server) {
        std::vector<crash_record> records;
        records.reserve(aboard + 1);
        const bool isByItself = draw(4) == 0;
        for (int i = 0; i < aboard; ++i)
            records.push_back(at(request_fingerprint("r" + std::to_string(draw(others))), server));
        if (!isByItself) {
            records.push_back(at(fatal, server));
            ++fatalCrashes;
        }
        history.add(records, start);
        // Most of those that were there are run to a good end before the next crash.
        for (int i = 0; i < others; ++i) {
            if (draw(3) > 0)
                history.clear(request_fingerprint("r" + std::to_string(i)));
        }
        RC_ASSERT(fatalCrashes <= 6);
    }
    RC_ASSERT(history.quarantined() == std::set { fatal });
}

} // namespace
} // namespace coltsfootbend
