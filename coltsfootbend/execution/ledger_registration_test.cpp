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
    claim_ledger newLedger(std::uint64_t life) const
    {
        return claim_ledger({ .keyLifetime = 10min,
            .maxKeys = 10,
            .completeFrom = start + 10min,
            .ownIncarnation = incarnation(life),
            .waitForRegistration = true });
    }
    result<ledger_registered> registerIncarnation(claim_ledger& ledger, std::uint64_t life)
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

TEST_F(LedgerRegistration, GrantsNothingBeforeThisIncarnationIsRegistered)
{
    auto ledger = newLedger(1);
    m_platform.setFaults({ .down = true });
    EXPECT_FALSE(registerIncarnation(ledger, 1));
    EXPECT_EQ(claim(ledger, "k"), claim_verdict::CannotRuleOut);
    m_platform.setFaults({});
    EXPECT_TRUE(registerIncarnation(ledger, 1)->isComplete)
        << "the first incarnation has no predecessor, so its ledger is complete";
    EXPECT_EQ(claim(ledger, "k"), claim_verdict::Granted);
}

TEST_F(LedgerRegistration, APlannedRestartLosesNoKey)
{
    auto first = newLedger(1);
    ASSERT_TRUE(registerIncarnation(first, 1));
    ASSERT_EQ(claim(first, "k"), claim_verdict::Granted);
    ASSERT_EQ(leave(first, 1), std::size_t { 1 });
    auto second = newLedger(2);
    EXPECT_TRUE(registerIncarnation(second, 2)->isComplete);
    EXPECT_EQ(claim(second, "k", 2), claim_verdict::AlreadyClaimed);
    EXPECT_EQ(claim(second, "fresh"), claim_verdict::Granted);
}

TEST_F(LedgerRegistration, AHandOverIsUsedOnceOnly)
{
    auto first = newLedger(1);
    ASSERT_TRUE(registerIncarnation(first, 1));
    ASSERT_TRUE(leave(first, 1));
    auto second = newLedger(2);
    ASSERT_TRUE(registerIncarnation(second, 2));
    ASSERT_EQ(claim(second, "k"), claim_verdict::Granted);
    // The second incarnation crashes without a hand-over, so the keys of the first one are outdated.
    auto third = newLedger(3);
    EXPECT_FALSE(registerIncarnation(third, 3)->isComplete);
    EXPECT_EQ(claim(third, "k", 2), claim_verdict::CannotRuleOut);
}

TEST_F(LedgerRegistration, ALostAnswerLeavesTheLedgerIncomplete)
{
    auto first = newLedger(1);
    ASSERT_TRUE(registerIncarnation(first, 1));
    ASSERT_EQ(claim(first, "k"), claim_verdict::Granted);
    ASSERT_TRUE(leave(first, 1));
    auto second = newLedger(2);
    m_platform.setFaults({ .loseNextAnswers = 1 });
    EXPECT_FALSE(registerIncarnation(second, 2));
    EXPECT_EQ(claim(second, "k", 2), claim_verdict::CannotRuleOut);
    EXPECT_FALSE(registerIncarnation(second, 2)->isComplete);
    EXPECT_EQ(claim(second, "k", 2), claim_verdict::CannotRuleOut);
}

TEST_F(LedgerRegistration, AnIncompleteLedgerDoesNotHandOver)
{
    auto first = newLedger(1);
    ASSERT_TRUE(registerIncarnation(first, 1));
    auto second = newLedger(2); // The first incarnation crashed.
    ASSERT_FALSE(registerIncarnation(second, 2)->isComplete);
    EXPECT_FALSE(leave(second, 2));
    auto third = newLedger(3);
    EXPECT_FALSE(registerIncarnation(third, 3)->isComplete);
}

} // namespace
} // namespace coltsfootbend
