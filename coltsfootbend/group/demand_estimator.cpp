#include "coltsfootbend/group/demand_estimator.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace coltsfootbend {

namespace {

// Maximum number of rounds of the newest size that the estimate represents, so that it also follows slow changes of
// demand.
constexpr double mostRounds = 6;
// Weight that the estimate from before a shift keeps, relative to the newest round: it is less accurate then, but not
// useless.
constexpr double shiftedShare = 0.1;
// Ratio of a round's drift to the expected drift above which the round shows a shift.
constexpr double shiftFactor = 1.5;
// Drift limit used until the expected drift is learnt; lies between the typical drift of rounds with and without a
// shift.
constexpr double assumedShiftDrift = 0.16;
// Number of rounds from which the expected drift is learnt.
constexpr std::uint32_t roundsToLearn = 4;
// Minimum weight of the newest round in the expected drift.
constexpr double noiseSmoothing = 0.15;
// Minimum number of choices in a round for each expert; with fewer, random variation determines which expert appears
// busy.
constexpr double leastChoicesPerExpert = 20;

// Returns the mean over the sets of the share that differs between the two distributions (total variation distance).
double distance(const group_demand& left, const group_demand& right)
{
    double sum = 0;
    for (std::size_t set = 0; set < left.size(); ++set) {
        for (std::size_t expert = 0; expert < left[set].size(); ++expert)
            sum += std::abs(left[set][expert] - right[set][expert]) / 2;
    }
    return sum / static_cast<double>(left.size());
}

} // namespace

void demand_estimator::add(const std::vector<std::uint32_t>& counts)
{
    const std::size_t experts = m_round.empty() ? 0 : m_round.front().size();
    if (experts == 0 || counts.size() != m_round.size() * experts)
        return;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        m_round[i / experts][i % experts] += counts[i];
        m_counted += counts[i];
    }
}

void demand_estimator::endRound()
{
    const std::size_t experts = m_round.empty() ? 0 : m_round.front().size();
    if (m_counted < leastChoicesPerExpert * static_cast<double>(experts * m_round.size()))
        return;
    for (auto& set : m_round) {
        const double sum = std::accumulate(set.begin(), set.end(), 0.0);
        for (auto& count : set)
            count = sum > 0 ? count / sum : 1.0 / static_cast<double>(experts);
    }
    takeRound();
    for (auto& set : m_round)
        std::fill(set.begin(), set.end(), 0.0);
    m_counted = 0;
}

void demand_estimator::takeRound()
{
    m_drift = m_isKnown ? distance(m_round, m_demand) : 1;
    if (!m_isKnown) {
        m_demand = m_round;
        m_weight = m_counted;
        m_isKnown = true;
        return;
    }
    m_weight = isShift() ? shiftedShare * m_counted : std::min(m_weight, (mostRounds - 1) * m_counted);
    const double newestShare = m_counted / (m_counted + m_weight);
    for (std::size_t set = 0; set < m_round.size(); ++set) {
        for (std::size_t expert = 0; expert < m_round[set].size(); ++expert)
            m_demand[set][expert] += newestShare * (m_round[set][expert] - m_demand[set][expert]);
    }
    m_weight += m_counted;
}

// The drift of a shift is capped at the limit before it is learnt, so that a series of shifts raises the expected drift
// only slowly and a single one hardly.
bool demand_estimator::isShift()
{
    const double spread = std::sqrt(1 / m_counted + 1 / m_weight);
    m_expectedDrift = m_noise * spread;
    const double limit = m_noiseRounds < roundsToLearn ? assumedShiftDrift : shiftFactor * m_expectedDrift;
    const bool shifted = m_drift > limit;
    const double sample = std::min(m_drift, limit) / spread;
    ++m_noiseRounds;
    const double weight = std::max(noiseSmoothing, 1.0 / m_noiseRounds);
    m_noise += weight * (sample - m_noise);
    return shifted;
}

} // namespace coltsfootbend
