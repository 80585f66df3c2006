#include "coltsfootbend/group/rebalancer.h"

#include <algorithm>
#include <utility>

namespace coltsfootbend {

rebalancer::rebalancer(placement current, const options& options)
    : m_options(options)
    , m_current(std::move(current))
{
}

void rebalancer::observe(const expert_load& load)
{
    if (m_estimate.empty())
        m_estimate = load;
    for (std::size_t i = 0; i < m_estimate.size(); ++i)
        m_estimate[i] += m_options.smoothing * (load[i] - m_estimate[i]);
}

bool rebalancer::isProtected(time_point now) const
{
    return std::any_of(m_protectedWindows.begin(), m_protectedWindows.end(),
        [now](const protected_window& window) { return now >= window.start && now < window.end; });
}

std::optional<rebalance_plan> rebalancer::planIfDue(time_point now)
{
    if (m_estimate.empty() || now < m_nextPlanAt)
        return std::nullopt;
    m_nextPlanAt = now + m_options.interval;
    if (isProtected(now) && expectedSkew() <= m_options.protectedSkewLimit)
        return std::nullopt;
    auto plan = planRebalance(m_current, m_estimate, { m_options.gainPerMove, m_options.maxMoves });
    if (plan.moves == 0)
        return std::nullopt;
    return plan;
}

} // namespace coltsfootbend
