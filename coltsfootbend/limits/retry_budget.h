#pragma once

// Limits retries to a share of recent successes, so that retries do not overload a failing backend server. Each entry
// VM has one budget for each deployment. Does not cover the retries of callers, which an entry VM cannot distinguish
// from new requests.
//
//     retry_budget budget({ .retriesPerSuccess = 0.1, .reserve = 10, .maxRetries = 100 });
//     budget.recordSuccess();
//     if (budget.takeRetry(now))
//         tryAnotherWorker();

#include "coltsfootbend/request/request_flow.h"

#include <algorithm>

namespace coltsfootbend {

// A token bucket that successes fill and retries drain.
class retry_budget : public retry_permit {
public:
    struct options {
        // Number of retries that one success adds.
        double retriesPerSuccess = 0.1;
        // Number of retries available initially, and up to which the budget refills with time.
        double reserve = 10;
        // Maximum number of retries that successes accumulate.
        double maxRetries = 100;
        // Rate at which the budget refills up to the reserve without successes, in retries a second.
        double reservePerSecond = 1;
    };

    explicit retry_budget(const options& options)
        : m_options(options)
        , m_tokens(options.reserve)
    {
    }

    void recordSuccess() { m_tokens = std::min(m_options.maxRetries, m_tokens + m_options.retriesPerSuccess); }

    // Returns whether `takeRetry` would succeed.
    bool hasRetry(time_point now)
    {
        refill(now);
        return m_tokens >= 1;
    }

    // Takes one retry from the budget. Returns false if there is none.
    bool takeRetry(time_point now) override
    {
        refill(now);
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

    // Returns the number of retries that are available.
    double tokens() const { return m_tokens; }

private:
    void refill(time_point now)
    {
        if (m_refilledAt != time_point {} && m_tokens < m_options.reserve) {
            const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
            m_tokens = std::min(m_options.reserve, m_tokens + seconds * m_options.reservePerSecond);
        }
        m_refilledAt = now;
    }

    const options m_options;
    double m_tokens;
    time_point m_refilledAt {};
};

} // namespace coltsfootbend
