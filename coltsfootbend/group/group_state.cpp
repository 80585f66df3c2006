#include "coltsfootbend/group/group_state.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

using known_states = std::vector<const wire::rank_state*>;

group_resolution waitFor(const char* reason)
{
    return { .kind = group_todo::Wait, .target = {}, .heldBy = {}, .heldStep = 0, .reason = reason };
}

bool isArmedFor(const wire::rank_state& state, const armed_switch& target)
{
    return state.mapVersion == target.version
        || (state.armedVersion == target.version && state.armedStep == target.step && !state.isArmUncertain);
}

// The holds of the earliest pass: the group stands there first.
void addHolds(const known_states& states, group_resolution& resolution)
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

// A switch that some rank is armed for, or may be.
std::optional<armed_switch> findArmed(const known_states& states)
{
    for (const auto* state : states) {
        if (state->armedVersion != 0 && state->mapVersion != state->armedVersion)
            return armed_switch { state->armedVersion, state->armedStep };
    }
    return std::nullopt;
}

// A rank that neither uses the version nor has it prepared can never be armed for it. Only sure when no order for it is
// open at any rank: otherwise the group rather stands still until that is settled.
bool mustDisarm(const known_states& states, const armed_switch& target)
{
    const bool isSure
        = std::none_of(states.begin(), states.end(), [](const auto* state) { return state->isArmUncertain; });
    return isSure && std::any_of(states.begin(), states.end(), [&](const auto* state) {
        return !isArmedFor(*state, target) && state->preparedVersion != target.version;
    });
}

bool allPrepared(const known_states& states, engine_map_version version)
{
    return version != 0 && std::all_of(states.begin(), states.end(), [version](const auto* state) {
        return state->preparedVersion == version && state->mapVersion != version;
    });
}

} // namespace

group_resolution resolve(const std::vector<std::optional<wire::rank_state>>& states)
{
    known_states known;
    for (const auto& state : states) {
        if (!state)
            return waitFor("a rank could not be asked");
        if (!state->isOpen || state->epoch != states.front()->epoch)
            return waitFor("the group is not whole");
        known.push_back(&*state);
    }
    if (known.empty())
        return waitFor("no rank is known");
    group_resolution resolution;
    addHolds(known, resolution);
    if (const auto armed = findArmed(known)) {
        resolution.target = *armed;
        const bool allArmed
            = std::all_of(known.begin(), known.end(), [&](const auto* state) { return isArmedFor(*state, *armed); });
        if (!allArmed)
            resolution.kind = mustDisarm(known, *armed) ? group_todo::Disarm : group_todo::Arm;
        else if (resolution.heldStep != 0)
            resolution.kind = group_todo::Release;
        else
            return waitFor("a switch is about to happen");
        return resolution;
    }
    if (resolution.heldStep != 0) {
        // Whoever held the pass may have ordered a switch that no report shows yet. It orders none before the same
        // version is prepared everywhere.
        const auto version = known.front()->preparedVersion;
        resolution.kind = allPrepared(known, version) ? group_todo::Arm : group_todo::Release;
        resolution.target = { version, resolution.heldStep };
        return resolution;
    }
    for (const auto* state : known) {
        if (state->mapVersion != known.front()->mapVersion)
            return waitFor("the ranks were asked while a switch happened");
    }
    resolution.kind = group_todo::Ready;
    return resolution;
}

} // namespace coltsfootbend
