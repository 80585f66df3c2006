#include "coltsfootbend/request/request_flow.h"

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

const time_point start = time_point {} + 1h;

// Records a session as text: every event that the flow receives and every action that it returns.
class session final : private worker_chooser, private retry_permit, private attempt_source {
public:
    explicit session(const std::string& title, flow_request request)
        : m_flow((request.deadline = start + 2s, request), { *this, *this, *this }, vm_id("home"), {})
    {
        m_trace << "# " << title << "\n";
    }

    session& receive(
        duration at, const std::string& label, std::uint64_t operation, decltype(flow_event::payload) payload)
    {
        m_trace << std::chrono::duration_cast<std::chrono::milliseconds>(at).count() << " ms  -> " << label << "\n";
        for (const auto& action : m_flow.handle(start + at, { operation, std::move(payload) }))
            std::visit([this](const auto& recorded) { write(recorded); }, action);
        return *this;
    }

    std::string end()
    {
        m_trace << (m_flow.isDone() ? "done\n\n" : "goes on\n\n");
        return m_trace.str();
    }

    int workers = 2;
    bool retriesLeft = true;

private:
    std::optional<run_place> choose(time_point, const std::vector<vm_id>& tried) override
    {
        if (static_cast<int>(tried.size()) >= workers)
            return std::nullopt;
        return run_place { vm_id("w" + std::to_string(tried.size() + 1)), incarnation(1) };
    }
    bool takeRetry(time_point) override { return retriesLeft; }
    attempt_id nextAttempt() override { return { vm_id("e"), incarnation(1), ++m_serial }; }

    void write(const send_claim& action)
    {
        m_trace << "        claim#" << action.operation << " at " << action.home.text() << " for attempt "
                << action.request.attempt.serial;
        if (action.request.replaces)
            m_trace << " in place of " << action.request.replaces->serial;
        m_trace << "\n";
    }
    void write(const send_dispatch& action) { writeTo("dispatch", action.operation, action.attempt, action.place); }
    void write(const send_revoke& action) { writeTo("revoke", action.operation, action.attempt, action.place); }
    void write(const send_join& action)
    {
        writeTo("join", action.operation, action.attempt, action.place);
        m_trace << "          from byte " << action.offset << "\n";
    }
    void write(const send_close& action)
    {
        m_trace << "        close#" << action.operation << " through attempt number " << action.attemptNumber << "\n";
    }
    void write(const send_cancel& action) { writeTo("cancel", 0, action.attempt, action.place); }
    void write(const forward_head& action) { m_trace << "        caller gets status " << action.status << "\n"; }
    void write(const forward_bytes& action) { m_trace << "        caller gets '" << action.bytes << "'\n"; }
    void write(const finish_request& action)
    {
        m_trace << "        caller is told " << toString(action.result) << " (" << toString(action.reason) << ")"
                << (action.sameKeyMayRetry ? ", may retry with the same key" : "") << ", come back in "
                << action.retryAfter.count() << " ms\n";
    }
    void writeTo(const char* verb, std::uint64_t operation, const attempt_id& attempt, const run_place& place)
    {
        m_trace << "        " << verb << "#" << operation << " attempt " << attempt.serial << " at "
                << place.worker.text() << "\n";
    }

    request_flow m_flow;
    std::ostringstream m_trace;
    std::uint64_t m_serial = 0;
};

flow_request unkeyed() { return { .customer = customer_id("c") }; }
flow_request repeatable()
{
    auto request = unkeyed();
    request.idempotent = true;
    return request;
}
flow_request keyed(std::uint32_t attemptNumber = 0)
{
    auto request = unkeyed();
    request.key = request_key("k");
    request.attemptNumber = attemptNumber;
    request.bodyHash = 1;
    return request;
}
claim_answered granted() { return { { claim_verdict::Granted, std::nullopt } }; }
claim_answered takenBy(std::uint64_t serial)
{
    return { { claim_verdict::AlreadyClaimed,
        claim_holder { { vm_id("other"), incarnation(2), serial }, { vm_id("w9"), incarnation(3) } } } };
}

