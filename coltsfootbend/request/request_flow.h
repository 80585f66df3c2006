#pragma once

// Implements the handling of one caller's request inside an entry VM as a deterministic state machine: it takes the
// time and one typed event and returns typed actions. It claims the caller's key, dispatches attempts, settles lost
// ones by revoke or join, retries only what may be retried, and ends in exactly one outcome. Uses no clock, socket or
// random source: a driver performs the actions and feeds their results back. Not for requests between processes of the
// project.
//
//     request_flow flow(request, { chooser, permit, attempts }, home);
//     auto actions = flow.handle(now, { 0, caller_started {} });
//     // perform each action; feed its result with the action's operation number; call tick by flow.nextDeadline()

#include "coltsfootbend/base/time.h"
#include "coltsfootbend/request/attempt.h"
#include "coltsfootbend/request/attempt_table.h"
#include "coltsfootbend/request/claim_ledger.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace coltsfootbend {

// The properties of a caller's request that the flow depends on.
struct flow_request {
    customer_id customer;
    std::optional<request_key> key {};
    // The incarnation that the key names when it is a ticket; none otherwise.
    incarnation ticketIncarnation {};
    std::uint32_t attemptNumber = 0;
    std::uint64_t bodyHash = 0;
    bool idempotent = false;
    time_point deadline {};
};

// Chooses the worker of the next attempt. `tried` lists the workers that refused or failed this request.
class worker_chooser {
public:
    virtual ~worker_chooser() = default;
    virtual std::optional<run_place> choose(time_point now, const std::vector<vm_id>& tried) = 0;
};

// Grants retries: `takeRetry` returns whether one more is within the retry budget, and deducts it if so.
class retry_permit {
public:
    virtual ~retry_permit() = default;
    virtual bool takeRetry(time_point now) = 0;
};

// Generates attempt ids with increasing serials.
class attempt_source {
public:
    virtual ~attempt_source() = default;
    virtual attempt_id nextAttempt() = 0;
};

// Actions. Each action that has a result carries the operation number that the result must name.
struct send_claim {
    std::uint64_t operation = 0;
    vm_id home;
    claim_request request;
};
struct send_dispatch {
    std::uint64_t operation = 0;
    attempt_id attempt;
    run_place place;
};
struct send_revoke {
    std::uint64_t operation = 0;
    attempt_id attempt;
    run_place place;
};
struct send_join {
    std::uint64_t operation = 0;
    attempt_id attempt;
    run_place place;
    std::uint64_t offset = 0;
};
struct send_close {
    std::uint64_t operation = 0;
    vm_id home;
    customer_key key;
    std::uint32_t attemptNumber = 0;
    incarnation ticketIncarnation;
    std::optional<attempt_id> releases;
};
// Cancels an attempt whose answer is no longer needed and which may be run again, so that its backend server can stop.
// Has no result.
struct send_cancel {
    attempt_id attempt;
    run_place place;
};
struct forward_head {
    int status = 0;
    std::string contentType;
};
struct forward_bytes {
    std::string bytes;
};
// Ends the request. `result` and `reason` are reported to the caller.
struct finish_request {
    outcome result = outcome::Unknown;
    refusal reason = refusal::None;
    // Delay after which the caller may retry; zero when a retry does not help.
    std::chrono::milliseconds retryAfter {};
    // Whether the caller may retry with the same key; the request still runs at most once.
    bool sameKeyMayRetry = false;
};
using flow_action = std::variant<send_claim, send_dispatch, send_revoke, send_join, send_close, send_cancel,
    forward_head, forward_bytes, finish_request>;

