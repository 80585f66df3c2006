#pragma once

// Measures the rate at which requests of each priority arrive at a gateway. Deterministic. O(priorities) for each call.
//
//     arrival_rates rates;
//     rates.record(priority, now);
//     const double perSecond = rates.moreUrgentThan(priority, now);

#include "coltsfootbend/base/time.h"

#include <chrono>
#include <cmath>
#include <cstdint>
#include <map>

namespace coltsfootbend {

class arrival_rates {
public:
    void record(std::uint32_t priority, time_point now)
    {
        auto& rate = m_rates[priority];
        rate = { .perSecond = rate.at(now) + 1 / timeConstantSeconds, .recordedAt = now };
    }

    // Returns the part of all arrivals that has this priority; 0 without arrivals.
    double shareOf(std::uint32_t priority, time_point now) const
    {
        double all = 0;
        for (const auto& [other, rate] : m_rates)
            all += rate.at(now);
        const auto own = m_rates.find(priority);
        return own == m_rates.end() || all <= 0 ? 0 : own->second.at(now) / all;
    }

    // Returns the rate of all arrivals that are more urgent than `priority`.
    double moreUrgentThan(std::uint32_t priority, time_point now) const
    {
        double sum = 0;
        for (const auto& [other, rate] : m_rates) {
            if (other < priority)
                sum += rate.at(now);
        }
        return sum;
    }

private:
    // Long enough that single requests of a gateway with few callers do not dominate, short enough to follow a burst.
    static constexpr double timeConstantSeconds = 1;

    struct decaying_rate {
        double perSecond = 0;
        time_point recordedAt {};

        double at(time_point now) const
        {
            const double age = std::chrono::duration<double>(now - recordedAt).count();
            return perSecond * std::exp(-age / timeConstantSeconds);
        }
    };
    std::map<std::uint32_t, decaying_rate> m_rates;
};

} // namespace coltsfootbend
