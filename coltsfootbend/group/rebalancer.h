#pragma once

// Decides when one layer of a group is rebalanced and how: it estimates the experts' load from reports that are late
// and have gaps, plans at set times by the deployment's own weights, and keeps out of protected hours and live events
// unless the skew passes a stated limit. Deterministic. Not for carrying a plan out: see `group/map_coordinator.h`.
//
//     rebalancer layer(placement::initial(256, 256, 2), { .gainPerMove = 0.0004, .interval = 2min, ... });
//     layer.observe(load);
//     if (auto plan = layer.decide(now)) { ...; layer.carriedOut(*plan); }

#include "coltsfootbend/base/time.h"
#include "coltsfootbend/group/placement.h"

#include <limits>
#include <optional>
#include <vector>

namespace coltsfootbend {

// From `start` until before `end` nothing is moved.
struct protected_window {
    time_point start {};
    time_point end {};
};

class rebalancer {
public:
    struct options {
        // What moving one expert costs, in skew. The Cámara's is small, Panopano's is large.
        double gainPerMove = 0;
        std::size_t maxMoves = 64;
        duration interval {};
        // Share of the newest report in the estimate.
        double smoothing = 0.3;
        // A protected window is broken only when the skew is beyond this.
        double protectedLimit = std::numeric_limits<double>::infinity();
    };

    rebalancer(placement current, const options&);

    // Takes one report of how the tokens were spread. Precondition: one value for each expert.
    void observe(const expert_load&);

    void setProtected(std::vector<protected_window> windows) { m_protected = std::move(windows); }
    bool isProtected(time_point now) const;

    // Returns a plan when one is due, allowed, and worth its moves. Changes nothing but the time of the next.
    std::optional<rebalance_plan> decide(time_point now);

    // Says that a plan's map is in use.
    void carriedOut(const rebalance_plan& plan) { m_current = plan.next; }

    const placement& current() const { return m_current; }
    // The skew by the estimate; 1 before the first report.
    double expectedSkew() const { return m_estimate.empty() ? 1 : m_current.skew(m_estimate); }

private:
    const options m_options;
    placement m_current;
    expert_load m_estimate;
    std::vector<protected_window> m_protected;
    time_point m_nextPlanAt {};
};

} // namespace coltsfootbend
