#include "coltsfootbend/group/demand_estimator.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace coltsfootbend {

namespace {

// The estimate rests on no more choices than this many rounds like the newest have: demand also drifts slowly.
constexpr double mostRounds = 6;
// Of what was estimated before a shift: of little use then, but not of none.
constexpr double shiftedShare = 0.1;
// A round this many times as far away as chance usually puts it shows a shift.
constexpr double shiftFactor = 1.5;
// Until enough rounds were seen: between what rounds differ by with a shift and without one.
constexpr double assumedShiftDrift = 0.16;
constexpr std::uint32_t roundsToLearn = 4;
constexpr double noiseSmoothing = 0.15;
// With fewer choices for each expert chance decides which one looks busy.
constexpr double leastChoicesPerExpert = 20;

// The mean over the sets of the share that would have to move to turn one into the other.
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

// Also learns from the round: a shift counts as the drift that would just not have shown one, so that a series of
// shifts raises the expectation only slowly and a single one hardly.
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
