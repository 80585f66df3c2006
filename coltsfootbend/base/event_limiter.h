#pragma once

// Limits the rate of log lines with one token bucket per event kind, and counts the dropped lines, so that a flood of
// one event neither fills the log nor displaces other events. Deterministic: the caller passes the time.
//
//     event_limiter limiter({ .perSecond = 100, .burst = 200 });
//     if (const auto granted = limiter.take(number, now)) log(line, granted->droppedBefore);

#include "coltsfootbend/base/time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>

namespace coltsfootbend {

// Holds the token buckets of all event kinds.
class event_limiter {
public:
    struct options {
        double perSecond = 100; // Lines per second at which each bucket refills.
        double burst = 200; // Capacity of each bucket, in lines.
    };
    struct grant {
        std::uint64_t droppedBefore = 0; // Lines of this kind dropped since the last one that was granted.
    };

    explicit event_limiter(const options& options)
        : m_options(options)
    {
    }

    // Takes one token of `kind`. Returns none when the line must be dropped. O(log kinds).
    std::optional<grant> take(int kind, time_point now)
    {
        auto [found, isNew] = m_kinds.try_emplace(kind, kind_state { m_options.burst, now, 0 });
        auto& state = found->second;
        const double seconds = toMilliseconds(now - state.filledAt) / 1000;
        state.tokens = std::min(m_options.burst, state.tokens + seconds * m_options.perSecond);
        state.filledAt = now;
        if (state.tokens < 1) {
            ++state.dropped;
            return std::nullopt;
        }
        state.tokens -= 1;
        const grant granted { state.dropped };
        state.dropped = 0;
        return granted;
    }

private:
    struct kind_state {
        double tokens = 0;
        time_point filledAt {};
        std::uint64_t dropped = 0;
    };

    const options m_options;
    std::map<int, kind_state> m_kinds;
};

} // namespace coltsfootbend
