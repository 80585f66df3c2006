#pragma once

// The engine beside an agent, as a rank of a group: its load, its part in map changes, and the orders that it takes. An
// order that is not answered may have been carried out, or may be carried out seconds later. Not for requests.
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

// One life of an engine, by the Unix millisecond of its start; none where it does not tell. A restarted engine holds
// nothing of what was ordered before, and its counts start anew.
using engine_life = number_id<struct engine_life_tag>;

// Number of a pass; a group begins each only once in an epoch.
using pass_number = std::uint64_t;
using group_epoch = std::uint64_t;
using engine_map_version = std::uint64_t;

struct group_membership {
    std::string name;
    group_epoch epoch = 0;
    rank_number rank = 0;
    rank_number ranks = 0;
    bool isOpen = false;
};

// One forming of a group, as one rank lives in it. What was ordered in another one holds no more.
struct group_formation {
    std::string group;
    group_epoch epoch = 0;
    engine_life life;

    bool operator==(const group_formation&) const = default;
};

struct armed_switch {
    engine_map_version version = 0;
    pass_number step = 0;

    bool operator==(const armed_switch&) const = default;
};

struct rank_report {
    engine_life life;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t usedTokens = 0;
    std::uint64_t totalTokens = 0;
    double pace = 1; // Above 1 the engine is slow.
    std::optional<group_membership> group;
    pass_number step = 0; // The last pass that was begun.
    engine_map_version mapVersion = 0;
    std::optional<engine_map_version> prepared; // Only once its copy is complete.
    std::optional<armed_switch> armed;
    std::optional<pass_number> held;
};

// Experts by set, and by set and rank.
using rank_experts = std::vector<std::vector<std::uint32_t>>;
using group_map = std::vector<rank_experts>;

struct rank_demand {
    engine_life life;
    group_epoch epoch = 0;
    // By set and expert, since the engine started.
    std::vector<std::uint64_t> counts;
};

struct rank_map_view {
    engine_map_version version = 0;
    rank_experts experts; // Of this rank, by set.
};
struct rank_maps {
    group_epoch epoch = 0;
    rank_map_view inUse;
    std::optional<rank_map_view> prepared;
};

class rank_engine {
public:
    virtual ~rank_engine() = default;

    // All fail with `Unavailable` when nothing was sent, `Lost` or `TimedOut` when no answer came.
    virtual result<rank_report> report(time_point deadline) = 0;
    virtual result<rank_demand> demand(time_point deadline) = 0;
    virtual result<rank_maps> maps(time_point deadline) = 0;

    // Orders also fail with `Stale` when the engine's state does not allow them.
    virtual result<void> prepare(group_epoch, engine_map_version, const group_map&, time_point deadline) = 0;
    virtual result<void> arm(group_epoch, const armed_switch&, time_point deadline) = 0;
    virtual result<void> disarm(group_epoch, engine_map_version, time_point deadline) = 0;
    // The group does not begin pass `step` until `release` of it.
    virtual result<void> hold(group_epoch, pass_number step, time_point deadline) = 0;
    virtual result<void> release(group_epoch, pass_number step, time_point deadline) = 0;
};

} // namespace coltsfootbend
