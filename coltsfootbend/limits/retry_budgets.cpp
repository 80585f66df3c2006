#include "coltsfootbend/limits/retry_budgets.h"

namespace coltsfootbend {

void retry_budgets::setOptions(const retry_budget::options& options, time_point now)
{
    m_options = options;
    std::erase_if(
        m_budgets, [&](const auto& entry) { return entry.second.use_count() == 1 && !entry.second->isAnySpent(now); });
    for (const auto& [deployment, budget] : m_budgets)
        budget->setOptions(options, now);
}

std::shared_ptr<retry_budget> retry_budgets::budgetOf(const deployment_id& deployment)
{
    auto& budget = m_budgets[deployment];
    if (!budget)
        budget = std::make_shared<retry_budget>(m_options);
    return budget;
}

} // namespace coltsfootbend
