#include "coltsfootbend/group/rank_agent.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

const incarnation ownIncarnation(5);
const map_version oldMap(1);
const map_version newMap(2);

// Returns an agent that has joined with a decision of epoch 1 to run under `oldMap` from step 1 on.
rank_agent joinedAgent()
{
    rank_agent agent({ .rank = 0, .ownIncarnation = ownIncarnation, .promiseMargin = 10 });
    (void)agent.onMapLoaded(oldMap);
    (void)agent.handle(propose_switch { { 1, 1 }, oldMap });
    (void)agent.handle(decide_switch { { 1, 1 }, { { 1, 1 }, { { 1, oldMap } } }, { ownIncarnation } });
    return agent;
}

template <typename T> bool answers(const std::optional<rank_message>& message)
{
    return message && std::holds_alternative<T>(*message);
}

TEST(RankAgent, NewIncarnationGrantsNothingBeforeADecisionThatIncludesIt)
{
    rank_agent agent({ .rank = 0, .ownIncarnation = ownIncarnation });
    (void)agent.onMapLoaded(oldMap);
    EXPECT_FALSE(agent.grant(1));
    ASSERT_TRUE(answers<switch_promised>(agent.handle(propose_switch { { 1, 1 }, oldMap })));
    const map_schedule schedule { { 1, 1 }, { { 1, oldMap } } };
    EXPECT_TRUE(answers<switch_refused>(agent.handle(decide_switch { { 1, 1 }, schedule, { incarnation(4) } })));
    EXPECT_FALSE(agent.grant(1)) << "the decision includes an earlier incarnation";
    EXPECT_TRUE(answers<switch_applied>(agent.handle(decide_switch { { 1, 1 }, schedule, { ownIncarnation } })));
    EXPECT_EQ(agent.grant(1), oldMap);
}

TEST(RankAgent, PromiseLimitsGrantsUntilTheDecision)
{
    auto agent = joinedAgent();
    for (step_number step = 1; step <= 20; ++step)
        EXPECT_EQ(agent.grant(step), oldMap);
    (void)agent.onMapLoaded(newMap);
    const auto promise = agent.handle(propose_switch { { 2, 1 }, newMap });
    EXPECT_EQ(std::get<switch_promised>(*promise).limit, 30U);
    EXPECT_EQ(agent.grant(30), oldMap);
    EXPECT_FALSE(agent.grant(31));
    (void)agent.handle(decide_switch { { 2, 1 }, { { 2, 1 }, { { 1, oldMap }, { 35, newMap } } }, { ownIncarnation } });
    EXPECT_EQ(agent.grant(34), oldMap);
    EXPECT_EQ(agent.grant(35), newMap);
}

TEST(RankAgent, EarlierCoordinatorThatResumesIsRefused)
{
    auto agent = joinedAgent();
    (void)agent.onMapLoaded(newMap);
    (void)agent.handle(propose_switch { { 3, 2 }, newMap });
    EXPECT_TRUE(answers<switch_refused>(agent.handle(propose_switch { { 2, 1 }, newMap })));
    EXPECT_TRUE(answers<switch_refused>(
        agent.handle(decide_switch { { 2, 1 }, { { 2, 1 }, { { 1, oldMap }, { 5, newMap } } }, { ownIncarnation } })));
    EXPECT_EQ(agent.grant(6), oldMap);
}

TEST(RankAgent, ReleasedPromiseNoLongerLimitsGrants)
{
    auto agent = joinedAgent();
    (void)agent.onMapLoaded(newMap);
    (void)agent.handle(propose_switch { { 2, 1 }, newMap });
    (void)agent.handle(release_promise { { 1, 9 } });
    EXPECT_FALSE(agent.grant(11)) << "the release of another epoch";
    (void)agent.handle(release_promise { { 2, 1 } });
    EXPECT_EQ(agent.grant(11), oldMap);
}

TEST(RankAgent, PromisesNothingForAMapThatIsNotLoaded)
{
    auto agent = joinedAgent();
    EXPECT_TRUE(answers<switch_refused>(agent.handle(propose_switch { { 2, 1 }, newMap })));
    EXPECT_FALSE(agent.handle(prepare_map { { 2, 1 }, newMap }));
    EXPECT_EQ(agent.mapToLoad(), newMap);
    EXPECT_TRUE(answers<map_loaded>(agent.onMapLoaded(newMap)));
    EXPECT_TRUE(answers<switch_promised>(agent.handle(propose_switch { { 2, 1 }, newMap })));
}

TEST(RankAgent, RestartedRankLoadsOnlyTheMapsThatItsNextStepsNeed)
{
    rank_agent agent({ .rank = 0, .ownIncarnation = ownIncarnation, .lastEngineStep = 50 });
    (void)agent.onMapLoaded(map_version(4));
    (void)agent.handle(propose_switch { { 7, 1 }, map_version(4) });
    const std::vector<map_segment> segments { { 1, map_version(1) }, { 40, map_version(2) }, { 60, map_version(4) } };
    (void)agent.handle(decide_switch { { 7, 1 }, { { 7, 1 }, segments }, { ownIncarnation } });
    EXPECT_EQ(agent.mapToLoad(), map_version(2));
    EXPECT_FALSE(agent.grant(51));
    (void)agent.onMapLoaded(map_version(2));
    EXPECT_EQ(agent.mapToLoad(), std::nullopt);
    EXPECT_EQ(agent.grant(51), map_version(2));
}

} // namespace
} // namespace coltsfootbend
