#pragma once

// Plans the next expert map of a group: which experts each rank holds, set by set, so that in every set the busiest
// rank has little more than the mean. A pass waits for the busiest rank of each set, so the sum of these excesses is
// what a map costs; copying an expert costs too. Starts from the map in use and keeps to what one change may bring to a
// rank. Deterministic. Not for agreeing on a map: see `group/map_leader.h`.
//
//     map_planner planner({ .placesPerRank = 8, .newPerChange = 3 });
//     auto plan = planner.plan(current, demand, paces);
//     if (plan.gain() > 0.05) ...

#include "coltsfootbend/group/rank_engine.h"

#include <cstdint>
#include <limits>
#include <vector>

namespace coltsfootbend {

// How often each expert was chosen, by set; any unit.
using group_demand = std::vector<std::vector<double>>;

struct map_plan {
    group_map next;
    std::uint32_t moves = 0; // Experts that are copied to a rank.
    // Mean over the sets of the busiest rank's load over the mean load; 1 is perfect.
    double skewBefore = 1;
    double skewAfter = 1;

    double gain() const { return skewBefore - skewAfter; }
};

class map_planner {
public:
    struct options {
        std::uint32_t placesPerRank = 1;
        // Experts of a set that one change may bring to a rank.
        std::uint32_t newPerChange = 1;
        // Experts of all sets that one change may bring to a rank: a change is prepared only once the rank with the
        // most has copied all of them, and until then passes run under the worse map. What is left follows in the next
        // change.
        std::uint32_t copiesPerRank = std::numeric_limits<std::uint32_t>::max();
        // By how much the skew of a set must fall for each expert that is copied. A user who minds copies sets more.
        double gainPerMove = 0.01;
        // How many of the least busy ranks are tried as the other side of a move.
        std::uint32_t candidateRanks = 16;
    };

    explicit map_planner(const options& options)
        : m_options(options)
    {
    }

    // As below, with another gain that each move must bring.
    map_plan plan(const group_map& current, const group_demand& demand, const std::vector<double>& paces,
        double gainPerMove) const;

    // `paces`: by rank, above 1 for a slow one, which gets that much less. Precondition: every expert lies on a rank of
    // `current`. O(sets x moves x candidates x places^2).
    map_plan plan(const group_map& current, const group_demand& demand, const std::vector<double>& paces) const
    {
        return plan(current, demand, paces, m_options.gainPerMove);
    }

    // Returns the mean skew of `map` under `demand`; see `map_plan`.
    static double skewOf(const group_map& map, const group_demand& demand, const std::vector<double>& paces);

private:
    const options m_options;
};

} // namespace coltsfootbend
