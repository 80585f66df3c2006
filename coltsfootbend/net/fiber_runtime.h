#pragma once

// Runs fibers and Asio's I/O together on one thread. Every daemon has one runtime that all its services share, so they
// need no locks. Use `spawn` for work that may block its own fiber. Not for work that blocks the thread, because that
// stalls all other fibers.
//
//     fiber_runtime runtime;
//     runtime.spawn([&] { runtime.sleepUntil(deadline); runtime.stop(); });
//     runtime.run();

#include "coltsfootbend/base/time.h"
#include "coltsfootbend/net/stack_pool.h"

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

    // Schedules a new fiber that runs `work`. An exception that leaves `work` is logged and ends this fiber only, so
    // what other fibers wait for must be released by destructors. Throws std::bad_alloc if there is no memory for its
    // stack.
    void spawn(std::function<void()> work);

    // Schedules a new fiber that runs the loop of a service. An exception that leaves `loop` is logged and loses the
    // round in which it occurred: `loop` is called again after a pause, until it returns. `name` is for the log.
    void spawnLoop(const char* name, std::function<void()> loop);

    // Blocks the calling fiber, but not the thread.
    void sleepUntil(time_point);
    void sleepFor(duration length) { sleepUntil(clock_type::now() + length); }

    // Runs until `stop` is called. Must be called on the thread that created the runtime. An exception that leaves a
    // completion handler is logged.
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
    std::shared_ptr<stack_pool> m_stacks;
};

// Runs `work`. Returns whether it returned; an exception that leaves it is logged with `name` (E105).
bool runLogged(const char* name, const std::function<void()>& work);

} // namespace coltsfootbend
