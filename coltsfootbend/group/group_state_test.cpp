#include "coltsfootbend/group/group_state.h"

#include "coltsfootbend/group/leader_term.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using states = std::vector<std::optional<wire::rank_state>>;

states threeRanks()
{
    states all;
    for (std::uint32_t rank = 0; rank < 3; ++rank) {
        wire::rank_state state;
        state.group = "g";
        state.epoch = 2;
        state.rank = rank;
        state.ranks = 3;
        state.isOpen = true;
        state.step = 100;
        state.mapVersion = 5;
        all.emplace_back(state);
    }
    return all;
}

void prepareAll(states& all, std::uint64_t version)
{
    for (auto& state : all)
        state->preparedVersion = version;
}

void armRank(states& all, std::size_t rank, armed_switch target)
{
    all[rank]->armedVersion = target.version;
    all[rank]->armedStep = target.step;
}

TEST(GroupState, IsReadyWithoutAChangeInProgress) { EXPECT_EQ(resolve(threeRanks()).kind, group_action::Ready); }

TEST(GroupState, WaitsForARankThatDoesNotAnswer)
{
    auto all = threeRanks();
    all[1].reset();
    EXPECT_EQ(resolve(all).kind, group_action::Wait);
}

// Guards against a log that names no held pass while the group is held and its leader waits.
TEST(GroupState, AWaitNamesTheEarliestHeldPass)
{
    auto all = threeRanks();
    all[0]->heldStep = 120;
    all[2]->heldStep = 110;
    all[1].reset();
    const auto resolution = resolve(all);
    EXPECT_EQ(resolution.kind, group_action::Wait);
    EXPECT_EQ(resolution.heldStep, 110U);
}

TEST(GroupState, WaitsWhileTheGroupIsIncomplete)
{
    auto all = threeRanks();
    all[2]->isOpen = false;
    EXPECT_EQ(resolve(all).kind, group_action::Wait);
    all = threeRanks();
    all[2]->epoch = 3;
    EXPECT_EQ(resolve(all).kind, group_action::Wait);
}

TEST(GroupState, OneArmedRankRequiresArmingAll)
{
    auto all = threeRanks();
    prepareAll(all, 7);
    armRank(all, 1, { 7, 110 });
    all[0]->heldStep = 110;
    const auto resolution = resolve(all);
    EXPECT_EQ(resolution.kind, group_action::Arm);
    EXPECT_EQ(resolution.target.version, 7U);
    EXPECT_EQ(resolution.target.step, 110U);
}

TEST(GroupState, AnUncertainOrderCountsAsArmed)
{
    auto all = threeRanks();
    prepareAll(all, 7);
    armRank(all, 1, { 7, 110 });
    all[1]->isArmUncertain = true;
    EXPECT_EQ(resolve(all).kind, group_action::Arm);
}

TEST(GroupState, IsReleasedOnceAllAreArmed)
{
    auto all = threeRanks();
    prepareAll(all, 7);
    for (std::size_t rank = 0; rank < 3; ++rank)
        armRank(all, rank, { 7, 110 });
    all[0]->heldStep = 110;
    EXPECT_EQ(resolve(all).kind, group_action::Release);
    all[0]->heldStep = 0;
    EXPECT_EQ(resolve(all).kind, group_action::Wait);
}

// One rank's arm order was not answered. If the pass were released, that rank could continue with the earlier map.
TEST(GroupState, IsNotReleasedWhileOneRankIsUncertain)
{
    auto all = threeRanks();
    prepareAll(all, 7);
    for (std::size_t rank = 0; rank < 3; ++rank)
        armRank(all, rank, { 7, 110 });
    all[0]->heldStep = 110;
    all[0]->isArmUncertain = true;
    EXPECT_EQ(resolve(all).kind, group_action::Arm);
}

TEST(GroupState, AHoldWithAMapPreparedOnAllRanksIsArmed)
{
    auto all = threeRanks();
    prepareAll(all, 7);
    all[2]->heldStep = 110;
    const auto resolution = resolve(all);
    EXPECT_EQ(resolution.kind, group_action::Arm);
    EXPECT_EQ(resolution.target.version, 7U);
    EXPECT_EQ(resolution.target.step, 110U);
}

TEST(GroupState, AHoldThatBelongsToNoChangeIsReleased)
{
    auto all = threeRanks();
    all[2]->heldStep = 110;
    EXPECT_EQ(resolve(all).kind, group_action::Release);
    all[0]->preparedVersion = 7;
    EXPECT_EQ(resolve(all).kind, group_action::Release);
}

TEST(GroupState, ASwitchThatOneRankCannotMakeIsDisarmed)
{
    auto all = threeRanks();
    prepareAll(all, 7);
    armRank(all, 1, { 7, 110 });
    all[0]->heldStep = 110;
    all[2]->preparedVersion = 9;
    EXPECT_EQ(resolve(all).kind, group_action::Disarm);
    all[1]->isArmUncertain = true;
    EXPECT_EQ(resolve(all).kind, group_action::Arm);
}

// Rank 0 led in the first term and is stalled; the other ranks obey a newer leader.
class stalled_leader_test : public testing::Test {
protected:
    stalled_leader_test()
    {
        prepareAll(m_states, 6);
        for (auto& state : m_states) {
            state->preparedTerm = termAfter(0, 0);
            state->term = termAfter(state->preparedTerm, 1);
        }
        m_states[1]->heldStep = 110;
        m_states[0].reset();
    }

    states m_states = threeRanks();
};

TEST_F(stalled_leader_test, HoldIsReleasedWhileNoRankIsArmed)
{
    const auto resolution = resolve(m_states);
    EXPECT_EQ(resolution.kind, group_action::ReleaseWithoutLeader);
    EXPECT_EQ(resolution.heldStep, 110U);
}

TEST_F(stalled_leader_test, ArmedRanksAreDisarmedFirst)
{
    armRank(m_states, 1, { 6, 110 });
    EXPECT_EQ(resolve(m_states).kind, group_action::DisarmWithoutLeader);
}

TEST_F(stalled_leader_test, WaitsWithAllOtherRanksArmed)
{
    armRank(m_states, 1, { 6, 110 });
    armRank(m_states, 2, { 6, 110 });
    EXPECT_EQ(resolve(m_states).kind, group_action::Wait);
}

TEST_F(stalled_leader_test, WaitsWhileAnArmOrderIsUncertain)
{
    armRank(m_states, 1, { 6, 110 });
    m_states[1]->isArmUncertain = true;
    EXPECT_EQ(resolve(m_states).kind, group_action::Wait);
}

TEST_F(stalled_leader_test, WaitsIfTheMissingRankIsNotTheLeader)
{
    for (std::size_t rank : { 1U, 2U })
        m_states[rank]->preparedTerm = termAfter(0, 2);
    EXPECT_EQ(resolve(m_states).kind, group_action::Wait);
}

TEST_F(stalled_leader_test, WaitsIfARankLostItsPreparedTerm)
{
    m_states[2]->preparedTerm = 0;
    EXPECT_EQ(resolve(m_states).kind, group_action::Wait);
}

TEST_F(stalled_leader_test, WaitsWhileARankObeysTheStalledLeader)
{
    m_states[2]->term = m_states[2]->preparedTerm;
    EXPECT_EQ(resolve(m_states).kind, group_action::Wait);
}

} // namespace
} // namespace coltsfootbend
