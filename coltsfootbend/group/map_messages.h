#pragma once

// Messages by which a coordinator and the ranks of a group agree on expert maps. See `group/rank_agent.h` for the
// protocol rules and docs/design/MAPS.md for their proof.

#include "coltsfootbend/base/id.h"

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

namespace coltsfootbend {

// Number of a step of a group. Steps are numbered from 1, and no number is used twice.
using step_number = std::uint64_t;
// Version of an expert map.
using map_version = number_id<struct map_version_tag>;
// Position of an engine in its group, from 0.
using rank_number = std::uint32_t;

// Identifies one run of a coordinator. Epochs increase, and no two coordinators share one.
struct map_epoch {
    std::uint64_t number = 0;
    std::uint64_t coordinator = 0;

    auto operator<=>(const map_epoch&) const = default;
};

// Steps from `from` until the start of the next segment run under `map`.
struct map_segment {
    step_number from = 0;
    map_version map;

    auto operator<=>(const map_segment&) const = default;
};

// Assigns a map to each step. `decidedBy` is the epoch of the latest decision in it.
struct map_schedule {
    map_epoch decidedBy;
    std::vector<map_segment> segments;

    // Returns the map of `step`, or none if no segment has begun by then. O(segments).
    map_version mapAt(step_number step) const;
};

// Coordinator to rank: load this map. Implies no promise yet.
struct prepare_map {
    map_epoch epoch;
    map_version map;
};
// Coordinator to rank, once every rank has loaded the map: promise to take no step beyond a limit that the rank
// chooses.
struct propose_switch {
    map_epoch epoch;
    map_version map;
};
// Coordinator to rank, once every rank has promised: use the new schedule. Valid only for the listed incarnations.
struct decide_switch {
    map_epoch epoch;
    map_schedule schedule;
    std::vector<incarnation> incarnations; // By rank.
};
// Coordinator to rank: this epoch will never decide, and its promise is void.
struct release_promise {
    map_epoch epoch;
};
using coordinator_message = std::variant<prepare_map, propose_switch, decide_switch, release_promise>;

// Rank to coordinator: the map is loaded.
struct map_loaded {
    map_epoch epoch;
    map_version map;
};
// Rank to coordinator: the promise asked for by `propose_switch`.
struct switch_promised {
    map_epoch epoch;
    incarnation rankIncarnation;
    step_number limit = 0; // Last step that the rank grants before it receives a decision.
    map_schedule schedule; // Decided schedule that the rank knows; without segments in a new incarnation.
};
// Rank to coordinator: the decided schedule is in use.
struct switch_applied {
    map_epoch epoch;
    incarnation rankIncarnation;
};
// Rank to coordinator: the rank has promised a higher epoch, or is not ready for the request yet.
struct switch_refused {
    map_epoch epoch;
    map_epoch promised;
};
using rank_message = std::variant<map_loaded, switch_promised, switch_applied, switch_refused>;

} // namespace coltsfootbend
