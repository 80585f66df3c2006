#include "coltsfootbend/group/map_coordinator.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

const time_point start = time_point {} + 1h;
const map_epoch epoch { 7, 1 };
const map_version newMap(9);

map_coordinator twoRanks()
{
    return map_coordinator({ .epoch = epoch, .map = newMap, .ranks = 2, .decisionDeadline = start + 10s });
}

switch_promised promise(std::uint64_t rankIncarnation, step_number limit, map_schedule schedule)
{
    return { epoch, incarnation(rankIncarnation), limit, std::move(schedule) };
}

void loadBoth(map_coordinator& change)
{
    (void)change.tick(start);
    (void)change.handle(start, 0, map_loaded { epoch, newMap });
    (void)change.handle(start, 1, map_loaded { epoch, newMap });
}

TEST(MapCoordinator, SwitchesAfterTheHighestPromisedLimit)
{
    auto change = twoRanks();
    loadBoth(change);
    const map_schedule known { { 1, 1 }, { { 1, map_version(1) } } };
    EXPECT_TRUE(change.handle(start, 0, promise(1, 40, known)).empty()) << "one promise is not enough";
    const auto orders = change.handle(start, 1, promise(2, 55, known));
    ASSERT_EQ(orders.size(), 2U);
    EXPECT_EQ(change.switchStep(), 56U);
    const auto& decision = std::get<decide_switch>(orders[0].message);
    EXPECT_EQ(decision.incarnations, (std::vector<incarnation> { incarnation(1), incarnation(2) }));
    (void)change.handle(start, 0, switch_applied { epoch, incarnation(1) });
    (void)change.handle(start, 1, switch_applied { epoch, incarnation(2) });
    EXPECT_EQ(change.current(), map_coordinator::state::Done);
}

TEST(MapCoordinator, IncludesADecisionKnownToOnlyOneRank)
{
    auto change = twoRanks();
    loadBoth(change);
    const map_schedule behind { { 1, 1 }, { { 1, map_version(1) } } };
    const map_schedule ahead { { 2, 1 }, { { 1, map_version(1) }, { 30, map_version(2) } } };
    (void)change.handle(start, 0, promise(1, 29, behind));
    const auto orders = change.handle(start, 1, promise(2, 60, ahead));
    const auto& decision = std::get<decide_switch>(orders[0].message);
    const std::vector<map_segment> expected { { 1, map_version(1) }, { 30, map_version(2) }, { 61, newMap } };
    EXPECT_EQ(decision.schedule.segments, expected);
}

TEST(MapCoordinator, DropsSegmentsBeyondTheHighestLimit)
{
    auto change = twoRanks();
    loadBoth(change);
    const map_schedule planned { { 2, 1 }, { { 1, map_version(1) }, { 90, map_version(2) } } };
    (void)change.handle(start, 0, promise(1, 40, planned));
    const auto orders = change.handle(start, 1, promise(2, 40, planned));
    const std::vector<map_segment> expected { { 1, map_version(1) }, { 41, newMap } };
    EXPECT_EQ(std::get<decide_switch>(orders[0].message).schedule.segments, expected);
}

TEST(MapCoordinator, AbandonsAnUndecidedChangeAtTheDeadline)
{
    auto change = twoRanks();
    loadBoth(change);
    (void)change.handle(start, 0, promise(1, 40, {}));
    const auto orders = change.tick(start + 10s);
    ASSERT_EQ(orders.size(), 2U);
    EXPECT_TRUE(std::holds_alternative<release_promise>(orders[0].message));
    EXPECT_EQ(change.current(), map_coordinator::state::Abandoned);
    EXPECT_TRUE(change.handle(start + 10s, 1, promise(2, 50, {})).empty()) << "a late promise decides nothing";
}

TEST(MapCoordinator, PreparesARankAgainThatRestartedBeforeItsPromise)
{
    auto change = twoRanks();
    loadBoth(change);
    const auto orders = change.handle(start, 1, switch_refused { epoch, {} });
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].rank, 1U);
    EXPECT_TRUE(std::holds_alternative<prepare_map>(orders[0].message));
}

TEST(MapCoordinator, IsSupersededByAHigherEpoch)
{
    auto change = twoRanks();
    loadBoth(change);
    (void)change.handle(start, 1, switch_refused { epoch, { 9, 4 } });
    EXPECT_EQ(change.current(), map_coordinator::state::Superseded);
    EXPECT_EQ(change.highestEpochSeen(), (map_epoch { 9, 4 }));
}

} // namespace
} // namespace coltsfootbend
