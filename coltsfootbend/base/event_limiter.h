#pragma once

// Bounds how many lines of one kind are logged, and counts what was left out, so that a flood of one event neither
// fills the log nor hides the others. Deterministic.
//
//     event_limiter limiter({ .perSecond = 100, .burst = 200 });
//     if (const auto granted = limiter.take(number, now)) log(line, granted->droppedBefore);

#include "coltsfootbend/base/time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>

namespace coltsfootbend {

class event_limiter {
public:
    struct options {
        double perSecond = 100;
        double burst = 200;
    };
    struct grant {
        std::uint64_t droppedBefore = 0; // Lines of this kind since the last one that was written.
    };

    explicit event_limiter(const options& options)
        : m_options(options)
    {
    }

    // Returns none when this line is to be left out. O(log kinds).
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
