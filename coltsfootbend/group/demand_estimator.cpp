#include "coltsfootbend/group/demand_estimator.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace coltsfootbend {

namespace {

// Of the newest round in the estimate, while it differs by no more than rounds usually do.
constexpr double newestShare = 0.35;
// Of a round that shows a shift: what was estimated before is of little use then.
constexpr double shiftedShare = 0.9;
// Rounds of 0.3 s differ by 0.03 to 0.13 without a shift on groups of 12 and 63 ranks, by 0.2 to 0.5 with one.
constexpr double shiftDrift = 0.16;
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
    m_drift = m_isKnown ? distance(m_round, m_demand) : 1;
    const double weight = m_drift > shiftDrift ? shiftedShare : newestShare;
    for (std::size_t set = 0; set < m_round.size(); ++set) {
        for (std::size_t expert = 0; expert < experts; ++expert) {
            auto& estimate = m_demand[set][expert];
            estimate = m_isKnown ? estimate + weight * (m_round[set][expert] - estimate) : m_round[set][expert];
        }
        std::fill(m_round[set].begin(), m_round[set].end(), 0.0);
    }
    m_counted = 0;
    m_isKnown = true;
}

} // namespace coltsfootbend
