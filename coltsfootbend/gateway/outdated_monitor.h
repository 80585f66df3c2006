#pragma once

// Detects that the configuration in force has not been known to be the latest one for long, and that it is again. Until
// then requests with unknown keys and routes are refused for a moment only, which looks like any refusal in the log.
// Deterministic.
//
//     outdated_monitor monitor;
//     if (!isCurrent)
//         monitor.onRefused();
//     if (const auto change = monitor.check(isCurrent, now)) ...

#include "coltsfootbend/base/time.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace coltsfootbend {

class outdated_monitor {
public:
    // The beginning or the end of a time in which the configuration may have been behind.
    struct change {
        bool isCurrent = false;
        duration unknownFor {}; // Since the configuration was last known to be the latest one.
        std::uint64_t refused = 0; // Requests since then that were refused because of it.
    };

    // Time within which the state of the store is known again after a disturbance, as the platform states it.
    static constexpr std::chrono::milliseconds maxUnknownTime { 3000 };

    // Records that a request was refused that a later configuration may allow.
    void onRefused() { ++m_refused; }
    // Returns whether a change is to be reported: once the state has not been known for `maxUnknownTime`, and once it
    // is known after that.
    std::optional<change> check(bool isCurrent, time_point now)
    {
        if (!isCurrent) {
            if (!m_unknownSince)
                m_unknownSince = now;
            if (m_isReported || now < *m_unknownSince + maxUnknownTime)
                return std::nullopt;
            m_isReported = true;
            return change { .isCurrent = false, .unknownFor = now - *m_unknownSince, .refused = m_refused };
        }
        const auto since = std::exchange(m_unknownSince, std::nullopt);
        const auto refused = std::exchange(m_refused, 0);
        if (!std::exchange(m_isReported, false))
            return std::nullopt;
        return change { .isCurrent = true, .unknownFor = now - *since, .refused = refused };
    }

private:
    std::optional<time_point> m_unknownSince;
    std::uint64_t m_refused = 0;
    bool m_isReported = false;
};

} // namespace coltsfootbend
