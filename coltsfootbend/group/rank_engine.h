#pragma once

// Client of one engine as a rank of a group: reads its load and its map state, and sends it the orders that change
// maps. An order without an answer may have been carried out, or may be carried out seconds later. Not for inference
// requests.
//
//     auto report = engine.report(deadline);
//     auto done = engine.arm({ .epoch = 3, .version = 7, .step = 820 }, deadline);

#include "coltsfootbend/base/error.h"
#include "coltsfootbend/base/id.h"
#include "coltsfootbend/base/time.h"
#include "coltsfootbend/group/map_messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootbend {

// One incarnation of an engine, identified by the Unix time of its start in milliseconds; none if the engine does not
// report it. A restarted engine keeps no earlier order, and its counts restart at zero.
using engine_incarnation = number_id<struct engine_incarnation_tag>;

// Number of a pass; a group begins each pass only once in an epoch.
using pass_number = std::uint64_t;
// Number of a formation of a group; rises each time the group is formed again.
using group_epoch = std::uint64_t;
using engine_map_version = std::uint64_t;

// Largest size of a group. Bounds what is allocated for the ranks of a group, whose size is what an engine reports.
constexpr rank_number maxGroupSize = 4096;

// Returns whether a group of `ranks` ranks can have a rank with the number `rank`.
constexpr bool isPlaceInGroup(rank_number rank, rank_number ranks) { return rank < ranks && ranks <= maxGroupSize; }

// An engine's place in its group, as the engine reports it.
struct group_membership {
    std::string name;
    group_epoch epoch = 0;
    rank_number rank = 0;
    rank_number ranks = 0; // Size of the group.
    bool isOpen = false; // False from the loss of a rank until the group is formed again.
};

// One formation of a group together with the incarnation of one rank's engine. Orders given in another formation are no
// longer valid.
struct group_formation {
    std::string group;
    group_epoch epoch = 0;
    engine_incarnation incarnation;

    bool operator==(const group_formation&) const = default;
};

// A switch to map `version` that takes effect with pass `step`.
struct armed_switch {
    engine_map_version version = 0;
    pass_number step = 0;

    bool operator==(const armed_switch&) const = default;
};

// An engine's report of its load and its map state.
struct rank_report {
    engine_incarnation incarnation;
    std::uint32_t running = 0; // Requests.
    std::uint32_t waiting = 0; // Requests.
    std::uint64_t usedTokens = 0; // KV cache in use.
    std::uint64_t totalTokens = 0; // KV cache capacity.
    double pace = 1; // Duration of passes relative to normal; the engine is slow above 1.
    std::optional<group_membership> group;
    pass_number step = 0; // Last pass that was begun.
    engine_map_version mapVersion = 0;
    std::optional<engine_map_version> prepared; // Set once its experts are copied completely.
    std::optional<armed_switch> armed;
    std::optional<pass_number> held; // Pass that the engine does not begin until it is released.
};

// Experts of one rank, by set.
using rank_experts = std::vector<std::vector<std::uint32_t>>;
// Experts of a group, by set and rank.
using group_map = std::vector<rank_experts>;

// How often an engine's requests used each expert.
struct rank_demand {
    engine_incarnation incarnation;
    group_epoch epoch = 0;
    // Uses by set and expert since the engine started.
    std::vector<std::uint64_t> counts;
};

// One rank's part of a map.
struct rank_map_view {
    engine_map_version version = 0;
    rank_experts experts; // Of this rank, by set.
};
// The maps that an engine holds.
struct rank_maps {
    group_epoch epoch = 0;
    rank_map_view inUse;
    std::optional<rank_map_view> prepared;
};

// Interface of an engine.
class rank_engine {
public:
    virtual ~rank_engine() = default;

    // All calls fail with `Unavailable` if nothing was sent, and with `Lost` or `TimedOut` if no answer was received.
    virtual result<rank_report> report(time_point deadline) = 0;
    virtual result<rank_demand> demand(time_point deadline) = 0;
    virtual result<rank_maps> maps(time_point deadline) = 0;

    // Orders also fail with `Stale` if the engine's state does not allow them.

    // Copies the experts that the map needs, without using the map yet.
    virtual result<void> prepare(group_epoch, engine_map_version, const group_map&, time_point deadline) = 0;
    // Schedules the switch to a prepared map.
    virtual result<void> arm(group_epoch, const armed_switch&, time_point deadline) = 0;
    // Cancels the switch.
    virtual result<void> disarm(group_epoch, engine_map_version, time_point deadline) = 0;
    // Prevents the group from beginning pass `step` until that pass is released.
    virtual result<void> hold(group_epoch, pass_number step, time_point deadline) = 0;
    virtual result<void> release(group_epoch, pass_number step, time_point deadline) = 0;
};

} // namespace coltsfootbend
