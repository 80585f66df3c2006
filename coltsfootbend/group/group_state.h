#pragma once

// Derives the next action of a group's leader from the states that all ranks report, for a map change that this leader
// or a failed one has begun. A change proceeds forward: once any rank may be armed for a pass, every rank is
// armed for it before the pass may begin, because an order without an answer can still be carried out later. A change
// is given up only once it is retired, so that no rank can be armed for it any more: see `map_leader::retireChange`.
// Deterministic.
//
//     const auto resolution = resolve(states);
//     if (resolution.kind == group_action::Ready) planNextMap();

#include "coltsfootbend/group/rank_engine.h"
#include "coltsfootbend/wire/messages.h"

#include <optional>
#include <vector>

namespace coltsfootbend {

// Next action of the leader.
enum class group_action {
    Ready, // All ranks use the same map and no change is in progress.
    Wait, // A rank is missing, the group is incomplete, or all ranks are armed for a pass that has yet to begin.
    Arm, // Arm every rank for `target`, then release its pass.
    Disarm, // A rank can no longer switch to `target`: retire the change, which disarms the ranks armed for it.
    Release, // Release the held pass: either all ranks are armed for it, or none, and then the change is retired first.
    // Release the held pass although the previous leader's rank does not answer. Repeat the query of all ranks before
    // acting on this.
    ReleaseWithoutLeader,
    DisarmWithoutLeader, // The same, with some ranks that the previous leader has armed.
};

// The next action and its arguments.
struct group_resolution {
    group_action kind = group_action::Wait;
    armed_switch target {}; // Switch to arm or disarm; the prepared switch for `ReleaseWithoutLeader`.
    std::vector<rank_number> heldBy; // Ranks that hold `heldStep`, for `Release` and after `Arm`.
    pass_number heldStep = 0; // Earliest held pass; 0 if no pass is held.
    bool isArmed = false; // For `Release`: all ranks are armed for the pass.
    std::optional<rank_number> missing; // The previous leader's rank, for the actions without it.
    const char* reason = ""; // Reason for `Wait`, for the log.

    bool operator==(const group_resolution&) const = default;
};

// Returns the next action for `states`, indexed by rank and empty where a rank did not answer. O(ranks).
group_resolution resolve(const std::vector<std::optional<wire::rank_state>>& states);

} // namespace coltsfootbend
