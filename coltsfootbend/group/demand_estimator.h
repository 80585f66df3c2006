#pragma once

// Estimates the demand for each expert from counts that arrive in rounds. One round covers few prompts, so rounds are
// averaged. Demand can also shift abruptly, so a round that differs from the estimate by more than random variation
// explains replaces most of it. The expected random variation is learnt from the rounds themselves. Deterministic.
//
//     demand_estimator estimator(sets, experts);
//     estimator.add(rankCounts); ...; estimator.endRound();
//     planner.plan(map, estimator.demand(), paces);

#include "coltsfootbend/group/map_planner.h"

#include <cstdint>
#include <vector>

namespace coltsfootbend {

// The demand estimate of one group.
class demand_estimator {
public:
    demand_estimator(std::size_t sets, std::size_t experts)
        : m_round(sets, std::vector<double>(experts))
        , m_demand(sets, std::vector<double>(experts))
    {
    }

    // Adds the counts of one rank in this round, in one row by set and expert. Rows of another size belong to another
    // group and are ignored.
    void add(const std::vector<std::uint32_t>& counts);

    // Adds the round to the estimate. A round with too few counts continues instead, and later counts are added to it.
    void endRound();

    // Returns the distance of the newest round from the estimate: the mean over the sets of the share of choices
    // that would have to change, 0 to 1.
    double drift() const { return m_drift; }
    // Returns the drift expected from random variation alone, as learnt so far; 0 until known.
    double expectedDrift() const { return m_expectedDrift; }

    // Returns whether a round has been completed, so that `demand` is valid.
    bool isKnown() const { return m_isKnown; }
    // Returns the estimated share of each expert in the choices of its set.
    const group_demand& demand() const { return m_demand; }

private:
    void addRoundToEstimate();
    // Returns whether the newest round shows a shift of demand, and updates the expected drift.
    bool isShift();

    // Counts of the current round, normalised to shares at its end.
    group_demand m_round;
    group_demand m_demand;
    // Number of choices counted in the current round.
    double m_roundChoices = 0;
    // Effective number of choices behind the estimate; the contribution of earlier rounds decays.
    double m_estimateChoices = 0;
    double m_drift = 0;
    double m_expectedDrift = 0;
    // Smoothed drift of the rounds, divided by the standard deviation expected for their number of choices: constant
    // while demand is stable.
    double m_normalizedDrift = 0;
    // Number of rounds that contributed to `m_normalizedDrift`.
    std::uint32_t m_learntRounds = 0;
    bool m_isKnown = false;
};

} // namespace coltsfootbend
