#pragma once

// Decides when and how one layer of a group is rebalanced. Estimates the experts' load from reports that may be late or
// missing, plans at a fixed interval with the deployment's own cost of a move, and makes no plan in protected windows,
// such as busy hours and live events, unless the skew exceeds a configured limit. Deterministic. Not for carrying out a
// plan: see `group/map_coordinator.h`.
//
//     rebalancer layer(placement::initial(256, 256, 2), { .gainPerMove = 0.0004, .interval = 2min, ... });
//     layer.observe(load);
//     if (auto plan = layer.planIfDue(now)) { ...; layer.onPlanApplied(*plan); }

#include "coltsfootbend/base/time.h"
#include "coltsfootbend/group/placement.h"

#include <limits>
#include <optional>
#include <vector>

namespace coltsfootbend {

// A half-open time window [start, end) in which no expert is moved.
struct protected_window {
    time_point start {};
    time_point end {};
};

// The load estimate and rebalancing schedule of one layer.
class rebalancer {
public:
    struct options {
        // Cost of moving one expert, in skew. Varies by deployment: a larger value makes fewer moves.
        double gainPerMove = 0;
        // Maximum number of experts that one plan moves.
        std::size_t maxMoves = 64;
        // Interval between two plans.
        duration interval {};
        // Weight of the newest report in the load estimate, 0 to 1.
        double smoothing = 0.3;
        // Skew above which experts are moved in a protected window as well.
        double protectedSkewLimit = std::numeric_limits<double>::infinity();
    };

    rebalancer(placement current, const options&);

    // Adds one report of the experts' load to the estimate. Precondition: the report has one value for each expert.
    void observe(const expert_load&);

    void setProtectedWindows(std::vector<protected_window> windows) { m_protectedWindows = std::move(windows); }
    // Returns whether `now` is in a protected window.
    bool isProtected(time_point now) const;

    // Returns a plan if one is due, permitted and worth its moves. Changes no state but the time of the next plan.
    std::optional<rebalance_plan> planIfDue(time_point now);

    // Sets the current placement once the plan is in use.
    void onPlanApplied(const rebalance_plan& plan) { m_current = plan.next; }

    const placement& current() const { return m_current; }
    // Returns the skew of the current placement under the estimated load; 1 before the first report.
    double expectedSkew() const { return m_estimate.empty() ? 1 : m_current.skew(m_estimate); }

private:
    const options m_options;
    placement m_current;
    expert_load m_estimate;
    std::vector<protected_window> m_protectedWindows;
    time_point m_nextPlanAt {};
};

} // namespace coltsfootbend
