#pragma once

// Simulates a group of ranks that run in lock-step through many map changes in virtual time, with injected faults. Uses
// the shipped rank agents and coordinators; engines and the network are fakes. Counts the steps in which two ranks ran
// different maps.
//
//     auto report = runGroupTrial({ .seed = 1, .steps = 100'000, .faults = { group_fault::MessageLost } });

#include "coltsfootbend/base/time.h"

#include <cstdint>
#include <vector>

namespace coltsfootbend {

// Faults that a trial injects.
enum class group_fault {
    MessageLost,
    MessageLate,
    MessageDoubled,
    RankStalls,
    RankRestarts, // The rank starts a new incarnation without the engine's memory.
    RankReplaced, // The whole group starts a new incarnation.
    TwoCoordinators,
    CoordinatorPaused,
    ChangeAbandoned,
};
constexpr std::size_t groupFaults = 9;
const char* toString(group_fault);

// Length of a trial, size of the group and the faults to inject.
struct group_trial_options {
    std::uint64_t seed = 1;
    std::uint64_t steps = 10'000;
    std::uint32_t ranks = 8;
    std::vector<group_fault> faults {};
    duration changeInterval = std::chrono::seconds(2);
    // Baseline: every rank is ordered to switch a fixed number of steps ahead, without promises of the ranks.
    bool withoutPromises = false;
};

// Results of one trial, or the sums over several.
struct group_trial_report {
    std::uint64_t steps = 0;
    std::uint64_t mixedMaps = 0; // Steps in which two ranks ran different maps.
    std::uint64_t changes = 0; // Steps that ran under another map than the step before.
    duration stalled {}; // Part of `total` in which no step ran.
    duration total {}; // From the start of the first step to the end of the last one.

    void add(const group_trial_report&);
};

// Runs one trial; the same options give the same report.
group_trial_report runGroupTrial(const group_trial_options&);

} // namespace coltsfootbend
