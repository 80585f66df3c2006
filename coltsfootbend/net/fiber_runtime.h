#pragma once

// Runs fibers and Asio's I/O together on one thread. Every daemon has one runtime that all its services share, so they
// need no locks. Use `spawn` for work that may block its own fiber. Not for work that blocks the thread, because that
// stalls all other fibers.
//
//     fiber_runtime runtime;
//     runtime.spawn([&] { runtime.sleepUntil(deadline); runtime.stop(); });
//     runtime.run();

#include "coltsfootbend/base/time.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/system/error_code.hpp>
#include <functional>
#include <memory>
#include <tl/expected.hpp>

namespace coltsfootbend {

// The result of an I/O operation: its value or the operating system's error.
template <typename T> using io_result = tl::expected<T, boost::system::error_code>;

// The fiber scheduler and the I/O context of one thread.
class fiber_runtime {
public:
    fiber_runtime();
    ~fiber_runtime();
    fiber_runtime(const fiber_runtime&) = delete;
    fiber_runtime& operator=(const fiber_runtime&) = delete;

    boost::asio::io_context& io() { return m_io; }

    // Schedules a new fiber that runs `work`. `work` must not throw: an exception is logged and ends the process.
    void spawn(std::function<void()> work);

    // Blocks the calling fiber, but not the thread.
    void sleepUntil(time_point);
    void sleepFor(duration length) { sleepUntil(clock_type::now() + length); }

    // Runs until `stop` is called. Must be called on the thread that created the runtime.
    void run();
    void stop();
    // Permits another call of `run` after `stop`.
    void restart() { m_stopped = false; }

    // Returns the number of spawned fibers that have not ended.
    std::size_t fibers() const { return m_fibers; }

private:
    class scheduler;

    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    scheduler* m_scheduler = nullptr; // Owned by Boost.Fiber.
    bool m_stopped = false;
    std::size_t m_fibers = 0;
};

// Runs `work`. Logs an exception that leaves it, and throws it on: it ends the process.
void runLogged(const std::function<void()>& work);

} // namespace coltsfootbend
