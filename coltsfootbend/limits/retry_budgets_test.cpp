#include "coltsfootbend/limits/retry_budgets.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

TEST(RetryBudgets, DeploymentsHaveSeparateBudgets)
{
    retry_budgets budgets({ .retriesPerSuccess = 0, .reserve = 1, .maxRetries = 1, .reservePerSecond = 0 });
    const auto now = time_point {} + 1h;
    EXPECT_TRUE(budgets.budgetOf(deployment_id("a"))->takeRetry(now));
    EXPECT_FALSE(budgets.budgetOf(deployment_id("a"))->takeRetry(now));
    EXPECT_TRUE(budgets.budgetOf(deployment_id("b"))->takeRetry(now));
}

TEST(RetryBudgets, ARequestKeepsItsBudgetWhenOptionsChange)
{
    retry_budgets budgets({ .retriesPerSuccess = 0, .reserve = 1, .maxRetries = 1, .reservePerSecond = 0 });
    const auto now = time_point {} + 1h;
    const auto kept = budgets.budgetOf(deployment_id("a"));
    budgets.setOptions({ .retriesPerSuccess = 0, .reserve = 2, .maxRetries = 2, .reservePerSecond = 0 }, now);
    EXPECT_TRUE(kept->takeRetry(now));
    EXPECT_GE(kept->tokens(), 0);
}

} // namespace
} // namespace coltsfootbend
