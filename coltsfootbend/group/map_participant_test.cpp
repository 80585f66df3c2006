#include "coltsfootbend/group/map_participant.h"

#include <gtest/gtest.h>
#include <thread>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

// An engine that returns a report set by the test, and accepts every order without carrying it out.
class scripted_engine final : public rank_engine {
public:
    result<rank_report> report(time_point) override { return nextReport; }
    result<rank_demand> demand(time_point) override
    {
        return rank_demand { .incarnation = nextReport.incarnation, .epoch = 1, .counts = counts };
    }
    result<rank_maps> maps(time_point) override { return rank_maps {}; }
    result<void> prepare(group_epoch, engine_map_version, const group_map& map, time_point) override
    {
        lastMap = map;
        ++orders;
        return {};
    }
    result<void> arm(group_epoch, const armed_switch&, time_point) override
    {
        ++orders;
        return {};
    }
    result<void> disarm(group_epoch, engine_map_version, time_point) override { return {}; }
    result<void> hold(group_epoch, pass_number, time_point) override { return {}; }
    result<void> release(group_epoch, pass_number, time_point) override { return {}; }

    rank_report nextReport;
    std::vector<std::uint64_t> counts { 0, 0 };
    int orders = 0;
    group_map lastMap;
};

void withParticipant(const std::function<void(map_participant&, scripted_engine&)>& work)
{
    std::thread([&] {
        fiber_runtime runtime;
        runtime.spawn([&] {
            scripted_engine engine;
            engine.nextReport.group = group_membership { "g", 1, 2, 4, true };
            map_participant participant(runtime, engine);
            work(participant, engine);
            runtime.stop();
        });
        runtime.run();
    }).join();
}

// Returns the scope of an order to the formation that `scripted_engine` reports at first.
wire::order_scope scope(leader_term term) { return { .term = term, .group = "g", .epoch = 1 }; }

std::vector<std::uint32_t> askDemand(map_participant& participant, leader_term term)
{
    const wire::rank_query query { .scope = scope(term), .wantsDemand = true };
    return participant.answer(query, clock_type::now() + 1s)->demand;
}

TEST(MapParticipant, DemandCountedBeforeTheFirstAnswerIsNotReported)
{
    withParticipant([](map_participant& participant, scripted_engine& engine) {
        engine.counts = { 1000, 5 };
        EXPECT_TRUE(askDemand(participant, 1).empty()) << "there are no earlier counts to compare with";
        engine.counts = { 1010, 25 };
        EXPECT_EQ(askDemand(participant, 1), (std::vector<std::uint32_t> { 10, 20 }));
    });
}

TEST(MapParticipant, DecreasingCountsIndicateARestartedEngine)
{
    withParticipant([](map_participant& participant, scripted_engine& engine) {
        engine.counts = { 1000, 5 };
        (void)askDemand(participant, 1);
        engine.counts = { 3, 4 };
        EXPECT_EQ(askDemand(participant, 1), (std::vector<std::uint32_t> { 3, 4 }));
    });
}

TEST(MapParticipant, OrderOfAnEarlierLeaderIsNotCarriedOut)
{
    withParticipant([](map_participant& participant, scripted_engine& engine) {
        const auto newer = termAfter(0, 3);
        (void)askDemand(participant, newer);
        const wire::rank_arm arm { .scope = scope(newer - 1), .version = 7, .step = 100 };
        const auto state = participant.answer(arm, clock_type::now() + 1s);
        ASSERT_TRUE(state);
        EXPECT_EQ(state->term, newer);
        EXPECT_EQ(engine.orders, 0);
    });
}

// Two groups may have the same epoch number. If a rank that has moved between them accepts an order to arm from the
// leader of its earlier group, the next pass of its new group begins with two different maps.
TEST(MapParticipant, OrderForAnotherGroupEpochOrIncarnationIsNotCarriedOut)
{
    withParticipant([](map_participant& participant, scripted_engine& engine) {
        engine.nextReport.incarnation = engine_incarnation(5);
        auto otherGroup = scope(1);
        otherGroup.group = "h";
        auto otherEpoch = scope(1);
        otherEpoch.epoch = 2;
        auto otherIncarnation = scope(1);
        otherIncarnation.engineIncarnation = 4;
        for (const auto& wrong : { otherGroup, otherEpoch, otherIncarnation }) {
            const auto state = participant.answer(
                wire::rank_arm { .scope = wrong, .version = 7, .step = 100 }, clock_type::now() + 60ms);
            ASSERT_TRUE(state) << "the answer reports the rank's formation";
            EXPECT_EQ(state->group, "g");
            EXPECT_EQ(state->armedVersion, 0U);
            wire::rank_prepare prepare { .scope = wrong, .version = 7, .map = { { { 0 }, { 1 }, { 2 }, { 3 } } } };
            (void)participant.answer(prepare, clock_type::now() + 60ms);
        }
        EXPECT_EQ(engine.orders, 0);
        auto right = scope(1);
        right.engineIncarnation = 5;
        (void)participant.answer(
            wire::rank_arm { .scope = right, .version = 7, .step = 100 }, clock_type::now() + 60ms);
        EXPECT_GT(engine.orders, 0);
    });
}