// Events of the caller's connection, of the timer and of operations.
struct caller_started { };
struct caller_gone { };
struct timer_fired { };
struct claim_answered {
    claim_reply reply;
};
// The operation's request was not sent (`nothingSent`), or no reply was received.
struct operation_lost {
    bool nothingSent = false;
};
struct attempt_refused {
    refusal reason = refusal::None;
    std::chrono::milliseconds retryAfter {};
};
// The attempt was started, and its answer cannot be completed.
struct attempt_failed { };
struct answer_head {
    int status = 0;
    std::string contentType;
};
struct answer_bytes {
    std::uint64_t offset = 0;
    std::string bytes;
};
struct answer_end {
    std::uint64_t totalBytes = 0;
};
struct revoke_answered {
    revoke_verdict verdict = revoke_verdict::Forgotten;
};
// The worker daemon was restarted; the addressed incarnation has ended and cannot reply.
struct other_incarnation_answered { };
struct close_answered {
    claim_reply reply;
};
// One event; `operation` is 0 for events that belong to no operation.
struct flow_event {
    std::uint64_t operation = 0;
    std::variant<caller_started, caller_gone, timer_fired, claim_answered, operation_lost, attempt_refused,
        attempt_failed, answer_head, answer_bytes, answer_end, revoke_answered, other_incarnation_answered,
        close_answered>
        payload;
};

// Represents the state of one caller's request.
class request_flow {
public:
    struct services {
        worker_chooser& chooser;
        retry_permit& retries;
        attempt_source& attempts;
    };
    struct limits {
        // How long before the caller's deadline an undecided attempt is revoked, so that the reply arrives in time.
        duration settleMargin = std::chrono::milliseconds(100);
        // First backoff between revokes of one attempt; doubles with each retry.
        duration firstSettleRetry = std::chrono::milliseconds(10);
        // Retry delay reported to the caller when no worker daemon named one.
        std::chrono::milliseconds retryAfter { 500 };
        // Bounds the load that one request causes while workers refuse it.
        int maxAttempts = 4;
    };

    // `home` stores the key's claims; it is unused when the request has no key.
    request_flow(flow_request, services, vm_id home, limits);

    // Handles one event and returns the actions to perform, in order. Events of abandoned operations are ignored.
    std::vector<flow_action> handle(time_point now, const flow_event&);

    // Moves the deadline forward to `limit` because the process stops. Without effect if the deadline is before it.
    void endBy(time_point limit);

    // Returns when `timer_fired` is next due.
    time_point nextDeadline() const { return m_timer; }
    bool isDone() const { return m_state == state::Done; }

private:
    enum class state { Idle, Claiming, Dispatching, Streaming, Revoking, Closing, Done };

    void on(time_point, const caller_started&);
    void on(time_point, const caller_gone&);
    void on(time_point, const timer_fired&);
    void on(time_point, const claim_answered&);
    void on(time_point, const operation_lost&);
    void on(time_point, const attempt_refused&);
    void on(time_point, const attempt_failed&);
    void on(time_point, const answer_head&);
    void on(time_point, const answer_bytes&);
    void on(time_point, const answer_end&);
    void on(time_point, const revoke_answered&);
    void on(time_point, const other_incarnation_answered&);
    void on(time_point, const close_answered&);

    bool mayRepeat() const { return m_request.idempotent && !m_request.key && !m_headForwarded; }
    void repeatOnOtherWorker(time_point, refusal);
    void startAttempt(time_point);
    void claim(time_point);
    void dispatch(time_point);
    void settle(time_point);
    void retrySettle(time_point);
    void join(time_point);
    void retryOnOtherWorker(time_point, refusal, std::chrono::milliseconds retryAfter);
    void refuse(time_point, refusal, std::chrono::milliseconds retryAfter = {});
    void finish(outcome, refusal, std::chrono::milliseconds retryAfter = {}, bool sameKey = false);
    template <typename Action> void send(Action);

    flow_request m_request; // Constant but for the deadline.
    const services m_services;
    const vm_id m_home;
    const limits m_limits;

    state m_state = state::Idle;
    std::vector<flow_action> m_actions;
    std::uint64_t m_operation = 0;
    time_point m_timer {};
    duration m_settleBackoff {};

    // The attempt in progress: an attempt of this flow, or the one that holds the key.
    attempt_id m_attempt;
    run_place m_place;
    bool m_isOwnAttempt = false;
    // The attempt that holds the key at its home and is proven never to start, if any.
    std::optional<attempt_id> m_replaces;
    std::vector<vm_id> m_tried;
    int m_attempts = 0;
    int m_claimTries = 0;
    int m_joins = 0;
    bool m_mayHaveRun = false; // True once an attempt may have run.
    bool m_headForwarded = false;
    std::uint64_t m_forwarded = 0;
    refusal m_refusal = refusal::None;
    std::chrono::milliseconds m_retryAfter {};
};

} // namespace coltsfootbend
