#pragma once

// Lets one fiber wait for a notification from another fiber or for a deadline. `mailbox` adds a queue of values. One
// waiter at a time. Not thread-safe.
//
//     mailbox<flow_event> events(runtime);
//     events.push(event);
//     while (auto next = events.popUntil(deadline)) ...

#include "coltsfootbend/net/fiber_runtime.h"
#include "coltsfootbend/net/use_fiber.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <optional>
#include <utility>

namespace coltsfootbend {

// A notification that one fiber waits for. Notifications are not counted.
class fiber_signal {
public:
    explicit fiber_signal(fiber_runtime& runtime)
        : m_timer(runtime.io())
    {
    }

    // Wakes the waiter. Without a waiter, the next wait returns immediately.
    void notify()
    {
        m_notified = true;
        m_timer.cancel();
    }

    // Returns true when notified, false at `deadline`.
    bool waitUntil(time_point deadline)
    {
        if (!m_notified) {
            m_timer.expires_at(deadline);
            (void)m_timer.async_wait(useFiber);
        }
        return std::exchange(m_notified, false);
    }

private:
    boost::asio::steady_timer m_timer;
    bool m_notified = false;
};

// An unbounded queue of values for one receiving fiber.
template <typename T> class mailbox {
public:
    explicit mailbox(fiber_runtime& runtime)
        : m_signal(runtime)
    {
    }

    void push(T value)
    {
        m_values.push_back(std::move(value));
        m_signal.notify();
    }

    // Returns the next value, or none at `deadline`.
    std::optional<T> popUntil(time_point deadline)
    {
        while (m_values.empty()) {
            if (!m_signal.waitUntil(deadline) && m_values.empty())
                return std::nullopt;
        }
        auto value = std::move(m_values.front());
        m_values.pop_front();
        return value;
    }

    std::size_t size() const { return m_values.size(); }

private:
    fiber_signal m_signal;
    std::deque<T> m_values;
};

} // namespace coltsfootbend
