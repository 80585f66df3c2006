#pragma once

// Time types. State stores deadlines (`time_point`); durations appear only in settings and as arguments that are
// converted to a deadline immediately. Decision code never reads a clock: its caller passes the current time.
//
//     time_point deadline = now + std::chrono::seconds(2);
//     if (now >= deadline)
//         giveUp();

#include <algorithm>
#include <chrono>

namespace coltsfootbend {

using clock_type = std::chrono::steady_clock;
using duration = clock_type::duration;
using time_point = clock_type::time_point;

// Returns the time left until `deadline` in whole milliseconds, rounded up; 0 once it has passed.
inline std::chrono::milliseconds remaining(time_point now, time_point deadline)
{
    return std::chrono::ceil<std::chrono::milliseconds>(std::max(deadline - now, duration::zero()));
}

// Returns `value` in milliseconds, including the fraction.
inline double toMilliseconds(duration value) { return std::chrono::duration<double, std::milli>(value).count(); }

// Converts `milliseconds` to a duration.
inline duration fromMilliseconds(double milliseconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

} // namespace coltsfootbend
