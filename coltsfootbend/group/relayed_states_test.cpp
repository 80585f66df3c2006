#include "coltsfootbend/group/relayed_states.h"

#include "coltsfootbend/wire/codec.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace coltsfootbend {
namespace {

wire::rank_state stateOf(std::uint32_t rank)
{
    wire::rank_state state;
    state.term = 1'000'000;
    state.group = "group-0";
    state.epoch = 3;
    state.rank = rank;
    state.ranks = 129;
    state.isOpen = true;
    state.step = 5000 + rank % 3;
    state.mapVersion = 70'000;
    state.highestVersion = 70'000;
    state.requests = rank % 7;
    state.engineIncarnation = 1'750'000'000'000 + rank;
    state.target = rank;
    return state;
}

std::vector<wire::rank_state> states(std::uint32_t ranks)
{
    std::vector<wire::rank_state> all;
    for (std::uint32_t rank = 0; rank < ranks; ++rank)
        all.push_back(stateOf(rank));
    return all;
}

std::vector<wire::rank_state> encodedAndDecoded(const std::vector<wire::rank_state>& all)
{
    wire::message_decoder decoder(1'000'000);
    decoder.feed(
        wire::encode({ .sender = {}, .senderIncarnation = {}, .version = {}, .content = packStates(all, {}) }));
    const auto message = decoder.next();
    auto back = unpackStates(std::get<wire::relayed_answers>((*message)->content));
    std::sort(back.begin(), back.end(), [](const auto& a, const auto& b) { return a.target < b.target; });
    return back;
}

TEST(RelayedStates, EachRankOfAGroupAddsFewBytesToAMessage)
{
    constexpr std::size_t bytesPerRank = 24;
    const auto bytes = wire::encode(
        { .sender = {}, .senderIncarnation = {}, .version = {}, .content = packStates(states(129), {}) });
    EXPECT_LT(bytes.size(), 129 * bytesPerRank);
}

// A rank that differs in a value that affects decisions on changes is encoded with its whole state.
RC_GTEST_PROP(RelayedStates, ValuesThatAffectChangesArePreserved, ())
{
    auto all = states(*rc::gen::inRange<std::uint32_t>(1, 20));
    for (auto& state : all) {
        const auto mostly = [](std::uint64_t usual) {
            return *rc::gen::weightedElement<std::uint64_t>({ { 5, usual }, { 1, usual + 1 }, { 1, 0 } });
        };
        state.term = mostly(state.term);
        state.epoch = mostly(state.epoch);
        state.step = mostly(state.step);
        state.mapVersion = mostly(state.mapVersion);
        state.preparedVersion = mostly(state.preparedVersion);
        state.preparedTerm = mostly(state.preparedTerm);
        state.armedVersion = mostly(state.armedVersion);
        state.armedStep = mostly(state.armedStep);
        state.heldStep = mostly(state.heldStep);
        state.highestVersion = mostly(state.highestVersion);
        state.engineIncarnation = mostly(state.engineIncarnation);
        state.isOpen = mostly(1) != 0;
        state.isArmUncertain = mostly(0) != 0;
        state.lacksBase = mostly(0) != 0;
        state.pace = 1 + static_cast<double>(mostly(0)) / 4;
        if (mostly(0) != 0)
            state.map = { { 1, 2 }, { state.rank } };
        if (mostly(0) != 0)
            state.group = "another";
    }
    const auto back = encodedAndDecoded(all);
    RC_ASSERT(back.size() == all.size());
    for (std::size_t i = 0; i < all.size(); ++i) {
        RC_ASSERT(back[i].target == all[i].target);
        RC_ASSERT(back[i].rank == all[i].rank);
        RC_ASSERT(back[i].term == all[i].term);
        RC_ASSERT(back[i].group == all[i].group);
        RC_ASSERT(back[i].epoch == all[i].epoch);
        RC_ASSERT(back[i].step == all[i].step);
        RC_ASSERT(back[i].mapVersion == all[i].mapVersion);
        RC_ASSERT(back[i].preparedVersion == all[i].preparedVersion);
        RC_ASSERT(back[i].preparedTerm == all[i].preparedTerm);
        RC_ASSERT(back[i].armedVersion == all[i].armedVersion);
        RC_ASSERT(back[i].armedStep == all[i].armedStep);
        RC_ASSERT(back[i].heldStep == all[i].heldStep);
        RC_ASSERT(back[i].highestVersion == all[i].highestVersion);
        RC_ASSERT(back[i].engineIncarnation == all[i].engineIncarnation);
        RC_ASSERT(back[i].isOpen == all[i].isOpen);
        RC_ASSERT(back[i].isArmUncertain == all[i].isArmUncertain);
        RC_ASSERT(back[i].lacksBase == all[i].lacksBase);
        RC_ASSERT(back[i].pace == all[i].pace);
        RC_ASSERT(back[i].map == all[i].map);
    }
}

TEST(RelayedStates, CountsAreSummedAndSaturate)
{
    std::vector<std::uint32_t> sum { 1, 0xFFFF'FFFF };
    addCounts(sum, { 2, 5, 7 });
    EXPECT_EQ(sum, (std::vector<std::uint32_t> { 3, 0xFFFF'FFFF, 7 }));
    addCounts(sum, {});
    EXPECT_EQ(sum.size(), 3U);
}

} // namespace
} // namespace coltsfootbend
