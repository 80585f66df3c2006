#pragma once

// Runs fibers and Asio's I/O together on one thread. Every daemon has one; all its services share it, so none of them
// needs locks. Use `spawn` for work that may block its own fiber. Not for work that blocks the thread: nothing else
// runs meanwhile.
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

// What an I/O operation returns: its value or the operating system's error.
template <typename T> using io_result = tl::expected<T, boost::system::error_code>;

class fiber_runtime {
public:
    fiber_runtime();
    ~fiber_runtime();
    fiber_runtime(const fiber_runtime&) = delete;
    fiber_runtime& operator=(const fiber_runtime&) = delete;

    boost::asio::io_context& io() { return m_io; }

    // Starts a fiber that runs `work` soon. `work` must not throw.
    void spawn(std::function<void()> work);

    // Blocks the calling fiber.
    void sleepUntil(time_point);
    void sleepFor(duration length) { sleepUntil(clock_type::now() + length); }

    // Runs until `stop`. Call it from the thread that made the runtime.
    void run();
    void stop();
    // Lets `run` be called again after `stop`.
    void restart() { m_stopped = false; }

    // Number of fibers that `spawn` started and that have not ended.
    std::size_t fibers() const { return m_fibers; }

private:
    class scheduler;

    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    scheduler* m_scheduler = nullptr; // Owned by Boost.Fiber.
    bool m_stopped = false;
    std::size_t m_fibers = 0;
};

} // namespace coltsfootbend
