#include "coltsfootbend/execution/ledger_registration.h"

#include "coltsfootbend/store/standin.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

const time_point start = time_point {} + 1h;
const vm_id worker("w");

class LedgerRegistration : public testing::Test { // NOLINT(readability-identifier-naming)
protected:
    claim_ledger young(std::uint64_t life) const
    {
        return claim_ledger({ .keyLifetime = 10min,
            .maxKeys = 10,
            .completeFrom = start + 10min,
            .life = incarnation(life),
            .waitForRegistration = true });
    }
    result<ledger_registered> enter(claim_ledger& ledger, std::uint64_t life)
    {
        return registerLedger({ m_platform, m_platform }, { worker, incarnation(life) }, ledger, start, start);
    }
    result<std::size_t> leave(claim_ledger& ledger, std::uint64_t life)
    {
        return handOverLedger({ m_platform, m_platform }, { worker, incarnation(life) }, ledger, start, start);
    }
    static claim_verdict claim(claim_ledger& ledger, const char* key, std::uint64_t serial = 1)
    {
        return ledger
            .claim(start,
                { .key = { customer_id("c"), request_key(key) },
                    .attempt = { vm_id("e"), incarnation(1), serial },
                    .place = { worker, incarnation(1) },
                    .bodyHash = 1 })
            .verdict;
    }

    memory_platform m_platform;
};

TEST_F(LedgerRegistration, GrantsNothingBeforeThePlatformKnowsThisLife)
{
    auto ledger = young(1);
    m_platform.setFaults({ .down = true });
    EXPECT_FALSE(enter(ledger, 1));
    EXPECT_EQ(claim(ledger, "k"), claim_verdict::CannotRuleOut);
    m_platform.setFaults({});
    EXPECT_TRUE(enter(ledger, 1)->isComplete) << "the first life ever knows everything";
    EXPECT_EQ(claim(ledger, "k"), claim_verdict::Granted);
}

TEST_F(LedgerRegistration, APlannedRestartForgetsNoKey)
{
    auto first = young(1);
    ASSERT_TRUE(enter(first, 1));
    ASSERT_EQ(claim(first, "k"), claim_verdict::Granted);
    ASSERT_EQ(leave(first, 1), std::size_t { 1 });
    auto second = young(2);
    EXPECT_TRUE(enter(second, 2)->isComplete);
    EXPECT_EQ(claim(second, "k", 2), claim_verdict::AlreadyClaimed);
    EXPECT_EQ(claim(second, "fresh"), claim_verdict::Granted);
}

TEST_F(LedgerRegistration, AHandOverIsUsedOnceOnly)
{
    auto first = young(1);
    ASSERT_TRUE(enter(first, 1));
    ASSERT_TRUE(leave(first, 1));
    auto second = young(2);
    ASSERT_TRUE(enter(second, 2));
    ASSERT_EQ(claim(second, "k"), claim_verdict::Granted);
    // The second life dies without a word; what the first one left is out of date.
    auto third = young(3);
    EXPECT_FALSE(enter(third, 3)->isComplete);
    EXPECT_EQ(claim(third, "k", 2), claim_verdict::CannotRuleOut);
}

TEST_F(LedgerRegistration, ALostAnswerLeavesTheLedgerIncomplete)
{
    auto first = young(1);
    ASSERT_TRUE(enter(first, 1));
    ASSERT_EQ(claim(first, "k"), claim_verdict::Granted);
    ASSERT_TRUE(leave(first, 1));
    auto second = young(2);
    m_platform.setFaults({ .loseNextAnswers = 1 });
    EXPECT_FALSE(enter(second, 2));
    EXPECT_EQ(claim(second, "k", 2), claim_verdict::CannotRuleOut);
    EXPECT_FALSE(enter(second, 2)->isComplete);
    EXPECT_EQ(claim(second, "k", 2), claim_verdict::CannotRuleOut);
}

TEST_F(LedgerRegistration, AnIncompleteLedgerDoesNotHandOver)
{
    auto first = young(1);
    ASSERT_TRUE(enter(first, 1));
    auto second = young(2); // The first died.
    ASSERT_FALSE(enter(second, 2)->isComplete);
    EXPECT_FALSE(leave(second, 2));
    auto third = young(3);
    EXPECT_FALSE(enter(third, 3)->isComplete);
}

} // namespace
} // namespace coltsfootbend
