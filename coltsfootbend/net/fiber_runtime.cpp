#include "coltsfootbend/net/fiber_runtime.h"

#include "coltsfootbend/base/log_event.h"
#include "coltsfootbend/net/use_fiber.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/algo/round_robin.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <cstdio>
#include <utility>

namespace coltsfootbend {

namespace {

// Sufficient for TLS and Beast. Fibers must not place large objects on their stacks.
constexpr std::size_t stackBytes = std::size_t { 128 } * 1024;
// Free stacks that are kept: those of the requests that a gateway usually runs at once.
constexpr std::size_t maxFreeStacks = 128;
// Pause after a fault in a loop, so that a lasting fault does not use up the processor.
constexpr std::chrono::milliseconds faultPause { 100 };

// Must not throw: it runs when memory may be used up.
void logFault(const char* name, const char* why) noexcept
{
    try {
        std::array<char, 512> details {};
        (void)std::snprintf(details.data(), details.size(), "fiber=%s why=\"%s\"", name, why);
        logEvent(log_event::ProcessFaulted, details.data());
    } catch (const std::exception&) { // NOLINT(bugprone-empty-catch)
        // Without memory for the line there is no line.
    }
}

} // namespace

bool runLogged(const char* name, const std::function<void()>& work)
{
    try {
        work();
        return true;
    } catch (const std::exception& fault) {
        logFault(name, fault.what());
        return false;
    }
}

// Round-robin scheduler that counts the ready fibers other than the dispatcher. The main loop blocks on I/O when there
// are none.
class fiber_runtime::scheduler : public boost::fibers::algo::round_robin {
public:
    explicit scheduler(fiber_runtime& runtime) { runtime.m_scheduler = this; }

    void awakened(boost::fibers::context* context) noexcept override
    {
        if (!context->is_context(boost::fibers::type::dispatcher_context))
            ++m_ready;
        round_robin::awakened(context);
    }

    boost::fibers::context* pick_next() noexcept override
    {
        auto* context = round_robin::pick_next();
        if (context && !context->is_context(boost::fibers::type::dispatcher_context))
            --m_ready;
        return context;
    }

    std::size_t ready() const { return m_ready; }

private:
    std::size_t m_ready = 0;
};

fiber_runtime::fiber_runtime()
    : m_work(boost::asio::make_work_guard(m_io))
    , m_stacks(std::make_shared<stack_pool>(stack_pool::options { .stackBytes = stackBytes, .maxFree = maxFreeStacks }))
{
    boost::fibers::use_scheduling_algorithm<scheduler>(std::ref(*this));
}

fiber_runtime::~fiber_runtime() = default;

void fiber_runtime::spawn(std::function<void()> work)
{
    boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg, stack_allocator(m_stacks),
        [this, work = std::move(work)] {
            (void)runLogged("-", work);
            --m_fibers;
        })
        .detach();
    ++m_fibers;
}

void fiber_runtime::spawnLoop(const char* name, std::function<void()> loop)
{
    spawn([this, name, loop = std::move(loop)] {
        while (!runLogged(name, loop))
            (void)runLogged(name, [this] { sleepFor(faultPause); });
    });
}

void fiber_runtime::sleepUntil(time_point deadline)
{
    boost::asio::steady_timer timer(m_io);
    timer.expires_at(deadline);
    (void)timer.async_wait(useFiber);
}

void fiber_runtime::run()
{
    while (!m_stopped) {
        (void)runLogged("io", [this] { m_io.poll(); });
        // All fibers that are ready run before this one resumes.
        boost::this_fiber::yield();
        if (m_scheduler->ready() == 0 && !m_stopped)
            (void)runLogged("io", [this] { m_io.run_one(); });
    }
}

void fiber_runtime::stop() { m_stopped = true; }

} // namespace coltsfootbend
