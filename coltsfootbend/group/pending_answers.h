#pragma once

// Lets one fiber wait for the answers of several other fibers, and send heartbeats meanwhile. Must outlive the fibers
// that answer, which may do so after the deadline: share it with them.
//
//     auto pending = std::make_shared<pending_answers>(runtime, branches.size());
//     runtime.spawn([pending] { ...; pending->onAnswered(); });
//     pending->wait(deadline, { .interval = 400ms, .send = sendHeartbeat });

#include "coltsfootbend/net/fiber_signal.h"

#include <algorithm>
#include <cstddef>
#include <functional>

namespace coltsfootbend {

// Heartbeat that is sent periodically while a call waits for answers.
struct rank_heartbeat {
    duration interval {};
    std::function<void()> send;
};

// Counts the answers that have not arrived yet.
class pending_answers {
public:
    pending_answers(fiber_runtime& runtime, std::size_t count)
        : m_count(count)
        , m_answered(runtime)
    {
    }

    // Records one answer, or the failure to get it.
    void onAnswered()
    {
        --m_count;
        m_answered.notify();
    }

    // Blocks the calling fiber until all answers have arrived, but not beyond `deadline`.
    void wait(time_point deadline, const rank_heartbeat& heartbeat)
    {
        auto nextHeartbeatAt = heartbeat.send ? clock_type::now() + heartbeat.interval : time_point::max();
        while (m_count > 0 && clock_type::now() < deadline) {
            (void)m_answered.waitUntil(std::min(deadline, nextHeartbeatAt));
            if (clock_type::now() >= nextHeartbeatAt) {
                heartbeat.send();
                nextHeartbeatAt = clock_type::now() + heartbeat.interval;
            }
        }
    }

private:
    std::size_t m_count;
    fiber_signal m_answered;
};

} // namespace coltsfootbend