// An agent that resumes after a stall relays orders that it accepted before, while the leader has bypassed it with
// newer orders.
TEST(MapParticipant, OrderReceivedAfterALaterOneIsNotCarriedOut)
{
    withParticipant([](map_participant& participant, scripted_engine& engine) {
        const auto numbered = [](std::uint64_t run, std::uint64_t serial) {
            auto numbered = scope(1);
            numbered.leaderRun = run;
            numbered.serial = serial;
            return numbered;
        };
        const auto armAt = [&](const wire::order_scope& at) {
            engine.orders = 0;
            (void)participant.answer(
                wire::rank_arm { .scope = at, .version = 7, .step = 100 }, clock_type::now() + 60ms);
            return engine.orders > 0;
        };
        EXPECT_TRUE(armAt(numbered(9, 4)));
        EXPECT_TRUE(armAt(numbered(9, 4))) << "a duplicate of the newest order";
        EXPECT_TRUE(armAt(numbered(9, 6)));
        EXPECT_FALSE(armAt(numbered(9, 4)));
        EXPECT_TRUE(armAt(numbered(10, 1))) << "the leader's process was restarted";
    });
}

// Guards against a leader's process that starts again and leads in the term of the earlier process. The other ranks
// then cannot tell the late orders of that one from its own, and a rank may be armed that all others have disarmed.
TEST(MapParticipant, LateOrderOfTheLeadersEarlierProcessIsNotCarriedOut)
{
    withParticipant([](map_participant& follower, scripted_engine& engine) {
        constexpr rank_number leadingRank = 3;
        const auto disarm = [&](leader_term term, std::uint64_t run) {
            auto numbered = scope(term);
            numbered.leaderRun = run;
            numbered.serial = 1;
            (void)follower.answer(wire::rank_disarm { .scope = numbered, .version = 7 }, clock_type::now() + 60ms);
        };
        const auto earlierTerm = termAfter(0, leadingRank);
        disarm(earlierTerm, 9);
        withParticipant([&](map_participant& restarted, scripted_engine&) {
            restarted.observeTerm(follower.term());
            disarm(restarted.leads(leadingRank) ? restarted.term() : restarted.claimLeadership(leadingRank), 10);
        });
        auto late = scope(earlierTerm);
        late.leaderRun = 9;
        late.serial = 2;
        (void)follower.answer(wire::rank_arm { .scope = late, .version = 7, .step = 100 }, clock_type::now() + 60ms);
        EXPECT_EQ(engine.orders, 0);
    });
}

TEST(MapParticipant, LeadsOnlyInTheHighestTermAndIfItHasClaimedIt)
{
    withParticipant([](map_participant& participant, scripted_engine& engine) {
        EXPECT_FALSE(participant.leads(0)) << "no term is known";
        const auto claimed = participant.claimLeadership(2);
        EXPECT_TRUE(participant.leads(2));
        EXPECT_FALSE(participant.leads(1)) << "the engine has become another rank since";
        participant.observeTerm(termAfter(claimed, 2));
        EXPECT_FALSE(participant.leads(2)) << "another process of the same rank";
        engine.nextReport.group = group_membership { "h", 1, 2, 4, true };
        participant.observe(engine.nextReport);
        participant.observeTerm(claimed);
        EXPECT_FALSE(participant.leads(2)) << "an equal term of another group";
    });
}

TEST(MapParticipant, LeaderOfAnotherGroupGetsTheStateButItsTermIsIgnored)
{
    withParticipant([](map_participant& participant, scripted_engine&) {
        auto other = scope(termAfter(0, 3));
        other.group = "h";
        const auto state = participant.answer(wire::rank_query { .scope = other }, clock_type::now() + 1s);
        ASSERT_TRUE(state);
        EXPECT_EQ(state->group, "g");
        EXPECT_EQ(participant.term(), 0U);
    });
}

