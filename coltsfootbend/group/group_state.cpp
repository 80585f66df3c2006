#include "coltsfootbend/group/group_state.h"

#include "coltsfootbend/group/leader_term.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

using reported_states = std::vector<const wire::rank_state*>;

bool isArmedFor(const wire::rank_state& state, const armed_switch& target)
{
    return state.mapVersion == target.version
        || (state.armedVersion == target.version && state.armedStep == target.step && !state.isArmUncertain);
}

// Adds the holds of the earliest held pass, which stops the group first.
void addHolds(const reported_states& states, group_resolution& resolution)
{
    for (const auto* state : states) {
        if (state->heldStep != 0 && (resolution.heldStep == 0 || state->heldStep < resolution.heldStep))
            resolution.heldStep = state->heldStep;
    }
    for (const auto* state : states) {
        if (state->heldStep != 0 && state->heldStep == resolution.heldStep)
            resolution.heldBy.push_back(state->rank);
    }
}

// Returns a wait that names the pass which is held meanwhile.
group_resolution waitFor(const reported_states& states, const char* reason)
{
    group_resolution resolution;
    resolution.reason = reason;
    addHolds(states, resolution);
    return resolution;
}

// Returns the switch that a rank is armed for, or may be; none if there is none.
std::optional<armed_switch> findArmed(const reported_states& states)
{
    for (const auto* state : states) {
        if (state->armedVersion != 0 && state->mapVersion != state->armedVersion)
            return armed_switch { state->armedVersion, state->armedStep };
    }
    return std::nullopt;
}

// Returns whether a rank can never be armed for `target`, because it neither uses that version nor has it prepared.
// This is certain only while no rank has an arm order whose result is unknown; until then the group stays stalled.
bool needsDisarm(const reported_states& states, const armed_switch& target)
{
    const bool isCertain
        = std::none_of(states.begin(), states.end(), [](const auto* state) { return state->isArmUncertain; });
    return isCertain && std::any_of(states.begin(), states.end(), [&](const auto* state) {
        return !isArmedFor(*state, target) && state->preparedVersion != target.version;
    });
}

// Returns whether every rank has prepared `version` and none uses it.
bool allPrepared(const reported_states& states, engine_map_version version)
{
    return version != 0 && std::all_of(states.begin(), states.end(), [version](const auto* state) {
        return state->preparedVersion == version && state->mapVersion != version;
    });
}

// Resolves a group whose previous leader's VM has stalled while a pass is held for its change. That leader's rank does
// not answer, but it is armed last, after all others are confirmed to be armed. If another rank has prepared the
// change, is neither armed nor about to be, and obeys a newer leader, the change can no longer complete and the missing
// rank is never armed. It is then safe to disarm the others and release the pass.
group_resolution resolveWithoutLeader(const reported_states& reported, rank_number missing)
{
    const auto& first = *reported.front();
    group_resolution resolution;
    addHolds(reported, resolution);
    const bool isOneChange = std::all_of(reported.begin(), reported.end(), [&](const auto* state) {
        return state->preparedVersion == first.preparedVersion && state->preparedTerm == first.preparedTerm
            && state->mapVersion == first.mapVersion && !state->isArmUncertain && state->term > first.preparedTerm;
    });
    if (resolution.heldStep == 0 || !isOneChange || first.preparedTerm == 0 || first.preparedVersion == 0
        || first.preparedVersion == first.mapVersion || leaderOf(first.preparedTerm) != missing)
        return waitFor(reported, "a rank did not answer");
    const auto armed
        = std::count_if(reported.begin(), reported.end(), [](const auto* state) { return state->armedVersion != 0; });
    if (static_cast<std::size_t>(armed) == reported.size())
        return waitFor(reported, "the previous leader may have armed its own rank");
    resolution.target = { first.preparedVersion, resolution.heldStep };
    resolution.missing = missing;
    resolution.kind = armed > 0 ? group_action::DisarmWithoutLeader : group_action::ReleaseWithoutLeader;
    return resolution;
}

} // namespace

group_resolution resolve(const std::vector<std::optional<wire::rank_state>>& states)
{
    reported_states reported;
    std::vector<rank_number> missing;
    for (rank_number rank = 0; rank < states.size(); ++rank) {
        const auto& state = states[rank];
        if (!state) {
            missing.push_back(rank);
            continue;
        }
        if (!state->isOpen || (!reported.empty() && state->epoch != reported.front()->epoch))
            return waitFor(reported, "the group is incomplete");
        reported.push_back(&*state);
    }
    if (reported.empty())
        return waitFor(reported, "no rank answered");
    if (missing.size() > 1)
        return waitFor(reported, "several ranks did not answer");
    if (!missing.empty())
        return resolveWithoutLeader(reported, missing.front());
    group_resolution resolution;
    addHolds(reported, resolution);
    if (const auto armed = findArmed(reported)) {
        resolution.target = *armed;
        const bool allArmed = std::all_of(
            reported.begin(), reported.end(), [&](const auto* state) { return isArmedFor(*state, *armed); });
        if (!allArmed)
            resolution.kind = needsDisarm(reported, *armed) ? group_action::Disarm : group_action::Arm;
        else if (resolution.heldStep != 0) {
            resolution.kind = group_action::Release;
            resolution.isArmed = true;
        } else
            return waitFor(reported, "all ranks are armed for a pass that has not begun");
        return resolution;
    }
    if (resolution.heldStep != 0) {
        // The process that held the pass may have ordered a switch that no report shows yet. It orders a switch only
        // after the same version is prepared on every rank.
        const auto version = reported.front()->preparedVersion;
        resolution.kind = allPrepared(reported, version) ? group_action::Arm : group_action::Release;
        resolution.target = { version, resolution.heldStep };
        return resolution;
    }
    for (const auto* state : reported) {
        if (state->mapVersion != reported.front()->mapVersion)
            return waitFor(reported, "the ranks answered during a switch");
    }
    resolution.kind = group_action::Ready;
    return resolution;
}

} // namespace coltsfootbend
