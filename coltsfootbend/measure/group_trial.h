#pragma once

// Runs a group of ranks in lock-step through many map changes in virtual time, with faults, over the shipped rank
// agents and coordinators. Engines and the network are fakes. Counts steps in which two ranks ran different maps.
//
//     auto report = runGroupTrial({ .seed = 1, .steps = 100'000, .faults = { group_fault::MessageLost } });

#include "coltsfootbend/base/time.h"

#include <cstdint>
#include <vector>

namespace coltsfootbend {

enum class group_fault {
    MessageLost,
    MessageLate,
    MessageDoubled,
    RankStalls,
    RankRestarts, // Without engine memory: a fresh life.
    RankReplaced, // A new incarnation of the group.
    TwoCoordinators,
    CoordinatorPaused,
    ChangeAbandoned,
};
constexpr std::size_t groupFaults = 9;
const char* toString(group_fault);

struct group_trial_options {
    std::uint64_t seed = 1;
    std::uint64_t steps = 10'000;
    std::uint32_t ranks = 8;
    std::vector<group_fault> faults {};
    duration changeInterval = std::chrono::seconds(2);
    // Baseline: the coordinator tells every rank to switch at a step a fixed lead ahead, without promises.
    bool withoutPromises = false;
};

struct group_trial_report {
    std::uint64_t steps = 0;
    std::uint64_t mixedMaps = 0;
    std::uint64_t changes = 0; // Maps that a step ran under.
    duration stalled {};
    duration total {};

    void add(const group_trial_report&);
};

group_trial_report runGroupTrial(const group_trial_options&);

} // namespace coltsfootbend
