#pragma once

// Bounds retries to a share of recent successes, so that a failing backend server is not buried under its own retries.
// One per entry VM and deployment. Not for the caller's own retries, which the entry VM cannot tell from new requests.
//
//     retry_budget budget({ .retriesPerSuccess = 0.1, .reserve = 10, .most = 100 });
//     budget.recordSuccess();
//     if (budget.takeRetry(now))
//         tryAnotherWorker();

#include "coltsfootbend/request/request_flow.h"

#include <algorithm>

namespace coltsfootbend {

class retry_budget : public retry_permit {
public:
    struct options {
        double retriesPerSuccess = 0.1;
        // Retries at hand before anything has succeeded, and the fewest that a quiet period builds up to.
        double reserve = 10;
        double most = 100;
        // How fast the reserve comes back without successes, in retries a second.
        double reservePerSecond = 1;
    };

    explicit retry_budget(const options& options)
        : m_options(options)
        , m_tokens(options.reserve)
    {
    }

    void recordSuccess() { m_tokens = std::min(m_options.most, m_tokens + m_options.retriesPerSuccess); }

    bool takeRetry(time_point now) override
    {
        if (m_refilledAt != time_point {} && m_tokens < m_options.reserve) {
            const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
            m_tokens = std::min(m_options.reserve, m_tokens + seconds * m_options.reservePerSecond);
        }
        m_refilledAt = now;
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

    double tokens() const { return m_tokens; }

private:
    const options m_options;
    double m_tokens;
    time_point m_refilledAt {};
};

} // namespace coltsfootbend
