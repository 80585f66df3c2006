#include "coltsfootbend/limits/retry_budgets.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <string>
#include <vector>

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

TEST(RetryBudgets, NewOptionsKeepWhatWasSpent)
{
    const retry_budget::options options {
        .retriesPerSuccess = 0, .reserve = 3, .maxRetries = 3, .reservePerSecond = 0
    };
    retry_budgets budgets(options);
    const auto now = time_point {} + 1h;
    const deployment_id service("a");
    for (int i = 0; i < 3; ++i)
        EXPECT_TRUE(budgets.budgetOf(service)->takeRetry(now));
    budgets.setOptions(options, now);
    EXPECT_FALSE(budgets.budgetOf(service)->takeRetry(now));
}

TEST(RetryBudgets, ALowerReserveAndTheFormerOneAgainChangeNothing)
{
    const retry_budget::options former {
        .retriesPerSuccess = 0, .reserve = 10, .maxRetries = 10, .reservePerSecond = 1
    };
    retry_budgets budgets(former);
    const auto now = time_point {} + 1h;
    const deployment_id service("a");
    for (int i = 0; i < 6; ++i)
        EXPECT_TRUE(budgets.budgetOf(service)->takeRetry(now));
    budgets.setOptions({ .retriesPerSuccess = 0, .reserve = 2, .maxRetries = 2, .reservePerSecond = 0.2 }, now);
    EXPECT_FALSE(budgets.budgetOf(service)->takeRetry(now));
    budgets.setOptions(former, now);
    EXPECT_DOUBLE_EQ(budgets.budgetOf(service)->tokens(), 4);
}

// Checks the bound for a budget as gateways configure it: within the time in which a reserve refills, a gateway may
// spend a full reserve, what refills, and what successes add.
TEST(RetryBudgets, RepeatsStayWithinRatioAndReserveInEachWindowWhateverOptionsChange)
{
    constexpr double windowSeconds = 10;
    const auto optionsOf = [](int ratioPercent, int reserve) {
        return retry_budget::options { .retriesPerSuccess = ratioPercent / 100.0,
            .reserve = static_cast<double>(reserve),
            .maxRetries = static_cast<double>(reserve),
            .reservePerSecond = reserve / windowSeconds };
    };
    EXPECT_TRUE(rc::check([&] {
        const auto ratioPercent = *rc::gen::inRange(0, 40);
        const auto maxReserve = *rc::gen::inRange(1, 20);
        retry_budgets budgets(optionsOf(ratioPercent, maxReserve));
        const deployment_id service("a");
        auto now = time_point {} + 1h;
        std::vector<time_point> repeats;
        std::vector<time_point> successes;
        const auto steps = *rc::gen::inRange(50, 400);
        for (int i = 0; i < steps; ++i) {
            now += std::chrono::milliseconds(*rc::gen::weightedElement<int>({ { 6, 0 }, { 3, 100 }, { 1, 2500 } }));
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                budgets.setOptions(optionsOf(ratioPercent, *rc::gen::inRange(1, maxReserve + 1)), now);
                break;
            case 1:
                budgets.budgetOf(service)->recordSuccess();
                successes.push_back(now);
                break;
            default:
                if (budgets.budgetOf(service)->takeRetry(now))
                    repeats.push_back(now);
            }
        }
        for (const auto from : repeats) {
            const auto until = from + std::chrono::seconds(static_cast<int>(windowSeconds));
            const auto countIn = [&](const std::vector<time_point>& all) {
                return std::count_if(all.begin(), all.end(), [&](time_point at) { return at >= from && at < until; });
            };
            const double allowed = 2 * maxReserve + ratioPercent / 100.0 * static_cast<double>(countIn(successes));
            RC_ASSERT(static_cast<double>(countIn(repeats)) <= allowed + 1e-6);
        }
    }));
}

TEST(RetryBudgets, ADroppedDeploymentThatReturnsHasItsFormerBudget)
{
    const retry_budget::options options {
        .retriesPerSuccess = 0, .reserve = 3, .maxRetries = 3, .reservePerSecond = 0.1
    };
    retry_budgets budgets(options);
    const auto now = time_point {} + 1h;
    const deployment_id service("a");
    for (int i = 0; i < 3; ++i)
        EXPECT_TRUE(budgets.budgetOf(service)->takeRetry(now));
    // Any number of configurations without the deployment.
    for (int i = 0; i < 5; ++i)
        budgets.setOptions(options, now + i * 1s);
    EXPECT_FALSE(budgets.budgetOf(service)->takeRetry(now + 5s));
}

TEST(RetryBudgets, BudgetsThatAreUnusedAndUnspentAreNotKept)
{
    const retry_budget::options options {
        .retriesPerSuccess = 0, .reserve = 1, .maxRetries = 1, .reservePerSecond = 1
    };
    retry_budgets budgets(options);
    auto now = time_point {} + 1h;
    std::shared_ptr<retry_budget> used;
    for (int i = 0; i < 1000; ++i) {
        const auto budget = budgets.budgetOf(deployment_id(std::to_string(i)));
        EXPECT_TRUE(budget->takeRetry(now));
        if (i == 0)
            used = budget;
        budgets.setOptions(options, now);
        now += 100ms;
        EXPECT_LE(budgets.size(), 13U);
    }
    EXPECT_EQ(budgets.budgetOf(deployment_id("0")), used) << "a request still uses it";
}

} // namespace
} // namespace coltsfootbend
