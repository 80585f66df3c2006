#include "coltsfootbend/group/placement.h"

#include <cmath>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace coltsfootbend {
namespace {

expert_load anyLoad(expert_number experts)
{
    auto load = *rc::gen::container<expert_load>(
        experts, rc::gen::map(rc::gen::inRange(1, 1000), [](int share) { return static_cast<double>(share) / 1000; }));
    return load;
}

bool everyExpertIsPlaced(const placement& placed)
{
    for (expert_number expert = 0; expert < placed.experts(); ++expert) {
        bool found = false;
        for (rank_number rank = 0; rank < placed.ranks(); ++rank)
            found = found || placed.holds(rank, expert);
        if (!found || placed.replicas(expert) == 0)
            return false;
    }
    return true;
}

RC_GTEST_PROP(Placement, APlanKeepsEveryExpertAndMatchesItsFigures, ())
{
    const auto ranks = *rc::gen::inRange<rank_number>(2, 12);
    const auto slots = *rc::gen::inRange<std::uint32_t>(1, 5);
    const auto experts = *rc::gen::inRange<expert_number>(1, ranks * slots + 1);
    const auto load = anyLoad(experts);
    const auto current = placement::initial(ranks, experts, slots);
    const rebalance_options options { .gainPerMove = 0.001, .maxMoves = *rc::gen::inRange<std::size_t>(0, 20) };
    const auto plan = planRebalance(current, load, options);
    RC_ASSERT(everyExpertIsPlaced(plan.next));
    RC_ASSERT(plan.moves <= options.maxMoves);
    RC_ASSERT(current.countMovesTo(plan.next) <= plan.moves);
    RC_ASSERT(plan.skewAfter <= plan.skewBefore);
    RC_ASSERT(std::abs(plan.next.skew(load) - plan.skewAfter) < 1e-9);
    RC_ASSERT(plan.moves == 0U || plan.skewBefore - plan.skewAfter > 0.001 * static_cast<double>(plan.moves));
}

TEST(Placement, MovesNothingWhenNothingIsGained)
{
    const auto current = placement::initial(8, 16, 4);
    const auto plan = planRebalance(current, expert_load(16, 1.0 / 16), { .gainPerMove = 0.001, .maxMoves = 100 });
    EXPECT_EQ(plan.moves, 0U);
    EXPECT_NEAR(plan.skewBefore, 1, 1e-9);
}

TEST(Placement, ReplicatesAHotExpert)
{
    expert_load load(16, 0.5 / 15);
    load[3] = 0.5;
    const auto current = placement::initial(8, 16, 4);
    const auto plan = planRebalance(current, load, { .gainPerMove = 0.01, .maxMoves = 100 });
    EXPECT_GT(plan.next.replicas(3), current.replicas(3));
    EXPECT_LT(plan.skewAfter, 0.7 * plan.skewBefore);
}

TEST(Placement, AHigherCostOfMovesReducesTheirNumber)
{
    expert_load load;
    for (int i = 0; i < 32; ++i)
        load.push_back(1 + (i * 7) % 13);
    const auto current = placement::initial(16, 32, 4);
    const auto cheap = planRebalance(current, load, { .gainPerMove = 0.0001, .maxMoves = 100 });
    const auto costly = planRebalance(current, load, { .gainPerMove = 0.05, .maxMoves = 100 });
    EXPECT_LT(costly.moves, cheap.moves);
    EXPECT_LE(cheap.skewAfter, costly.skewAfter);
}

} // namespace
} // namespace coltsfootbend
