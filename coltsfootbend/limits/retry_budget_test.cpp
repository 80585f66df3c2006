#include "coltsfootbend/limits/retry_budget.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

TEST(RetryBudget, AllowsAShareOfSuccessesBeyondTheReserve)
{
    retry_budget budget({ .retriesPerSuccess = 0.1, .reserve = 2, .maxRetries = 50, .reservePerSecond = 0 });
    const auto now = time_point {} + 1h;
    for (int i = 0; i < 200; ++i)
        budget.recordSuccess();
    int retries = 0;
    while (budget.takeRetry(now))
        ++retries;
    EXPECT_NEAR(retries, 22, 1);
}

TEST(RetryBudget, RefillsTheReserveWithTime)
{
    retry_budget budget({ .retriesPerSuccess = 0.1, .reserve = 3, .maxRetries = 50, .reservePerSecond = 1 });
    auto now = time_point {} + 1h;
    while (budget.takeRetry(now)) { }
    EXPECT_FALSE(budget.takeRetry(now + 500ms));
    EXPECT_TRUE(budget.takeRetry(now + 2s));
}

} // namespace
} // namespace coltsfootbend
