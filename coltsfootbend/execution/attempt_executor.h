#pragma once

// One life of a worker daemon as a deterministic state machine: it admits attempts, decides what the backend server is
// given and when, keeps answers, and keeps the claims of the keys whose home it is. It takes the time and one typed
// input and leaves typed actions; a driver performs them. The parts are `attempt_table`, `admission_queue` and
// `claim_ledger`. Not for choosing a worker: see `routing/router.h`.
//
//     attempt_executor executor({ .life = life, ... });
//     executor.dispatch(now, job, job.workerLife);
//     for (const auto& action : executor.takeActions()) perform(action);
//     auto piece = executor.nextPiece(attempt, position); // what to send the entry VM next

#include "coltsfootbend/limits/admission_queue.h"
#include "coltsfootbend/request/attempt_table.h"
#include "coltsfootbend/request/claim_ledger.h"

#include <optional>
#include <variant>
#include <vector>

namespace coltsfootbend {

// Give the attempt to the backend server.
struct start_on_backend {
    attempt_id attempt;
};
// Stop an attempt's stream for a while, or go on with it.
struct pause_on_backend {
    attempt_id attempt;
};
struct resume_on_backend {
    attempt_id attempt;
};
// Whoever follows the attempt's answer should ask for the next piece.
struct answer_changed {
    attempt_id attempt;
};
using executor_action = std::variant<start_on_backend, pause_on_backend, resume_on_backend, answer_changed>;

// How far an entry VM has got with an answer.
struct answer_position {
    bool headSent = false;
    std::uint64_t offset = 0;
};

// What to send next.
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

class attempt_executor {
public:
    struct options {
        incarnation life;
        attempt_table::options table;
        admission_queue::options queue;
        claim_ledger::options ledger;
    };

    explicit attempt_executor(const options&);

    // Takes an attempt in. Returns what to answer at once, or nothing when the answer comes by `nextPiece`.
    std::optional<answer_piece> dispatch(time_point now, const admission_job&, incarnation addressedTo);

    // Returns no verdict when another life was addressed.
    std::optional<revoke_verdict> revoke(time_point now, const attempt_id&, incarnation addressedTo);

    claim_ledger& ledger() { return m_ledger; }
    claim_reply claim(time_point now, const claim_request& request) { return m_ledger.claim(now, request); }
    // Releases the key from `releases` first, if given.
    claim_reply close(time_point now, const customer_key&, std::uint32_t attemptNumber, incarnation ticketLife,
        const std::optional<attempt_id>& releases);

    // What the backend server does with a started attempt.
    void backendHead(const attempt_id&, int status, std::string contentType);
    void backendBytes(const attempt_id&, std::string_view bytes);
    void backendEnd(time_point now, const attempt_id&);
    // It was given the attempt and broke off.
    void backendFailed(time_point now, const attempt_id&);
    // It could not be given the attempt at all.
    void backendUnreachable(time_point now, const attempt_id&);

    // Call about every engine step while anything waits.
    void tick(time_point now);

    // Refuses what waits and whatever comes; what runs goes on.
    void leave();
    bool isLeaving() const { return m_leaving; }
    bool isIdle() const { return m_queue.running() + m_queue.paused() == 0; }

    // Returns the next piece of an attempt's answer and moves `position` past it. O(piece).
    answer_piece nextPiece(const attempt_id&, answer_position&) const;

    // Returns what is to be done since the last call, in order.
    std::vector<executor_action> takeActions();

    const admission_queue& queue() const { return m_queue; }
    incarnation life() const { return m_life; }

private:
    void apply(const std::vector<admission_decision>&, time_point now);
    void settle(time_point now, const attempt_id&);

    const incarnation m_life;
    attempt_table m_table;
    admission_queue m_queue;
    claim_ledger m_ledger;
    std::vector<executor_action> m_actions;
    bool m_leaving = false;
};

} // namespace coltsfootbend
