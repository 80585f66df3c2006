#pragma once

// Makes a call again while earlier ones are still open, and takes the first answer. A server that answers each call
// late is read all the same, and one that has lost a call is called again long before the deadline of that call. Not
// for calls that change anything.
//
//     repeated_call<row_page> reads(runtime, { .wait = 1500ms, .limit = 3000ms });
//     auto page = reads.send([&](time_point deadline) { return store.readAll(table, deadline); });
//     if (!page)
//         reads.awaitAnswer(clock_type::now() + pause); // Ends early if an open call is answered.

#include "coltsfootbend/base/error.h"
#include "coltsfootbend/net/fiber_signal.h"

#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace coltsfootbend {

// A series of equal calls, made by one fiber, that ends with the first answer. The next series begins after it.
template <typename T> class repeated_call {
public:
    struct options {
        // Time for which `send` waits for an answer. The call remains open after it.
        duration wait {};
        // Time within which each call is answered or fails. With at least `wait` between two calls, no more than
        // `limit / wait`, rounded up, are open at once.
        duration limit {};
    };
    // Makes one call and returns its answer, or fails at the deadline at the latest.
    using call = std::function<result<T>(time_point deadline)>;

    repeated_call(fiber_runtime& runtime, const options& options)
        : m_runtime(runtime)
        , m_options(options)
        , m_series(std::make_shared<series>(runtime))
    {
    }

    // Makes `call` on a fiber of its own, unless an earlier call of the series has been answered since the last `send`.
    // Returns the first answer to any of them. Fails as this call does, or with `TimedOut` if it has not been answered
    // for the time of the wait; a failure of an earlier call has no effect.
    result<T> send(call call)
    {
        const auto sentAt = clock_type::now();
        if (!hasAnswer())
            start(std::move(call), sentAt);
        await(sentAt + m_options.wait, [this] { return m_series->answer || m_series->failure; });
        if (m_series->answer)
            return std::move(std::exchange(m_series, std::make_shared<series>(m_runtime))->answer->value);
        if (m_series->failure)
            return tl::unexpected(std::move(*m_series->failure));
        return fail(error_kind::TimedOut,
            "not answered within " + std::to_string(remaining(sentAt, clock_type::now()).count())
                + " ms, the call remains open",
            "Look at the server's status");
    }

    // Waits until an open call of the series has been answered, at the longest until `limit`.
    void awaitAnswer(time_point limit)
    {
        await(limit, [this] { return hasAnswer(); });
    }

    // Ends the series without an answer: those to its calls are no longer of use. Called by the fiber that sends.
    void abandon() { m_series = std::make_shared<series>(m_runtime); }

private:
    struct answer {
        time_point sentAt {};
        T value;
    };
    // Owned by the fibers of its open calls too, whose answers have no effect once the series has ended.
    struct series {
        explicit series(fiber_runtime& runtime)
            : changed(runtime)
        {
        }

        fiber_signal changed;
        std::optional<struct answer> answer;
        std::optional<error> failure; // Of the last call.
        std::size_t calls = 0;
    };

    // Returns whether a call has been answered that was made recently enough to be still of use.
    bool hasAnswer() const
    {
        return m_series->answer && clock_type::now() < m_series->answer->sentAt + m_options.limit;
    }

    void start(call call, time_point sentAt)
    {
        m_series->answer.reset();
        m_series->failure.reset();
        const auto number = ++m_series->calls;
        m_runtime.spawn([call = std::move(call), deadline = sentAt + m_options.limit, sentAt, number, made = m_series] {
            result<T> done = fail(error_kind::Internal, "the call ended with an exception", "Report this");
            (void)runLogged("repeated call", [&] { done = call(deadline); });
            if (done && !made->answer)
                made->answer = { sentAt, std::move(*done) };
            else if (!done && number == made->calls)
                made->failure = std::move(done.error());
            made->changed.notify();
        });
    }

    template <typename Condition> void await(time_point limit, const Condition& isMet)
    {
        while (!isMet() && clock_type::now() < limit)
            (void)m_series->changed.waitUntil(limit);
    }

    fiber_runtime& m_runtime;
    const options m_options;
    std::shared_ptr<series> m_series;
};

} // namespace coltsfootbend
