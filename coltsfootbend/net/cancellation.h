#pragma once

// Lets one fiber cancel an operation that another fiber waits for. The operation registers a callback that ends it.
// Supports one operation at a time. Not thread-safe, and not needed for short operations: those have deadlines.
//
//     cancellation poll;
//     runtime.spawn([&] { answer = client.send(address, request, deadline, &poll); });
//     poll.cancel();

#include <functional>
#include <utility>

namespace coltsfootbend {

// Connects the fiber that cancels an operation with the operation.
class cancellation {
public:
    // Ends the attached operation, which then fails with its own error. An operation that is attached later fails
    // immediately.
    void cancel()
    {
        m_cancelled = true;
        if (const auto end = std::exchange(m_end, nullptr))
            end();
    }

    bool isCancelled() const { return m_cancelled; }

    // Registers the callback that makes the operation fail. Calls it immediately if `cancel` was already called.
    void attach(std::function<void()> end)
    {
        m_end = std::move(end);
        if (m_cancelled)
            cancel();
    }
    void detach() { m_end = nullptr; }

private:
    std::function<void()> m_end;
    bool m_cancelled = false;
};

} // namespace coltsfootbend
