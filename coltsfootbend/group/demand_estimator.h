#pragma once

// The demand for each expert, from counts that come in rounds. The prompts of one round are few, so rounds are
// averaged; but demand also shifts at once, and a round that differs from the estimate by more than chance explains
// takes its place. How much chance explains is learnt from the rounds themselves. Deterministic.
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

    // How far the newest round was from the estimate: the mean share of choices that went elsewhere, 0 to 1.
    double drift() const { return m_drift; }
    // How far chance alone would put it, as learnt so far; 0 until known.
    double expectedDrift() const { return m_expectedDrift; }

    bool isKnown() const { return m_isKnown; }
    const group_demand& demand() const { return m_demand; }

private:
    void takeRound();
    bool isShift();

    group_demand m_round;
    group_demand m_demand;
    double m_counted = 0;
    // Choices that the estimate rests on; old ones count less and less.
    double m_weight = 0;
    double m_drift = 0;
    double m_expectedDrift = 0;
    // The drift of a round times the root of the choices it rests on: constant while demand stays the same.
    double m_noise = 0;
    std::uint32_t m_noiseRounds = 0;
    bool m_isKnown = false;
};

} // namespace coltsfootbend
