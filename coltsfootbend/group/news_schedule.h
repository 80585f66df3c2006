#pragma once

// How often a rank agent tells gateways of its engine's load. Each gateway hears every engine, so that with thousands
// of engines news at the usual rate would take most of its processor: beyond some hundreds each engine is heard less
// often, and a gateway as often as before. What changes the group is told at once. Takes the time and decides.
//
//     if (schedule.isDue(engines, hasChanged, now))
//         tellLoad(report);

#include "coltsfootbend/base/time.h"

#include <algorithm>
#include <cstddef>

namespace coltsfootbend {

class news_schedule {
public:
    struct options {
        duration usual = std::chrono::milliseconds(100);
        // Gateways believe reports for half as long again.
        duration longest = std::chrono::milliseconds(1000);
        // That are heard at the usual rate.
        std::size_t engines = 256;
    };

    news_schedule()
        : news_schedule(options {})
    {
    }
    explicit news_schedule(const options& options)
        : m_options(options)
    {
    }

    // Whether to tell now; if so, the next time is counted from here. `engines`: that gateways hear,
    // this one included; a few too many do no harm.
    bool isDue(std::size_t engines, bool isUrgent, time_point now)
    {
        if (now < m_nextAt && !isUrgent)
            return false;
        m_nextAt = now + intervalFor(engines);
        return true;
    }

    // How often gateways hear an engine that is one of so many.
    duration intervalFor(std::size_t engines) const
    {
        const auto stretched
            = m_options.usual * static_cast<duration::rep>(engines) / static_cast<duration::rep>(m_options.engines);
        // The cycle in which this is asked is as long as the usual interval, and a little late each time.
        return engines <= m_options.engines ? duration::zero() : std::min(stretched, m_options.longest);
    }

private:
    const options m_options;
    time_point m_nextAt {};
};

} // namespace coltsfootbend
