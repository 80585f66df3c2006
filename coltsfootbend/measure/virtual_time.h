#pragma once

// Provides a manually advanced clock with a queue of scheduled functions. Tests and measurements use it to simulate
// hours quickly and to make every run deterministic.
//
//     virtual_time time;
//     time.after(5ms, [&] { ... });
//     time.runUntil(time.now() + 1s);

#include "coltsfootbend/base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace coltsfootbend {

// A simulated clock and its queue. Functions that are due at the same time run in the order of scheduling.
class virtual_time {
public:
    time_point now() const { return m_now; }

    // Schedules `work` at `when`, or now if `when` is past.
    void at(time_point when, std::function<void()> work)
    {
        m_queue.emplace(std::pair { std::max(when, m_now), ++m_order }, std::move(work));
    }
    // Schedules `work` after `delay`.
    void after(duration delay, std::function<void()> work) { at(m_now + delay, std::move(work)); }

    // Runs the functions that are due up to `end`, in order, and then sets the clock to `end`.
    void runUntil(time_point end)
    {
        while (!m_queue.empty() && m_queue.begin()->first.first <= end) {
            auto work = std::move(m_queue.begin()->second);
            m_now = m_queue.begin()->first.first;
            m_queue.erase(m_queue.begin());
            work();
        }
        m_now = end;
    }

private:
    time_point m_now = time_point {} + std::chrono::hours(1);
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>> m_queue;
    std::uint64_t m_order = 0;
};

} // namespace coltsfootbend
