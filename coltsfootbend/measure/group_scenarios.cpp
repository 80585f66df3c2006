#include "coltsfootbend/measure/group_trial.h"
#include "coltsfootbend/measure/scenario.h"

namespace coltsfootbend {

namespace {

// Runs every fault alone and every pair of faults.
group_trial_report runShipped(std::uint64_t steps)
{
    group_trial_report total;
    std::uint64_t seed = 1;
    for (std::size_t i = 0; i < groupFaults; ++i) {
        for (std::size_t j = i; j < groupFaults; ++j) {
            const auto first = static_cast<group_fault>(i);
            const auto second = static_cast<group_fault>(j);
            total.add(runGroupTrial({ .seed = seed++, .steps = steps, .faults = { first, second } }));
        }
    }
    return total;
}

// Runs the baseline with only those faults that it survives: a restarted rank would stop it permanently.
group_trial_report runBaseline(std::uint64_t steps)
{
    group_trial_report total;
    for (const auto fault : { group_fault::MessageLost, group_fault::MessageLate, group_fault::RankStalls })
        total.add(runGroupTrial({ .seed = 1, .steps = steps, .faults = { fault }, .withoutPromises = true }));
    return total;
}

void measureSteps(figure_writer& out)
{
    constexpr std::uint64_t stepsEach = 23'000;
    const auto shipped = runShipped(stepsEach);
    const auto plain = runBaseline(20'000);
    out.write("step.tried", static_cast<double>(shipped.steps), "steps");
    out.write("step.fault_kinds", groupFaults, "kinds");
    out.write("step.changes", static_cast<double>(shipped.changes), "map changes");
    out.write("step.mixed_maps", static_cast<double>(shipped.mixedMaps), "steps", static_cast<double>(plain.mixedMaps),
        "a step told ahead, without promises, in step.baseline_tried steps");
    out.write("step.baseline_tried", static_cast<double>(plain.steps), "steps");
    for (const std::uint32_t ranks : { 8U, 64U, 256U }) {
        const auto quiet = runGroupTrial({ .seed = 5, .steps = 10'000, .ranks = ranks });
        const double stalled = toMilliseconds(quiet.stalled) / toMilliseconds(quiet.total);
        out.write("step.stall_share" + (ranks == 8 ? std::string() : "." + std::to_string(ranks) + "_ranks"), stalled,
            "share");
    }
}

} // namespace

std::vector<scenario> groupScenarios()
{
    return { { "steps", "expert maps in lock-step under every fault and every two", measureSteps } };
}

} // namespace coltsfootbend
