#include "coltsfootbend/group/demand_estimator.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace coltsfootbend {

namespace {

// Maximum number of rounds of the newest size that the estimate represents, so that it also follows slow changes of
// demand.
constexpr double maxRounds = 6;
// Weight that the estimate from before a shift keeps, relative to the newest round: it is less accurate then, but not
// useless.
constexpr double weightAfterShift = 0.1;
// Ratio of a round's drift to the expected drift above which the round shows a shift.
constexpr double shiftFactor = 1.5;
// Drift limit used until the expected drift is learnt; lies between the typical drift of rounds with and without a
// shift.
constexpr double initialShiftLimit = 0.16;
// Number of rounds from which the expected drift is learnt.
constexpr std::uint32_t roundsToLearn = 4;
// Minimum weight of the newest round in the expected drift.
constexpr double minLearningWeight = 0.15;
// Minimum number of choices in a round for each expert; with fewer, random variation determines which expert appears
// busy.
constexpr double minChoicesPerExpert = 20;

// Returns the mean over the sets of the share that differs between the two distributions (total variation
// distance).
double meanDistance(const group_demand& left, const group_demand& right)
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
        m_roundChoices += counts[i];
    }
}

void demand_estimator::endRound()
{
    const std::size_t experts = m_round.empty() ? 0 : m_round.front().size();
    if (m_roundChoices < minChoicesPerExpert * static_cast<double>(experts * m_round.size()))
        return;
    for (auto& set : m_round) {
        const double sum = std::accumulate(set.begin(), set.end(), 0.0);
        for (auto& count : set)
            count = sum > 0 ? count / sum : 1.0 / static_cast<double>(experts);
    }
    addRoundToEstimate();
    for (auto& set : m_round)
        std::fill(set.begin(), set.end(), 0.0);
    m_roundChoices = 0;
}

void demand_estimator::addRoundToEstimate()
{
    m_drift = m_isKnown ? meanDistance(m_round, m_demand) : 1;
    if (!m_isKnown) {
        m_demand = m_round;
        m_estimateChoices = m_roundChoices;
        m_isKnown = true;
        return;
    }
    m_estimateChoices
        = isShift() ? weightAfterShift * m_roundChoices : std::min(m_estimateChoices, (maxRounds - 1) * m_roundChoices);
    const double newestShare = m_roundChoices / (m_roundChoices + m_estimateChoices);
    for (std::size_t set = 0; set < m_round.size(); ++set) {
        for (std::size_t expert = 0; expert < m_round[set].size(); ++expert)
            m_demand[set][expert] += newestShare * (m_round[set][expert] - m_demand[set][expert]);
    }
    m_estimateChoices += m_roundChoices;
}

// The drift of a shift is capped at the limit before it is learnt, so that a series of shifts raises the expected drift
// only slowly and a single one hardly.
bool demand_estimator::isShift()
{
    const double spread = std::sqrt(1 / m_roundChoices + 1 / m_estimateChoices);
    m_expectedDrift = m_normalizedDrift * spread;
    const double limit = m_learntRounds < roundsToLearn ? initialShiftLimit : shiftFactor * m_expectedDrift;
    const bool shifted = m_drift > limit;
    const double sample = std::min(m_drift, limit) / spread;
    ++m_learntRounds;
    const double weight = std::max(minLearningWeight, 1.0 / m_learntRounds);
    m_normalizedDrift += weight * (sample - m_normalizedDrift);
    return shifted;
}

} // namespace coltsfootbend
