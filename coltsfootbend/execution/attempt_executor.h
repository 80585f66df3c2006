#pragma once

// Implements one incarnation of a worker daemon as a deterministic state machine: it admits attempts, decides which
// attempt the backend server receives and when, stores answers, and stores the claims of the keys whose home it is.
// Each call takes the time and one typed input and queues typed actions, which a driver performs. Built from
// `attempt_table`, `admission_queue` and `claim_ledger`. Does not choose a worker: see `routing/router.h`.
//
//     attempt_executor executor({ .ownIncarnation = incarnation, ... });
//     executor.dispatch(now, job, job.workerIncarnation);
//     for (const auto& action : executor.takeActions()) perform(action);
//     auto piece = executor.nextPiece(attempt, position); // what to send to the entry VM next

#include "coltsfootbend/limits/admission_queue.h"
#include "coltsfootbend/request/attempt_table.h"
#include "coltsfootbend/request/claim_ledger.h"

#include <optional>
#include <variant>
#include <vector>

namespace coltsfootbend {

// Action: sends the attempt to the backend server.
struct start_on_backend {
    attempt_id attempt;
};
// Action: asks the backend server to pause a preempted attempt.
struct pause_on_backend {
    attempt_id attempt;
};
// Action: asks the backend server to resume a paused attempt.
struct resume_on_backend {
    attempt_id attempt;
};
// Action: notifies each stream of the attempt's answer that `nextPiece` may return more.
struct answer_changed {
    attempt_id attempt;
};
using executor_action = std::variant<start_on_backend, pause_on_backend, resume_on_backend, answer_changed>;

// Represents how much of an answer was sent to an entry VM. Offsets and sizes are in bytes.
struct answer_position {
    bool headSent = false;
    std::uint64_t offset = 0;
};

// The next piece of an answer to send; `nothing_yet` means that the next `answer_changed` may bring one.
struct nothing_yet { };
struct head_piece {
    int status = 0;
    std::string contentType;
};
struct bytes_piece {
    std::uint64_t offset = 0;
    std::string bytes;
};
struct end_piece {
    std::uint64_t totalBytes = 0;
};
struct refused_piece {
    refusal reason = refusal::Revoked;
    std::chrono::milliseconds retryAfter {};
};
struct failed_piece { };
using answer_piece = std::variant<nothing_yet, head_piece, bytes_piece, end_piece, refused_piece, failed_piece>;

// Represents the state of one incarnation of a worker daemon.
class attempt_executor {
public:
    struct options {
        incarnation ownIncarnation;
        attempt_table::options table;
        admission_queue::options queue;
        claim_ledger::options ledger;
    };

    explicit attempt_executor(const options&);

    // Admits an attempt. Returns the reply to send at once, or none when the answer is read through `nextPiece`.
    std::optional<answer_piece> dispatch(time_point now, const admission_job&, incarnation addressedTo);

    // Revokes an attempt that has not started. Returns no verdict when another incarnation was addressed.
    std::optional<revoke_verdict> revoke(time_point now, const attempt_id&, incarnation addressedTo);

    claim_ledger& ledger() { return m_ledger; }
    claim_reply claim(time_point now, const claim_request& request) { return m_ledger.claim(now, request); }
    // Closes a key, see `claim_ledger::close`. Releases the key from `releases` first, if given.
    claim_reply close(time_point now, const customer_key&, std::uint32_t attemptNumber, incarnation ticketIncarnation,
        const std::optional<attempt_id>& releases);

    // Report the progress of a started attempt on the backend server.
    void backendHead(const attempt_id&, int status, std::string contentType);
    void backendBytes(const attempt_id&, std::string_view bytes);
    void backendEnd(time_point now, const attempt_id&);
    // Reports that the backend server received the attempt and failed before the end of its answer.
    void backendFailed(time_point now, const attempt_id&);
    // Reports that nothing of the attempt reached the backend server, so that it did not run.
    void backendUnreachable(time_point now, const attempt_id&);

    // Refuses waiting attempts that can no longer meet their deadline. Call about once per engine step while any
    // attempt waits.
    void tick(time_point now);

    // Refuses waiting and new attempts; running attempts continue.
    void leave();
    bool isLeaving() const { return m_leaving; }
    bool isIdle() const { return m_queue.running() + m_queue.paused() == 0; }

    // Returns the next piece of an attempt's answer and moves `position` past it. O(piece).
    answer_piece nextPiece(const attempt_id&, answer_position&) const;

    // Returns the actions queued since the last call, in order.
    std::vector<executor_action> takeActions();

    const admission_queue& queue() const { return m_queue; }
    incarnation ownIncarnation() const { return m_incarnation; }

private:
    void apply(const std::vector<admission_decision>&, time_point now);
    void settle(time_point now, const attempt_id&);

    const incarnation m_incarnation;
    attempt_table m_table;
    admission_queue m_queue;
    claim_ledger m_ledger;
    std::vector<executor_action> m_actions;
    bool m_leaving = false;
};

} // namespace coltsfootbend
