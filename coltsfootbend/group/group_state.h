#pragma once

// What all ranks of a group report, and what follows from it for a map change that was begun, by this leader or by one
// that died. A change only ever goes forward: once a rank may be armed for a pass, every rank is armed for it before
// the pass is let begin, because an order that was not answered can still be carried out. Deterministic.
//
//     const auto todo = resolve(states);
//     if (todo.kind == group_todo::Ready) planNextMap();

#include "coltsfootbend/group/rank_engine.h"
#include "coltsfootbend/wire/messages.h"

#include <optional>
#include <vector>

namespace coltsfootbend {

enum class group_todo {
    Ready, // All ranks use one map and nothing is under way.
    Wait, // Not all ranks are known, the group is not whole, or a switch is about to happen.
    Arm, // Arm every rank for `target`, then release it.
    Disarm, // A rank can no longer take `target`, so those that are armed for it must not switch.
    Release, // Let the held pass begin: either all ranks are armed for it, or none.
    ReleaseWithoutLeader, // The same, although the former leader's rank cannot be asked; look twice before acting on
                          // it.
    DisarmWithoutLeader, // Before that, take back what the former leader ordered of some ranks.
};

struct group_resolution {
    group_todo kind = group_todo::Wait;
    armed_switch target {}; // For all that arm or disarm; for `ReleaseWithoutLeader` what was prepared.
    std::vector<rank_number> heldBy; // For `Release`, and after `Arm`.
    pass_number heldStep = 0;
    const char* reason = "";

    bool operator==(const group_resolution&) const = default;
};

// `states`: by rank; none where a rank could not be asked. O(ranks).
group_resolution resolve(const std::vector<std::optional<wire::rank_state>>& states);

} // namespace coltsfootbend
