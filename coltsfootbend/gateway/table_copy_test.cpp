#include "coltsfootbend/gateway/table_copy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace coltsfootbend {
namespace {

watched_row row(const std::string& key, store_revision revision) { return { key, "v" + key, revision, false }; }
watched_row removal(const std::string& key, store_revision revision) { return { key, {}, revision, true }; }

// Returns the revision of each row of a copy.
std::map<std::string, store_revision> revisionsOf(const table_copy& copy)
{
    std::map<std::string, store_revision> revisions;
    for (const auto& [key, stored] : copy.rows())
        revisions[key] = stored.revision;
    return revisions;
}

TEST(TableCopy, ReturnsOnlyWhatChangedSinceARevision)
{
    table_copy copy;
    copy.replace({ { row("a", 3), row("b", 5) }, 5 });
    copy.apply({ { row("b", 7), removal("a", 8) }, 9 });
    const auto difference = copy.changesSince(7);
    ASSERT_TRUE(difference);
    ASSERT_EQ(difference->rows.size(), 1U);
    EXPECT_EQ(difference->rows[0].key, "a");
    EXPECT_TRUE(difference->rows[0].isDeleted);
    EXPECT_EQ(difference->revision, 8U);
}

TEST(TableCopy, ReturnsNoDifferenceIfEarlierRemovalsAreNotKnown)
{
    table_copy copy;
    EXPECT_FALSE(copy.changesSince(0));
    copy.replace({ { row("a", 3) }, 5 });
    EXPECT_FALSE(copy.changesSince(4));
    EXPECT_TRUE(copy.changesSince(5));
}

TEST(TableCopy, RowsThatAreMissingInALaterSnapshotAreRemovals)
{
    table_copy copy;
    copy.replace({ { row("a", 3), row("b", 4) }, 5 });
    const auto changed = copy.replace({ { row("b", 4), row("c", 7) }, 9 });
    ASSERT_TRUE(changed);
    ASSERT_EQ(changed->size(), 1U);
    EXPECT_EQ(changed->front().key, "c");
    table_copy other;
    other.replace({ { row("a", 3), row("b", 4) }, 5 });
    other.applyDifference(*copy.changesSince(other.revision()));
    EXPECT_EQ(revisionsOf(other), revisionsOf(copy));
    EXPECT_EQ(other.revision(), copy.revision());
}

TEST(TableCopy, AnOlderSnapshotHasNoEffect)
{
    table_copy copy;
    copy.replace({ { row("a", 9) }, 9 });
    EXPECT_FALSE(copy.replace({ {}, 8 }));
    EXPECT_EQ(copy.rows().size(), 1U);
}

TEST(TableCopy, TheNumberOfKeptRemovalsIsBounded)
{
    table_copy copy({ .maxRemovedRows = 2 });
    copy.replace({ { row("a", 1), row("b", 2), row("c", 3) }, 3 });
    copy.apply({ { removal("a", 4), removal("b", 5), removal("c", 6) }, 6 });
    EXPECT_FALSE(copy.changesSince(3)) << "the removal of a is not kept";
    ASSERT_TRUE(copy.changesSince(4));
    EXPECT_EQ(copy.changesSince(4)->rows.size(), 2U);
}

// States the growth: one changed row costs one row, at any size of the table.
TEST(TableCopy, OneChangeCostsOneRowAtTwiceTheSize)
{
    for (const int size : { 500, 1000 }) {
        row_page all { {}, 1 };
        for (int i = 0; i < size; ++i)
            all.rows.push_back(row(std::to_string(i), 1));
        table_copy copy;
        copy.replace(all);
        copy.apply({ { row("7", 2) }, 2 });
        EXPECT_EQ(copy.changesSince(1)->rows.size(), 1U);
    }
}

// A store that is written at random: one copy follows it by snapshots and changes, another one is brought up to date by
// the first one's differences, and takes a snapshot where there is none.
RC_GTEST_PROP(TableCopyProperty, ACopyKeptByDifferencesHasTheRowsOfTheStore, ())
{
    std::map<std::string, watched_row> store;
    store_revision revision = 1;
    table_copy first({ .maxRemovedRows = 3 });
    table_copy second;
    row_page pending;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
        const auto key = std::to_string(*rc::gen::inRange(0, 8));
        ++revision;
        if (*rc::gen::inRange(0, 3) == 0 && store.contains(key)) {
            store.erase(key);
            pending.rows.push_back(removal(key, revision));
        } else {
            store[key] = row(key, revision);
            pending.rows.push_back(store[key]);
        }
        switch (*rc::gen::inRange(0, 5)) {
        case 0: { // A snapshot of the store.
            row_page all { {}, revision };
            for (const auto& [name, stored] : store)
                all.rows.push_back(stored);
            first.replace(all);
            pending.rows.clear();
            break;
        }
        case 1: // The changes since the last call.
            if (first.revision() == 0)
                break;
            pending.revision = revision;
            first.apply(pending);
            pending.rows.clear();
            break;
        case 2: // The second copy reads from the first one.
            if (first.revision() <= second.revision())
                break;
            if (const auto difference = first.changesSince(second.revision()))
                second.applyDifference(*difference);
            else
                second.replace(first.snapshot());
            RC_ASSERT(revisionsOf(second) == revisionsOf(first));
            RC_ASSERT(second.revision() == first.revision());
            break;
        default:
            break;
        }
    }
}

} // namespace
} // namespace coltsfootbend