std::string allSessions()
{
    std::string all;
    all += session("a keyed request is claimed, run and answered", keyed())
               .receive(0ms, "caller", 0, caller_started {})
               .receive(2ms, "granted", 1, granted())
               .receive(4ms, "head", 2, answer_head { 200, "text/plain" })
               .receive(6ms, "bytes 0", 2, answer_bytes { 0, "who" })
               .receive(8ms, "bytes 3", 2, answer_bytes { 3, "le" })
               .receive(9ms, "end 5", 2, answer_end { 5 })
               .end();
    all += session("bytes that come twice or late are put right, and a gap is asked for again", unkeyed())
               .receive(0ms, "caller", 0, caller_started {})
               .receive(2ms, "head", 1, answer_head { 200, "text/plain" })
               .receive(3ms, "bytes 0", 1, answer_bytes { 0, "abc" })
               .receive(4ms, "bytes 1 again", 1, answer_bytes { 1, "bcd" })
               .receive(5ms, "bytes 9, with a gap", 1, answer_bytes { 9, "xyz" })
               .receive(6ms, "a late piece of the given-up stream", 1, answer_bytes { 4, "???" })
               .receive(8ms, "bytes 4 of the join", 2, answer_bytes { 4, "ef" })
               .receive(9ms, "end 6", 2, answer_end { 6 })
               .end();
    all += session("a lost attempt that never started runs elsewhere, once", keyed())
               .receive(0ms, "caller", 0, caller_started {})
               .receive(2ms, "granted", 1, granted())
               .receive(30ms, "the stream broke", 2, operation_lost {})
               .receive(32ms, "revoked", 3, revoke_answered { revoke_verdict::Revoked })
               .receive(34ms, "granted", 4, granted())
               .receive(36ms, "head", 5, answer_head { 200, "" })
               .receive(37ms, "end 0", 5, answer_end { 0 })
               .end();
    all += session("a retry joins the attempt that another entry VM started", keyed(2))
               .receive(0ms, "caller", 0, caller_started {})
               .receive(2ms, "taken by 40", 1, takenBy(40))
               .receive(4ms, "it runs", 2, revoke_answered { revoke_verdict::Running })
               .receive(6ms, "head", 3, answer_head { 200, "" })
               .receive(7ms, "bytes 0", 3, answer_bytes { 0, "all" })
               .receive(8ms, "end 3", 3, answer_end { 3 })
               .end();
    all += session("a retry takes over from an attempt that never started", keyed(2))
               .receive(0ms, "caller", 0, caller_started {})
               .receive(2ms, "taken by 40", 1, takenBy(40))
               .receive(4ms, "revoked", 2, revoke_answered { revoke_verdict::Revoked })
               .receive(6ms, "granted", 3, granted())
               .end();
    all += session("a restarted worker daemon proves nothing", unkeyed())
               .receive(0ms, "caller", 0, caller_started {})
               .receive(30ms, "the stream broke", 1, operation_lost {})
               .receive(32ms, "another life answers", 2, other_incarnation_answered {})
               .end();
    all += session("a request that may be repeated is, without asking", repeatable())
               .receive(0ms, "caller", 0, caller_started {})
               .receive(30ms, "the stream broke", 1, operation_lost {})
               .receive(32ms, "head", 2, answer_head { 200, "" })
               .receive(33ms, "end 0", 2, answer_end { 0 })
               .end();
    all += session("once part of an answer is out, a repeat would not fit", repeatable())
               .receive(0ms, "caller", 0, caller_started {})
               .receive(2ms, "head", 1, answer_head { 200, "" })
               .receive(3ms, "bytes 0", 1, answer_bytes { 0, "abc" })
               .receive(4ms, "the engine failed", 1, attempt_failed {})
               .end();
    all += session("every worker refuses: not run, and when to come back", unkeyed())
               .receive(0ms, "caller", 0, caller_started {})
               .receive(2ms, "refused", 1, attempt_refused { refusal::QueueFull, 700ms })
               .receive(4ms, "refused", 2, attempt_refused { refusal::QueueFull, 800ms })
               .end();
    all += session("an uncounted key that is refused: an earlier attempt may still be on its way", keyed())
               .receive(0ms, "caller", 0, caller_started {})
               .receive(2ms, "granted", 1, granted())
               .receive(4ms, "refused", 2, attempt_refused { refusal::QueueFull, 700ms })
               .receive(6ms, "granted", 3, granted())
               .receive(8ms, "refused", 4, attempt_refused { refusal::QueueFull, 700ms })
               .end();
    all += session("a counted second attempt is closed at the home before it is called not run", keyed(2))
               .receive(0ms, "caller", 0, caller_started {})
               .receive(2ms, "granted", 1, granted())
               .receive(4ms, "refused", 2, attempt_refused { refusal::QueueFull, 700ms })
               .receive(6ms, "granted", 3, granted())
               .receive(8ms, "refused", 4, attempt_refused { refusal::QueueFull, 700ms })
               .receive(9ms, "closed", 5, close_answered { { claim_verdict::Granted, std::nullopt } })
               .end();
    all += session("an unreachable home: a first attempt is known not to have run", keyed(1))
               .receive(0ms, "caller", 0, caller_started {})
               .receive(1ms, "no connection", 1, operation_lost { true })
               .receive(2ms, "no connection", 2, operation_lost { true })
               .receive(3ms, "no connection", 3, operation_lost { true })
               .end();
    all += session("a young home cannot rule out that it ran", keyed())
               .receive(0ms, "caller", 0, caller_started {})
               .receive(2ms, "cannot rule out", 1, claim_answered { { claim_verdict::CannotRuleOut, std::nullopt } })
               .end();
    all += session("an undecided attempt is settled before the deadline, and then told as it is", unkeyed())
               .receive(0ms, "caller", 0, caller_started {})
               .receive(1900ms, "timer", 0, timer_fired {})
               .receive(1950ms, "timer", 0, timer_fired {})
               .receive(2000ms, "timer", 0, timer_fired {})
               .end();
    all += session("a caller that goes away takes its waiting request along", unkeyed())
               .receive(0ms, "caller", 0, caller_started {})
               .receive(5ms, "caller gone", 0, caller_gone {})
               .end();
    all += session("an answer that nobody reads any more is cancelled if it may be repeated", repeatable())
               .receive(0ms, "caller", 0, caller_started {})
               .receive(2ms, "head", 1, answer_head { 200, "" })
               .receive(5ms, "caller gone", 0, caller_gone {})
               .end();
    return all;
}

