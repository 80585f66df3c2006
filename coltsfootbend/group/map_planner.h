#pragma once

// Plans the next expert map of a group: which experts each rank holds, set by set, so that in every set the load of the
// busiest rank is close to the mean. A pass waits for the busiest rank of each set, so the cost of a map is the sum of
// these excess loads; copying an expert has a cost too. Starts from the map in use and respects the limits on what one
// change may copy to a rank. Deterministic. Not for agreeing on a map: see `group/map_leader.h`.
//
//     map_planner planner({ .placesPerRank = 8, .maxNewExpertsPerSet = 3 });
//     auto plan = planner.plan(current, demand, paces);
//     if (plan.gain() > 0.05) ...

#include "coltsfootbend/group/rank_engine.h"

#include <cstdint>
#include <limits>
#include <vector>

namespace coltsfootbend {

// Number of times that each expert was chosen, by set and expert, in any unit.
using group_demand = std::vector<std::vector<double>>;

// A planned map, its cost in copies and its effect on the skew.
struct map_plan {
    group_map next;
    std::uint32_t moves = 0; // Number of experts that are copied to a rank.
    // Mean over the sets of the busiest rank's load divided by the mean load; 1 is perfect balance.
    double skewBefore = 1;
    double skewAfter = 1;

    double gain() const { return skewBefore - skewAfter; }
};

// A stateless planner with the limits and costs of one deployment.
class map_planner {
public:
    struct options {
        // Maximum number of experts of one set on a rank.
        std::uint32_t placesPerRank = 1;
        // Maximum number of experts of one set that one change may copy to a rank.
        std::uint32_t maxNewExpertsPerSet = 1;
        // Maximum number of experts of all sets that one change may copy to a rank. A change is prepared only once the
        // rank with the most copies has made all of them, and until then passes run under the worse map. Moves beyond
        // the limit are left to the following changes.
        std::uint32_t maxCopiesPerRank = std::numeric_limits<std::uint32_t>::max();
        // Minimum reduction of a set's skew for each copied expert. A larger value makes fewer copies.
        double gainPerMove = 0.01;
        // Number of least loaded ranks that are considered as targets of a move.
        std::uint32_t candidateRanks = 16;
    };

    explicit map_planner(const options& options)
        : m_options(options)
    {
    }

    // Plans as below, with `gainPerMove` in place of the configured value.
    map_plan plan(const group_map& current, const group_demand& demand, const std::vector<double>& paces,
        double gainPerMove) const;

    // Returns the plan for `demand`, which leaves sets unchanged where no sequence of moves is worth its copies.
    // `paces` is the relative slowness of each rank: values above 1 mark a slow rank, which receives correspondingly
    // less load. Precondition: every expert is held by a rank of `current`. O(sets x moves x candidates x places^2).
    map_plan plan(const group_map& current, const group_demand& demand, const std::vector<double>& paces) const
    {
        return plan(current, demand, paces, m_options.gainPerMove);
    }

    // Returns the mean skew of `map` under `demand`, as defined in `map_plan`.
    static double skewOf(const group_map& map, const group_demand& demand, const std::vector<double>& paces);

private:
    const options m_options;
};

} // namespace coltsfootbend
