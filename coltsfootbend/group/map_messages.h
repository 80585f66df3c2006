#pragma once

// The words in which a coordinator and the ranks of a group agree on expert maps. See `group/rank_agent.h` for the
// rules and docs/design/MAPS.md for why they hold.

#include "coltsfootbend/base/id.h"

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

namespace coltsfootbend {

// Steps of a group are numbered from 1 and never again.
using step_number = std::uint64_t;
using map_version = number_id<struct map_version_tag>;
using rank_number = std::uint32_t;

// One run of a coordinator. Rises; no two coordinators share one.
struct map_epoch {
    std::uint64_t number = 0;
    std::uint64_t coordinator = 0;

    auto operator<=>(const map_epoch&) const = default;
};

// From `from` on, and until the next segment, steps run under `map`.
struct map_segment {
    step_number from = 0;
    map_version map;

    auto operator<=>(const map_segment&) const = default;
};

// Which map each step runs under, and which epoch decided the last of it.
struct map_schedule {
    map_epoch decidedBy;
    std::vector<map_segment> segments;

    // Returns the map of `step`, none when no segment has begun by then. O(segments).
    map_version mapAt(step_number step) const;
};

// Coordinator to rank: load this map, without any promise yet.
struct prepare_map {
    map_epoch epoch;
    map_version map;
};
// Coordinator to rank, once every rank has loaded: promise to take no step beyond a limit that you name.
struct propose_switch {
    map_epoch epoch;
    map_version map;
};
// Coordinator to rank, once every rank has promised: the new schedule, for exactly these lives.
struct decide_switch {
    map_epoch epoch;
    map_schedule schedule;
    std::vector<incarnation> lives; // By rank.
};
// Coordinator to rank: this epoch will never decide; the promise is lifted.
struct release_promise {
    map_epoch epoch;
};
using coordinator_message = std::variant<prepare_map, propose_switch, decide_switch, release_promise>;

struct map_loaded {
    map_epoch epoch;
    map_version map;
};
struct switch_promised {
    map_epoch epoch;
    incarnation life;
    step_number limit = 0; // No step beyond it is granted before a decision.
    map_schedule schedule; // What the rank knows to be decided; no segments in a fresh life.
};
struct switch_taken {
    map_epoch epoch;
    incarnation life;
};
// The rank has promised a higher epoch, or cannot do what was asked yet.
struct switch_refused {
    map_epoch epoch;
    map_epoch promised;
};
using rank_message = std::variant<map_loaded, switch_promised, switch_taken, switch_refused>;

// What a message says besides: messages of another incarnation of the group are ignored by both sides.
template <typename Body> struct group_envelope {
    group_id group;
    incarnation groupLife;
    rank_number rank = 0; // The rank that sends or is addressed.
    Body body;
};

} // namespace coltsfootbend