TEST(RequestFlow, SessionsMatchTheGoldenFile)
{
    const std::string path = COLTSFOOTBEND_SOURCE_DIR "/coltsfootbend/request/testdata/request_flow.golden";
    const auto actual = allSessions();
    if (std::getenv("COLTSFOOTBEND_REWRITE_GOLDEN"))
        std::ofstream(path) << actual;
    std::ifstream file(path);
    std::ostringstream expected;
    expected << file.rdbuf();
    EXPECT_EQ(actual, expected.str())
        << "after an intended change, run with COLTSFOOTBEND_REWRITE_GOLDEN=1 and read the diff";
}

TEST(RequestFlow, RetriesStayWithinTheBudget)
{
    session spent("budget", unkeyed());
    spent.retriesLeft = false;
    spent.receive(0ms, "caller", 0, caller_started {})
        .receive(2ms, "refused", 1, attempt_refused { refusal::QueueFull, 10ms });
    EXPECT_NE(spent.end().find("not-run (retry_budget_spent)"), std::string::npos);
}

TEST(RequestFlow, StopsAfterTheMaximumNumberOfAttempts)
{
    session many("many workers", unkeyed());
    many.workers = 100;
    many.receive(0ms, "caller", 0, caller_started {});
    for (std::uint64_t operation = 1; operation <= 4; ++operation)
        many.receive(1ms, "refused", operation, attempt_refused { refusal::QueueFull, 10ms });
    EXPECT_NE(many.end().find("done"), std::string::npos);
}

} // namespace
} // namespace coltsfootbend
