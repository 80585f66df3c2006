#include "coltsfootbend/request/claim_ledger.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

const time_point start = time_point {} + 1h;
const customer_key key { customer_id("c"), request_key("k") };

attempt_id attempt(std::uint64_t serial) { return { vm_id("e"), incarnation(7), serial }; }

claim_request claimOf(std::uint64_t serial, std::uint32_t number = 0)
{
    return { .key = key,
        .attempt = attempt(serial),
        .place = { vm_id("w"), incarnation(1) },
        .attemptNumber = number,
        .bodyHash = 5 };
}

claim_ledger::options complete()
{
    return { .keyLifetime = 10min, .maxKeys = 3, .completeFrom = start, .ownIncarnation = incarnation(1) };
}
claim_ledger::options incomplete()
{
    return { .keyLifetime = 10min, .maxKeys = 3, .completeFrom = start + 10min, .ownIncarnation = incarnation(1) };
}

TEST(ClaimLedger, GrantsAKeyToOneAttemptOnly)
{
    claim_ledger ledger(complete());
    EXPECT_EQ(ledger.claim(start, claimOf(1)).verdict, claim_verdict::Granted);
    EXPECT_EQ(ledger.claim(start, claimOf(1)).verdict, claim_verdict::Granted) << "a claim sent again is granted again";
    const auto second = ledger.claim(start, claimOf(2));
    EXPECT_EQ(second.verdict, claim_verdict::AlreadyClaimed);
    EXPECT_EQ(second.holder->attempt, attempt(1));
}

TEST(ClaimLedger, PassesAKeyOnOnlyWithTheHolderNamedAsNeverStarting)
{
    claim_ledger ledger(complete());
    (void)ledger.claim(start, claimOf(1));
    auto wrong = claimOf(3);
    wrong.replaces = attempt(2);
    EXPECT_EQ(ledger.claim(start, wrong).verdict, claim_verdict::AlreadyClaimed);
    auto right = claimOf(3);
    right.replaces = attempt(1);
    EXPECT_EQ(ledger.claim(start, right).verdict, claim_verdict::Granted);
    EXPECT_EQ(ledger.claim(start, claimOf(1)).verdict, claim_verdict::AlreadyClaimed)
        << "a delayed copy of the first claim";
}

TEST(ClaimLedger, RefusesAnotherBodyUnderTheSameKey)
{
    claim_ledger ledger(complete());
    (void)ledger.claim(start, claimOf(1));
    auto other = claimOf(2);
    other.bodyHash = 6;
    EXPECT_EQ(ledger.claim(start, other).verdict, claim_verdict::BodyMismatch);
}

TEST(ClaimLedger, AnIncompleteLedgerRefusesKeysThatMayBeGranted)
{
    claim_ledger ledger(incomplete());
    EXPECT_EQ(ledger.claim(start, claimOf(1)).verdict, claim_verdict::CannotRuleOut);
    EXPECT_EQ(ledger.claim(start, claimOf(1, 2)).verdict, claim_verdict::CannotRuleOut);
    EXPECT_EQ(ledger.claim(start, claimOf(1, 1)).verdict, claim_verdict::Granted)
        << "the caller numbers it as its first attempt";
    EXPECT_EQ(ledger.close(start, { key.customer, request_key("other") }, 2).verdict, claim_verdict::CannotRuleOut);
}

TEST(ClaimLedger, AnIncompleteLedgerGrantsOnlyTicketsOfItsOwnIncarnation)
{
    claim_ledger ledger(incomplete());
    auto own = claimOf(1);
    own.ticketIncarnation = incarnation(1);
    EXPECT_EQ(ledger.claim(start, own).verdict, claim_verdict::Granted);
    auto previous = claimOf(2);
    previous.key.key = request_key("former");
    previous.ticketIncarnation = incarnation(9);
    EXPECT_EQ(ledger.claim(start + 1h, previous).verdict, claim_verdict::CannotRuleOut)
        << "independent of the age of the ledger";
    ledger.restore(start + 1h, {}, incarnation(9));
    EXPECT_EQ(ledger.claim(start + 1h, previous).verdict, claim_verdict::Granted) << "after its hand-over";
}

TEST(ClaimLedger, AClosedAttemptNumberNeverRunsAndALaterOneMay)
{
    claim_ledger ledger(complete());
    EXPECT_EQ(ledger.close(start, key, 2).verdict, claim_verdict::Granted);
    EXPECT_EQ(ledger.claim(start, claimOf(1, 1)).verdict, claim_verdict::Closed);
    EXPECT_EQ(ledger.claim(start, claimOf(2, 2)).verdict, claim_verdict::Closed);
    EXPECT_EQ(ledger.claim(start, claimOf(3, 3)).verdict, claim_verdict::Granted);
    EXPECT_EQ(ledger.close(start, key, 3).verdict, claim_verdict::AlreadyClaimed) << "it may be running";
    ledger.release(key, attempt(3));
    EXPECT_EQ(ledger.close(start, key, 3).verdict, claim_verdict::Granted);
}

TEST(ClaimLedger, AFullLedgerRefusesNewKeysAndEvictsNone)
{
    claim_ledger ledger(complete());
    for (int i = 0; i < 3; ++i) {
        auto request = claimOf(10);
        request.key.key = request_key(std::to_string(i));
        EXPECT_EQ(ledger.claim(start, request).verdict, claim_verdict::Granted);
    }
    EXPECT_EQ(ledger.claim(start, claimOf(1)).verdict, claim_verdict::LedgerFull);
    EXPECT_EQ(ledger.claim(start + 11min, claimOf(1)).verdict, claim_verdict::Granted) << "their lifetime is over";
}

TEST(ClaimLedger, AHandOverCarriesEveryKeyAndEndsGranting)
{
    claim_ledger previous(complete());
    (void)previous.claim(start, claimOf(1));
    const auto rows = previous.handOver(start);
    EXPECT_EQ(previous.claim(start, claimOf(1)).verdict, claim_verdict::Leaving);
    claim_ledger next(incomplete());
    next.restore(start, rows);
    EXPECT_EQ(next.claim(start, claimOf(2)).verdict, claim_verdict::AlreadyClaimed);
    auto fresh = claimOf(3);
    fresh.key.key = request_key("fresh");
    EXPECT_EQ(next.claim(start, fresh).verdict, claim_verdict::Granted);
}

} // namespace
} // namespace coltsfootbend
