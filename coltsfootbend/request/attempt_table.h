#pragma once

// Stores the state of the attempts addressed to one incarnation of a worker daemon. Admits each attempt at most once,
// lets an entry VM revoke one that has not started, and stores answers so that another entry VM can join one that is
// still being produced. Not a queue: order and limits are in `limits/admission_queue.h`.
//
// Memory is bounded without a clock: when an attempt is evicted, every attempt of the same entry incarnation with a
// serial up to it that is not in the table is refused from then on.
//
//     if (table.admit(attempt) == admit_verdict::Admitted)
//         queue.push(attempt);
//     table.start(attempt); // just before it is sent to the engine

#include "coltsfootbend/request/attempt.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace coltsfootbend {

// The state of an attempt at its worker daemon.
enum class attempt_state {
    Waiting, // Admitted and not yet sent to the engine.
    Running,
    Finished, // The answer is complete; its body may have been evicted since.
    Failed, // It was sent to the engine and its answer is incomplete.
    Revoked, // It has not started and never will.
};

// The result of admitting an attempt.
enum class admit_verdict {
    Admitted,
    Duplicate, // Already in the table; no second run was started.
    Revoked,
    Forgotten, // Evicted, or older than an evicted attempt of the same entry incarnation.
};

// The result of revoking an attempt.
enum class revoke_verdict {
    Revoked, // Proves that it has not started and never will.
    Running,
    Finished,
    Failed,
    Forgotten,
};

// Represents an attempt's state and the part of its answer received so far.
struct attempt_answer {
    attempt_state state = attempt_state::Waiting;
    int status = 0;
    std::string contentType;
    std::string body;
    // False once the body was evicted to limit memory.
    bool bodyKept = true;
    std::uint64_t totalBytes = 0; // Size of the body, also after its eviction.
    // For a revoked attempt: the reason, and when the caller may retry.
    refusal reason = refusal::Revoked;
    std::chrono::milliseconds retryAfter {};
};

// Represents the attempts of one incarnation of a worker daemon.
class attempt_table {
public:
    struct options {
        std::size_t maxAttempts = 0;
        std::size_t maxAnswerBytes = 0;
    };

    explicit attempt_table(const options&);

    // Records `attempt` as waiting unless it was seen or revoked before. O(1) on average.
    admit_verdict admit(const attempt_id&);

    // Marks a waiting attempt as running. Returns false when it is not waiting, for example because it was revoked; it
    // must then not be sent to the engine.
    [[nodiscard]] bool start(const attempt_id&);

    // Reverts `start` and marks the attempt as revoked. Precondition: nothing of the attempt was sent to the engine.
    void withdraw(const attempt_id&);

    // Revokes a waiting attempt and records the reason. Does nothing to an attempt that has started.
    void refuse(const attempt_id&, refusal, std::chrono::milliseconds retryAfter);

    // Revokes `attempt` unless it has started, and returns its state. Also records an attempt that has not arrived yet,
    // so that it is refused on arrival.
    revoke_verdict revoke(const attempt_id&);

    void begin(const attempt_id&, int status, std::string contentType);
    void append(const attempt_id&, std::string_view bytes);
    void finish(const attempt_id&);
    void fail(const attempt_id&);

    // Returns the answer so far, or null when the attempt is not in the table. Valid until the next call that changes
    // the table.
    const attempt_answer* find(const attempt_id&) const;

    std::size_t size() const { return m_answers.size(); }
    std::size_t answerBytes() const { return m_answerBytes; }

private:
    // Number of entry incarnations for which the highest evicted serial is stored; bounds `m_floors`.
    static constexpr std::size_t maxEntryIncarnations = 4096;

    bool isEvicted(const attempt_id&) const;
    attempt_answer* insert(const attempt_id&, attempt_state);
    attempt_answer* running(const attempt_id&);
    void evictSettled();
    void evictOldestBodies();
    void raiseFloor(const attempt_id&);

    const std::size_t m_maxAttempts;
    const std::size_t m_maxAnswerBytes;
    std::size_t m_answerBytes = 0;
    std::unordered_map<attempt_id, attempt_answer> m_answers;
    std::deque<attempt_id> m_order; // Candidates for eviction, oldest first.
    std::deque<attempt_id> m_finishedOrder; // Candidates for eviction of their body, oldest first.
    // Highest evicted serial of each entry incarnation.
    std::unordered_map<incarnation, std::uint64_t> m_floors;
    std::deque<incarnation> m_floorOrder;
};

} // namespace coltsfootbend
