#include "coltsfootbend/gateway/table_copy.h"

#include <array>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace coltsfootbend {
namespace {

// Returns a state of the only era of a store that reports none.
store_revision at(std::uint64_t number) { return { {}, number }; }

watched_row row(const std::string& key, std::uint64_t revision) { return { key, "v" + key, at(revision), false }; }
watched_row removal(const std::string& key, std::uint64_t revision) { return { key, {}, at(revision), true }; }

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
    copy.replace({ { row("a", 3), row("b", 5) }, at(5) });
    copy.apply({ { row("b", 7), removal("a", 8) }, at(9) });
    const auto difference = copy.changesSince(at(7));
    ASSERT_TRUE(difference);
    ASSERT_EQ(difference->rows.size(), 1U);
    EXPECT_EQ(difference->rows[0].key, "a");
    EXPECT_TRUE(difference->rows[0].isDeleted);
    EXPECT_EQ(difference->revision, at(8));
}

TEST(TableCopy, ReturnsNoDifferenceIfEarlierRemovalsAreNotKnown)
{
    table_copy copy;
    EXPECT_FALSE(copy.changesSince(at(0)));
    copy.replace({ { row("a", 3) }, at(5) });
    EXPECT_FALSE(copy.changesSince(at(4)));
    EXPECT_TRUE(copy.changesSince(at(5)));
}

TEST(TableCopy, RowsThatAreMissingInALaterSnapshotAreRemovals)
{
    table_copy copy;
    copy.replace({ { row("a", 3), row("b", 4) }, at(5) });
    const auto changed = copy.replace({ { row("b", 4), row("c", 7) }, at(9) });
    ASSERT_TRUE(changed);
    ASSERT_EQ(changed->size(), 1U);
    EXPECT_EQ(changed->front().key, "c");
    table_copy other;
    other.replace({ { row("a", 3), row("b", 4) }, at(5) });
    other.applyDifference(*copy.changesSince(other.revision()));
    EXPECT_EQ(revisionsOf(other), revisionsOf(copy));
    EXPECT_EQ(other.revision(), copy.revision());
}

TEST(TableCopy, AnOlderSnapshotHasNoEffect)
{
    table_copy copy;
    copy.replace({ { row("a", 9) }, at(9) });
    EXPECT_FALSE(copy.replace({ {}, at(8) }));
    EXPECT_EQ(copy.rows().size(), 1U);
}

TEST(TableCopy, TheNumberOfKeptRemovalsIsBounded)
{
    table_copy copy({ .maxRemovedRows = 2 });
    copy.replace({ { row("a", 1), row("b", 2), row("c", 3) }, at(3) });
    copy.apply({ { removal("a", 4), removal("b", 5), removal("c", 6) }, at(6) });
    EXPECT_FALSE(copy.changesSince(at(3))) << "the removal of a is not kept";
    ASSERT_TRUE(copy.changesSince(at(4)));
    EXPECT_EQ(copy.changesSince(at(4))->rows.size(), 2U);
}

// States the growth: one changed row costs one row, at any size of the table.
TEST(TableCopy, OneChangeCostsOneRowAtTwiceTheSize)
{
    for (const int size : { 500, 1000 }) {
        row_page all { {}, at(1) };
        for (int i = 0; i < size; ++i)
            all.rows.push_back(row(std::to_string(i), 1));
        table_copy copy;
        copy.replace(all);
        copy.apply({ { row("7", 2) }, at(2) });
        EXPECT_EQ(copy.changesSince(at(1))->rows.size(), 1U);
    }
}

constexpr store_era firstEra { 1 };
constexpr store_era secondEra { 2 };

watched_row valued(const std::string& key, const std::string& value, store_revision revision)
{
    return { key, value, revision, false };
}

// Guards against refusing every table of a store that has come back from an older copy.
TEST(TableCopy, ATableOfALaterEraReplacesOneWithAHigherNumber)
{
    table_copy copy;
    copy.replace({ { valued("a", "new", { firstEra, 34 }) }, { firstEra, 34 } });
    const auto changed = copy.replace({ { valued("a", "old", { secondEra, 20 }) }, { secondEra, 30 } });
    ASSERT_TRUE(changed);
    EXPECT_EQ(changed->size(), 1U);
    EXPECT_EQ(copy.revision(), (store_revision { secondEra, 30 }));
    EXPECT_EQ(copy.position(), (store_revision { secondEra, 30 }));
    EXPECT_FALSE(copy.replace({ { valued("a", "new", { firstEra, 34 }) }, { firstEra, 99 } })) << "a late answer";
    EXPECT_EQ(copy.rows().at("a").value, "old");
}

// Guards against taking the same number for the same state.
TEST(TableCopy, TheSameNumberOfALaterEraIsAnotherState)
{
    table_copy copy;
    copy.replace({ { valued("a", "24", { firstEra, 34 }) }, { firstEra, 34 } });
    const auto changed = copy.replace({ { valued("a", "35", { secondEra, 34 }) }, { secondEra, 34 } });
    ASSERT_TRUE(changed);
    ASSERT_EQ(changed->size(), 1U);
    EXPECT_EQ(changed->front().value, "35");
}

