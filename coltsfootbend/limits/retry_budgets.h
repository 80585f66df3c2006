#pragma once

// The retry budgets of all deployments that one gateway sends requests to. A request keeps the budget that it got at
// its admission until it ends, so it may use that budget after its deployment has left the configuration. What was
// spent remains spent when options change, and when a deployment leaves the configuration and returns.
//
//     budgets.setOptions({ .retriesPerSuccess = 0.1, .reserve = 10, .maxRetries = 10 }, now);
//     const auto budget = budgets.budgetOf(deployment);
//     if (budget->takeRetry(now))
//         tryAnotherServer();

#include "coltsfootbend/base/id.h"
#include "coltsfootbend/limits/retry_budget.h"

#include <cstddef>
#include <map>
#include <memory>

namespace coltsfootbend {

// One budget for each deployment, all with the same options. Budgets are created on first use.
class retry_budgets {
public:
    explicit retry_budgets(const retry_budget::options& options = {})
        : m_options(options)
    {
    }

    // Changes the options of all budgets. Removes the budgets that no request uses and of which nothing is spent, which
    // are the same as new ones. O(budgets).
    void setOptions(const retry_budget::options&, time_point now);

    // Returns the budget of a deployment, which may be one that the configuration does not contain.
    std::shared_ptr<retry_budget> budgetOf(const deployment_id&);

    // Returns the number of budgets that are kept.
    std::size_t size() const { return m_budgets.size(); }

private:
    retry_budget::options m_options;
    std::map<deployment_id, std::shared_ptr<retry_budget>> m_budgets;
};

} // namespace coltsfootbend
