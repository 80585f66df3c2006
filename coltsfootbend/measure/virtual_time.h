#pragma once

// A clock that only moves when told, and a queue of what happens when. For tests and measurements, so that hours pass
// in moments and every run is the same.
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

class virtual_time {
public:
    time_point now() const { return m_now; }

    void at(time_point when, std::function<void()> work)
    {
        m_queue.emplace(std::pair { std::max(when, m_now), ++m_order }, std::move(work));
    }
    void after(duration delay, std::function<void()> work) { at(m_now + delay, std::move(work)); }

    // Runs what is due up to `end`, in order, and moves the clock there.
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