TEST(TableCopy, ADifferenceAcrossErasHoldsOnlyTheRowsThatDiffer)
{
    const row_page before { { valued("a", "1", { firstEra, 3 }), valued("b", "1", { firstEra, 4 }),
                                valued("c", "1", { firstEra, 5 }) },
        { firstEra, 5 } };
    table_copy first;
    first.replace(before);
    table_copy second;
    second.replace(before);
    first.replace({ { valued("a", "1", { secondEra, 3 }), valued("b", "2", { secondEra, 4 }) }, { secondEra, 4 } });
    const auto difference = first.changesSince(second.revision());
    ASSERT_TRUE(difference);
    EXPECT_EQ(difference->rows.size(), 2U) << "b was changed, c is gone";
    second.applyDifference(*difference);
    EXPECT_EQ(second.rows().size(), 2U);
    EXPECT_EQ(second.rows().at("b").value, "2");
    EXPECT_EQ(second.revision(), first.revision());
}

// The other process knows changes of the earlier era that this one has never seen and that the store has lost.
TEST(TableCopy, ThereIsNoDifferenceToAStateOfAnEarlierEraThatWasNotReached)
{
    table_copy copy;
    copy.replace({ { valued("a", "1", { firstEra, 3 }) }, { firstEra, 5 } });
    copy.replace({ { valued("a", "1", { secondEra, 3 }) }, { secondEra, 4 } });
    EXPECT_TRUE(copy.changesSince({ firstEra, 5 }));
    EXPECT_FALSE(copy.changesSince({ firstEra, 6 }));
    EXPECT_FALSE(copy.changesSince({ secondEra, 3 })) << "it may have changed between that state and the snapshot";
}

// Guards against a server that a reader keeps for good: it registered and left between two snapshots of the other
// process, which cannot name it as removed.
TEST(TableCopy, ThereIsNoDifferenceToAStateBetweenTwoSnapshots)
{
    table_copy copy;
    copy.replace({ { row("a", 3) }, at(5) });
    copy.replace({ { row("a", 3) }, at(9) });
    EXPECT_FALSE(copy.changesSince(at(7)));
    EXPECT_TRUE(copy.changesSince(at(5)));
}

// A store that is written at random and comes back from older copies of itself. Each process follows it by snapshots
// and by what it reads from the other one, and misses what the store loses meanwhile.
RC_GTEST_PROP(TableCopyProperty, CopiesThatReadFromEachOtherFollowAStoreThatIsRestored, ())
{
    struct state {
        std::map<std::string, watched_row> rows;
        std::uint64_t number = 1;
    };
    state store;
    std::vector<state> history { store };
    store_era era { 1 };
    int writes = 0;
    std::array<table_copy, 3> copies { table_copy { { .maxRemovedRows = 3 } }, table_copy {}, table_copy {} };
    std::map<store_revision, std::map<std::string, std::string>> states; // Of the store, as it was.
    const auto valuesOf = [](const std::map<std::string, watched_row>& rows) {
        std::map<std::string, std::string> values;
        for (const auto& [key, stored] : rows)
            values[key] = stored.value;
        return values;
    };
    const auto steps = *rc::gen::inRange(1, 80);
    for (int i = 0; i < steps; ++i) {
        const auto key = std::to_string(*rc::gen::inRange(0, 5));
        auto& reader = copies[*rc::gen::inRange(0, 3)];
        const auto& source = copies[*rc::gen::inRange(0, 3)];
        switch (*rc::gen::inRange(0, 6)) {
        case 0: // Values recur, as those of servers do.
            ++store.number;
            store.rows[key] = { key, std::to_string(++writes % 3), { era, store.number }, false };
            break;
        case 1:
            ++store.number;
            store.rows.erase(key);
            break;
        case 2: { // Comes back from an older copy.
            store = history[*rc::gen::inRange<std::size_t>(0, history.size())];
            era = store_era(era.number() + 1);
            for (auto& [name, stored] : store.rows)
                stored.revision.era = era;
            break;
        }
        case 3: { // Reads the store.
            row_page all { {}, { era, store.number } };
            for (const auto& [name, stored] : store.rows)
                all.rows.push_back(stored);
            RC_ASSERT(reader.replace(all).has_value());
            break;
        }
        default: // Reads from another process.
            if (source.revision() <= reader.revision())
                break;
            if (const auto difference = source.changesSince(reader.revision()))
                reader.applyDifference(*difference);
            else
                reader.replace(source.snapshot());
            break;
        }
        states[{ era, store.number }] = valuesOf(store.rows);
        history.push_back(store);
        for (const auto& copy : copies) {
            if (!copy.revision().isNone())
                RC_ASSERT(valuesOf(copy.rows()) == states.at(copy.revision()));
        }
    }
}

// A store that is written at random: one copy follows it by snapshots and changes, another one is brought up to date by
// the first one's differences, and takes a snapshot where there is none.
RC_GTEST_PROP(TableCopyProperty, ACopyKeptByDifferencesHasTheRowsOfTheStore, ())
{
    std::map<std::string, watched_row> store;
    std::uint64_t revision = 1;
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
            row_page all { {}, at(revision) };
            for (const auto& [name, stored] : store)
                all.rows.push_back(stored);
            first.replace(all);
            pending.rows.clear();
            break;
        }
        case 1: // The changes since the last call.
            if (first.revision().isNone())
                break;
            pending.revision = at(revision);
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
