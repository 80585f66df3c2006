#pragma once

// Lets one fiber end an operation that another one waits for. The operation says how it is ended; once cancelled, it
// ends at once. One operation at a time. Not for threads, and not for operations that end by themselves soon: those
// have deadlines.
//
//     cancellation poll;
//     runtime.spawn([&] { answer = client.send(address, request, deadline, &poll); });
//     poll.cancel();

#include <functional>
#include <utility>

namespace coltsfootbend {

class cancellation {
public:
    // Ends the operation, which then fails as it says. Without an operation, the next one fails at once.
    void cancel()
    {
        m_cancelled = true;
        if (const auto end = std::exchange(m_end, nullptr))
            end();
    }

    bool isCancelled() const { return m_cancelled; }

    // For the operation: `end` makes it fail. Called at once if it is cancelled already.
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
