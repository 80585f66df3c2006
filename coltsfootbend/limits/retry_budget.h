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

    // Changes the options and keeps what was spent: as many retries as before are missing from the reserve. With a
    // smaller reserve their number may exceed the reserve, and none is available until that is made up for.
    void setOptions(const options& changed, time_point now)
    {
        refill(now);
        m_refillPerSecond = std::max(m_tokens < 0 ? m_refillPerSecond : 0, m_options.reservePerSecond);
        m_tokens = std::min(m_tokens + changed.reserve - m_options.reserve, changed.maxRetries);
        m_options = changed;
    }

    // Returns whether retries are missing from the reserve.
    bool isAnySpent(time_point now)
    {
        refill(now);
        return m_tokens < m_options.reserve;
    }

    // Returns whether `takeRetry` would succeed.
    bool hasRetry(time_point now)
    {
        refill(now);
        return m_tokens >= 1;
    }

    // Gives back a retry that was taken and not used.
    void returnRetry() { m_tokens = std::min(m_options.maxRetries, m_tokens + 1); }

    // Takes one retry from the budget. Returns false if there is none.
    bool takeRetry(time_point now) override
    {
        refill(now);
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

    // Returns the number of retries that are available; negative if more are spent than the reserve has.
    double tokens() const { return m_tokens; }

private:
    // Adds what has been refilled since the last call. The first call starts the refilling.
    void refill(time_point now)
    {
        if (m_refilledAt != time_point {} && m_tokens < m_options.reserve) {
            double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
            // What exceeds the reserve was spent under a larger one, and is made up for at that one's rate.
            if (m_tokens < 0) {
                const double rate = std::max(m_refillPerSecond, m_options.reservePerSecond);
                const double secondsBelowZero = std::min(seconds, -m_tokens / rate);
                m_tokens += secondsBelowZero * rate;
                seconds -= secondsBelowZero;
            }
            m_tokens = std::min(m_options.reserve, m_tokens + seconds * m_options.reservePerSecond);
        }
        m_refilledAt = now;
    }

    options m_options;
    double m_tokens;
    // Highest rate at which the budget was refilled before the number of tokens fell below zero.
    double m_refillPerSecond = 0;
    time_point m_refilledAt {};
};

} // namespace coltsfootbend