// In the new group, the term would identify another process: the one with the same rank number.
TEST(MapParticipant, RankThatJoinsAnotherGroupResetsItsTerm)
{
    withParticipant([](map_participant& participant, scripted_engine& engine) {
        (void)askDemand(participant, termAfter(0, 3));
        EXPECT_EQ(leaderOf(participant.term()), 3U);
        engine.nextReport.group = group_membership { "h", 1, 3, 4, true };
        participant.observe(engine.nextReport);
        EXPECT_EQ(participant.group(), "h");
        EXPECT_EQ(participant.term(), 0U);
    });
}

TEST(MapParticipant, UnconfirmedSwitchIsReportedAsUncertain)
{
    withParticipant([](map_participant& participant, scripted_engine&) {
        const wire::rank_arm arm { .scope = scope(1), .version = 7, .step = 100 };
        (void)participant.answer(arm, clock_type::now() + 60ms);
        const auto state = participant.answer(wire::rank_query { .scope = scope(1) }, clock_type::now() + 1s);
        ASSERT_TRUE(state);
        EXPECT_EQ(state->armedVersion, 7U);
        EXPECT_TRUE(state->isArmUncertain);
    });
}

TEST(MapParticipant, RestartedEngineKeepsNoEarlierOrders)
{
    withParticipant([](map_participant& participant, scripted_engine& engine) {
        engine.nextReport.incarnation = engine_incarnation(1);
        const wire::rank_arm arm { .scope = scope(1), .version = 7, .step = 100 };
        (void)participant.answer(arm, clock_type::now() + 60ms);
        engine.nextReport.incarnation = engine_incarnation(2);
        const wire::rank_query query { .scope = scope(1) };
        auto state = participant.answer(query, clock_type::now() + 1s);
        ASSERT_TRUE(state);
        EXPECT_EQ(state->armedVersion, 0U);
        EXPECT_FALSE(participant.isArmed());
        EXPECT_EQ(state->engineIncarnation, 2U);
        engine.nextReport.incarnation = engine_incarnation(1);
        EXPECT_FALSE(participant.answer(query, clock_type::now() + 1s)) << "a report from before the restart";
    });
}

TEST(MapParticipant, AllCountsOfARestartedEngineAreNewEvenIfTheyIncreased)
{
    withParticipant([](map_participant& participant, scripted_engine& engine) {
        engine.nextReport.incarnation = engine_incarnation(1);
        engine.counts = { 10, 5 };
        (void)askDemand(participant, 1);
        engine.nextReport.incarnation = engine_incarnation(2);
        engine.counts = { 30, 40 };
        EXPECT_EQ(askDemand(participant, 1), (std::vector<std::uint32_t> { 30, 40 }));
    });
}

TEST(MapParticipant, ChangesToAnUnknownMapRequestTheWholeMap)
{
    withParticipant([](map_participant& participant, scripted_engine& engine) {
        wire::rank_prepare changes;
        changes.scope = scope(1);
        changes.version = 9;
        changes.baseVersion = 8;
        changes.changes = { { 0, 1, { 5 } } };
        auto state = participant.answer(changes, clock_type::now() + 60ms);
        ASSERT_TRUE(state);
        EXPECT_TRUE(state->lacksBase);
        EXPECT_EQ(engine.orders, 0);
        auto whole = changes;
        whole.version = 8;
        whole.map = { { { 0 }, { 1 }, { 2 }, { 3 } } };
        (void)participant.answer(whole, clock_type::now() + 60ms);
        state = participant.answer(changes, clock_type::now() + 60ms);
        ASSERT_TRUE(state);
        EXPECT_FALSE(state->lacksBase);
        EXPECT_EQ(engine.lastMap, (group_map { { { 0 }, { 5 }, { 2 }, { 3 } } }));
    });
}

TEST(MapParticipant, TermsAreOrderedAndIdentifyTheirLeaders)
{
    EXPECT_GT(termAfter(termAfter(0, 5), 1), termAfter(0, 5));
    EXPECT_EQ(leaderOf(termAfter(123, 7)), 7U);
    EXPECT_NE(termAfter(0, 1), termAfter(0, 2));
}

} // namespace
} // namespace coltsfootbend
