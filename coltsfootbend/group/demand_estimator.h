#pragma once

// The demand for each expert, from counts that come in rounds. Demand shifts within seconds, and the requests of one
// round are few, so rounds are averaged with a weight that falls by half with each. Deterministic.
//
//     demand_estimator estimator(sets, experts);
//     estimator.add(rankCounts); ...; estimator.endRound();
//     planner.plan(map, estimator.demand(), paces);

#include "coltsfootbend/group/map_planner.h"

#include <cstdint>
#include <vector>

namespace coltsfootbend {

class demand_estimator {
public:
    demand_estimator(std::size_t sets, std::size_t experts)
        : m_round(sets, std::vector<double>(experts))
        , m_demand(sets, std::vector<double>(experts))
    {
    }

    // Adds what one rank counted in this round, by set and expert in one row. Others than this group's are ignored.
    void add(const std::vector<std::uint32_t>& counts);

    // Takes the round into the estimate, unless too little was counted: then it goes on.
    void endRound();

    bool isKnown() const { return m_isKnown; }
    const group_demand& demand() const { return m_demand; }

private:
    group_demand m_round;
    group_demand m_demand;
    double m_counted = 0;
    bool m_isKnown = false;
};

} // namespace coltsfootbend
