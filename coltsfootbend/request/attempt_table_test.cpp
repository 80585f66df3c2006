#include "coltsfootbend/request/attempt_table.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>

namespace coltsfootbend {
namespace {

attempt_id attempt(std::uint64_t serial) { return { vm_id("e"), incarnation(1), serial }; }

// Applies random operations to a table that is small enough to evict often. In any order, an attempt must start at most
// once, and never after a confirmed revoke.
RC_GTEST_PROP(AttemptTable, StartsNoAttemptTwiceAndNoneThatWasRevoked, ())
{
    attempt_table table({ .maxAttempts = 4, .maxAnswerBytes = 64 });
    std::map<std::uint64_t, int> starts;
    std::set<std::uint64_t> revoked;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        200, rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(1, 12)));
    for (const auto& [operation, number] : steps) {
        const auto serial = static_cast<std::uint64_t>(number);
        switch (operation) {
        case 0:
            (void)table.admit(attempt(serial));
            break;
        case 1:
            if (table.start(attempt(serial))) {
                RC_ASSERT(++starts[serial] == 1);
                RC_ASSERT(!revoked.contains(serial));
            }
            break;
        case 2:
            if (table.revoke(attempt(serial)) == revoke_verdict::Revoked) {
                RC_ASSERT(starts[serial] == 0);
                revoked.insert(serial);
            }
            break;
        case 3:
            table.append(attempt(serial), "some bytes of an answer");
            break;
        default:
            table.finish(attempt(serial));
            break;
        }
        RC_ASSERT(table.size() <= 12U);
    }
}

TEST(AttemptTable, RevokesAnAttemptThatHasNotArrivedYet)
{
    attempt_table table({ .maxAttempts = 10, .maxAnswerBytes = 100 });
    EXPECT_EQ(table.revoke(attempt(1)), revoke_verdict::Revoked);
    EXPECT_EQ(table.admit(attempt(1)), admit_verdict::Revoked);
    EXPECT_FALSE(table.start(attempt(1)));
}

TEST(AttemptTable, ReportsThatEvictedAttemptsMayHaveRun)
{
    attempt_table table({ .maxAttempts = 1, .maxAnswerBytes = 100 });
    EXPECT_EQ(table.admit(attempt(5)), admit_verdict::Admitted);
    ASSERT_TRUE(table.start(attempt(5)));
    table.finish(attempt(5));
    EXPECT_EQ(table.admit(attempt(6)), admit_verdict::Admitted);
    EXPECT_EQ(table.revoke(attempt(5)), revoke_verdict::Forgotten);
    EXPECT_EQ(table.admit(attempt(4)), admit_verdict::Forgotten);
}

TEST(AttemptTable, EvictsTheOldestFinishedBodiesFirst)
{
    attempt_table table({ .maxAttempts = 10, .maxAnswerBytes = 10 });
    for (std::uint64_t serial = 1; serial <= 2; ++serial) {
        (void)table.admit(attempt(serial));
        ASSERT_TRUE(table.start(attempt(serial)));
        table.append(attempt(serial), "12345678");
        table.finish(attempt(serial));
    }
    EXPECT_FALSE(table.find(attempt(1))->bodyKept);
    EXPECT_EQ(table.find(attempt(1))->totalBytes, 8U);
    EXPECT_EQ(table.find(attempt(2))->body, "12345678");
    EXPECT_EQ(table.answerBytes(), 8U);
}

} // namespace
} // namespace coltsfootbend
