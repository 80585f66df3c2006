#include "coltsfootbend/group/relayed_states.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace coltsfootbend {

namespace {

constexpr double percent = 100;

// Returns whether the two states differ only in values that `rank_state_difference` holds. A state with a map never
// qualifies.
bool sharesCommonValues(const wire::rank_state& a, const wire::rank_state& b)
{
    return a.term == b.term && a.group == b.group && a.epoch == b.epoch && a.ranks == b.ranks && a.isOpen == b.isOpen
        && a.mapVersion == b.mapVersion && a.preparedVersion == b.preparedVersion && a.armedVersion == b.armedVersion
        && a.armedStep == b.armedStep && a.isArmUncertain == b.isArmUncertain && a.heldStep == b.heldStep
        && a.highestVersion == b.highestVersion && a.lacksBase == b.lacksBase && a.preparedTerm == b.preparedTerm
        && b.map.empty();
}

wire::rank_state_difference differenceOf(const wire::rank_state& state, const wire::rank_state& common)
{
    return { .target = state.target,
        .rank = state.rank,
        .engineIncarnation = state.engineIncarnation,
        .steps = static_cast<std::int64_t>(state.step) - static_cast<std::int64_t>(common.step),
        .requests = state.requests,
        .pacePercent = static_cast<std::uint32_t>(std::lround(std::max(0.0, state.pace) * percent)) };
}

} // namespace

wire::relayed_answers packStates(const std::vector<wire::rank_state>& states, std::vector<std::uint32_t> demand)
{
    wire::relayed_answers answers;
    answers.demand = std::move(demand);
    bool hasCommon = false;
    for (const auto& state : states) {
        if (!hasCommon && state.map.empty()) {
            answers.common = state;
            answers.common.demand.clear();
            hasCommon = true;
        }
        if (hasCommon && sharesCommonValues(answers.common, state)) {
            answers.differences.push_back(differenceOf(state, answers.common));
        } else {
            answers.others.push_back(state);
            answers.others.back().demand.clear();
        }
    }
    return answers;
}

std::vector<wire::rank_state> unpackStates(const wire::relayed_answers& answers)
{
    std::vector<wire::rank_state> states = answers.others;
    for (const auto& difference : answers.differences) {
        auto state = answers.common;
        state.target = difference.target;
        state.rank = difference.rank;
        state.engineIncarnation = difference.engineIncarnation;
        state.step = static_cast<std::uint64_t>(static_cast<std::int64_t>(state.step) + difference.steps);
        state.requests = difference.requests;
        state.pace = difference.pacePercent / percent;
        states.push_back(std::move(state));
    }
    return states;
}

void addCounts(std::vector<std::uint32_t>& sum, const std::vector<std::uint32_t>& counts)
{
    constexpr std::uint64_t maxCount = std::numeric_limits<std::uint32_t>::max();
    sum.resize(std::max(sum.size(), counts.size()));
    for (std::size_t i = 0; i < counts.size(); ++i)
        sum[i] = static_cast<std::uint32_t>(std::min(maxCount, std::uint64_t { sum[i] } + counts[i]));
}

} // namespace coltsfootbend
