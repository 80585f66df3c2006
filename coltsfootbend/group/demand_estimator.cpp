#include "coltsfootbend/group/demand_estimator.h"

#include <algorithm>
#include <numeric>

namespace coltsfootbend {

namespace {

// Of the newest round in the estimate.
constexpr double newestShare = 0.5;
// With fewer choices for each expert chance decides which one looks busy.
constexpr double leastChoicesPerExpert = 20;

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
    for (std::size_t set = 0; set < m_round.size(); ++set) {
        const double sum = std::accumulate(m_round[set].begin(), m_round[set].end(), 0.0);
        for (std::size_t expert = 0; expert < experts && sum > 0; ++expert) {
            const double share = m_round[set][expert] / sum;
            auto& estimate = m_demand[set][expert];
            estimate = m_isKnown ? estimate + newestShare * (share - estimate) : share;
        }
        std::fill(m_round[set].begin(), m_round[set].end(), 0.0);
    }
    m_counted = 0;
    m_isKnown = true;
}

} // namespace coltsfootbend
