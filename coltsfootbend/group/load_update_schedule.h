#pragma once

// Decides how often a rank agent sends its engine's load to gateways. Each gateway receives updates from every engine,
// and with thousands of engines, updates at the usual rate would take most of its processor. Beyond a limit of engines,
// the interval of each engine grows with their number, so that the rate of updates per gateway stays about constant.
// Changes of the group are sent at once. Takes the time as an argument and sends nothing itself.
//
//     if (schedule.isDue(engines, hasChanged, now))
//         sendLoadUpdate(report);

#include "coltsfootbend/base/time.h"

#include <algorithm>
#include <cstddef>

namespace coltsfootbend {

class load_update_schedule {
public:
    struct options {
        // Interval between updates up to `engines`.
        duration usualInterval = std::chrono::milliseconds(100);
        // Longest interval between updates. Gateways use a report for 1.5 times as long.
        duration longestInterval = std::chrono::milliseconds(1000);
        // Number of engines up to which updates are sent at the usual interval.
        std::size_t engines = 256;
    };

    load_update_schedule()
        : load_update_schedule(options {})
    {
    }
    explicit load_update_schedule(const options& options)
        : m_options(options)
    {
    }

    // Returns true if an update is due or urgent; the next interval then starts at `now`. `engines` is the number of
    // engines that send to the same gateways, this one included; an overestimate only lengthens the interval.
    bool isDue(std::size_t engines, bool isUrgent, time_point now)
    {
        if (now < m_nextAt && !isUrgent)
            return false;
        m_nextAt = now + intervalFor(engines);
        return true;
    }

    // Returns the interval between updates of one engine; zero if each call of `isDue` may send.
    duration intervalFor(std::size_t engines) const
    {
        const auto proportional = m_options.usualInterval * static_cast<duration::rep>(engines)
            / static_cast<duration::rep>(m_options.engines);
        // The caller's cycle is as long as the usual interval and always slightly late, so waiting for the usual
        // interval as well would skip cycles.
        return engines <= m_options.engines ? duration::zero() : std::min(proportional, m_options.longestInterval);
    }

private:
    const options m_options;
    time_point m_nextAt {};
};

} // namespace coltsfootbend
