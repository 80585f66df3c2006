#include "coltsfootbend/group/map_planner.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>
#include <set>

namespace coltsfootbend {
namespace {

constexpr rank_number ranks = 12;
constexpr std::uint32_t experts = 72;

// Returns the initial map of a group: experts assigned to the ranks in turn, with some places free.
group_map initialMap(std::size_t sets)
{
    group_map map(sets, rank_experts(ranks));
    for (auto& set : map) {
        for (std::uint32_t expert = 0; expert < experts; ++expert)
            set[expert % ranks].push_back(expert);
    }
    return map;
}

group_demand skewedDemand(std::size_t sets, unsigned seed)
{
    std::minstd_rand random(seed);
    group_demand demand(sets, std::vector<double>(experts));
    for (auto& set : demand) {
        for (std::uint32_t i = 0; i < experts; ++i)
            set[i] = 1000.0 / (i + 1);
        std::shuffle(set.begin(), set.end(), random);
    }
    return demand;
}

const std::vector<double> evenPaces(ranks, 1.0);
const map_planner::options defaultOptions { .placesPerRank = 8, .maxNewExpertsPerSet = 3, .gainPerMove = 0.01 };

TEST(MapPlanner, OneChangeRemovesMostOfTheInitialSkew)
{
    const auto demand = skewedDemand(4, 1);
    const auto plan = map_planner(defaultOptions).plan(initialMap(4), demand, evenPaces);
    EXPECT_GT(plan.skewBefore, 2.0);
    EXPECT_LT(plan.skewAfter, 1.25);
    EXPECT_NEAR(plan.skewAfter, map_planner::skewOf(plan.next, demand, evenPaces), 1e-9);
}

TEST(MapPlanner, ABalancedMapIsNotChanged)
{
    const group_demand even(4, std::vector<double>(experts, 10.0));
    const auto plan = map_planner(defaultOptions).plan(initialMap(4), even, evenPaces);
    EXPECT_EQ(plan.moves, 0U);
    EXPECT_EQ(plan.next, initialMap(4));
}

TEST(MapPlanner, AHigherCostOfMovesReducesTheirNumber)
{
    const auto demand = skewedDemand(4, 2);
    auto costly = defaultOptions;
    costly.gainPerMove = 0.08;
    EXPECT_LT(map_planner(costly).plan(initialMap(4), demand, evenPaces).moves,
        map_planner(defaultOptions).plan(initialMap(4), demand, evenPaces).moves);
}

TEST(MapPlanner, ASlowRankReceivesLessLoad)
{
    const auto demand = skewedDemand(1, 3);
    auto paces = evenPaces;
    paces[4] = 3;
    const auto plan = map_planner(defaultOptions).plan(initialMap(1), demand, paces);
    EXPECT_LT(plan.skewAfter, plan.skewBefore);
    EXPECT_LT(map_planner::skewOf(plan.next, demand, paces), map_planner::skewOf(initialMap(1), demand, paces));
}

// For any demand and any number of successive plans, a planned map is valid for the engines: it keeps every expert, and
// respects the number of places and the limit of new experts.
RC_GTEST_PROP(MapPlanner, EveryPlanIsAValidMap, ())
{
    const auto places = *rc::gen::inRange<std::uint32_t>(6, 10);
    const auto spare = *rc::gen::inRange<std::uint32_t>(1, 5);
    const map_planner planner({ .placesPerRank = places, .maxNewExpertsPerSet = spare, .gainPerMove = 0.001 });
    auto map = initialMap(2);
    const auto changes = *rc::gen::inRange(1, 4);
    for (int change = 0; change < changes; ++change) {
        const auto next = planner.plan(map, skewedDemand(2, *rc::gen::inRange(0U, 100'000U)), evenPaces).next;
        for (std::size_t set = 0; set < next.size(); ++set) {
            std::set<std::uint32_t> held;
            for (rank_number rank = 0; rank < ranks; ++rank) {
                const auto& placed = next[set][rank];
                RC_ASSERT(placed.size() <= places);
                RC_ASSERT(std::set<std::uint32_t>(placed.begin(), placed.end()).size() == placed.size());
                std::uint32_t added = 0;
                for (const auto expert : placed)
                    added += std::find(map[set][rank].begin(), map[set][rank].end(), expert) == map[set][rank].end();
                RC_ASSERT(added <= spare);
                held.insert(placed.begin(), placed.end());
            }
            RC_ASSERT(held.size() == experts);
        }
        map = next;
    }
}

// A shift of demand at full load: passes run under the worse map until the rank with the most copies has made all of
// them, so the copies of one change are limited.
TEST(MapPlanner, LimitsTheCopiesToEachRankAndStillRemovesMostOfTheSkew)
{
    constexpr std::size_t sets = 4;
    auto limited = defaultOptions;
    limited.maxCopiesPerRank = 3;
    const auto map = initialMap(sets);
    const auto demand = skewedDemand(sets, 5);
    const auto unlimited = map_planner(defaultOptions).plan(map, demand, evenPaces);
    const auto first = map_planner(limited).plan(map, demand, evenPaces);
    for (rank_number rank = 0; rank < ranks; ++rank) {
        std::uint32_t copied = 0;
        for (std::size_t set = 0; set < sets; ++set) {
            for (const auto held : first.next[set][rank]) {
                const auto& before = map[set][rank];
                copied += std::find(before.begin(), before.end(), held) == before.end() ? 1 : 0;
            }
        }
        EXPECT_LE(copied, 3U);
    }
    EXPECT_GT(first.gain(), unlimited.gain() / 2);
    const auto second = map_planner(limited).plan(first.next, demand, evenPaces);
    EXPECT_LT(second.skewAfter, first.skewAfter) << "the remaining moves follow";
}

} // namespace
} // namespace coltsfootbend
