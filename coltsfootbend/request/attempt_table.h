#pragma once

// What one life of a worker daemon knows of the attempts addressed to it. It admits each attempt at most once, lets an
// entry VM revoke one that has not started, and keeps answers so that another entry VM can join one that is being
// produced. Not a queue: order and limits are `limits/admission_queue.h`.
//
// Memory is bounded without a clock: when an attempt is forgotten, every attempt of the same entry life with a serial
// up to it that is not in the table is refused from then on.
//
//     if (table.admit(attempt) == admit_verdict::Admitted)
//         queue.push(attempt);
//     table.start(attempt); // just before the engine is given it

#include "coltsfootbend/request/attempt.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace coltsfootbend {

enum class attempt_state {
    Waiting, // Admitted; the engine has not been given it.
    Running,
    Finished, // The whole answer is here, or was until its memory was needed.
    Failed, // The engine was given it and the answer never became whole.
    Revoked, // It never started and never will.
};

enum class admit_verdict {
    Admitted,
    Duplicate, // Already known; nothing new was started.
    Revoked,
    Forgotten, // Older than what the table remembers of this entry life.
};

// What an entry VM is told that asks to revoke an attempt.
enum class revoke_verdict {
    Revoked, // Proof: it has not started and never will.
    Running,
    Finished,
    Failed,
    Forgotten,
};

// An attempt's answer so far.
struct attempt_answer {
    attempt_state state = attempt_state::Waiting;
    int status = 0;
    std::string contentType;
    std::string body;
    // False once the body was dropped to make room.
    bool bodyKept = true;
    std::uint64_t totalBytes = 0;
    // Of a revoked attempt: why, and when to come back.
    refusal reason = refusal::Revoked;
    std::chrono::milliseconds retryAfter {};
};

class attempt_table {
public:
    struct options {
        std::size_t maxAttempts = 0;
        std::size_t maxAnswerBytes = 0;
    };

    explicit attempt_table(const options&);

    // Records `attempt` as waiting unless it was seen or revoked before. O(1) on average.
    admit_verdict admit(const attempt_id&);

    // Marks a waiting attempt as running. Returns false, and then the engine must not be given it, when it is not
    // waiting (it was revoked meanwhile).
    [[nodiscard]] bool start(const attempt_id&);

    // Takes back `start`. Precondition: nothing of the attempt was given to the engine.
    void withdraw(const attempt_id&);

    // As `revoke`, and keeps why. Does nothing to an attempt that has started.
    void refuse(const attempt_id&, refusal, std::chrono::milliseconds retryAfter);

    // Proves that `attempt` never starts, or says how far it is. Also records attempts that have not arrived yet.
    revoke_verdict revoke(const attempt_id&);

    void begin(const attempt_id&, int status, std::string contentType);
    void append(const attempt_id&, std::string_view bytes);
    void finish(const attempt_id&);
    void fail(const attempt_id&);

    // Returns the answer so far, or null when the attempt is not known. Valid until the next call that changes the
    // table.
    const attempt_answer* find(const attempt_id&) const;

    std::size_t size() const { return m_answers.size(); }
    std::size_t answerBytes() const { return m_answerBytes; }

private:
    static constexpr std::size_t maxEntryLives = 4096;

    bool isForgotten(const attempt_id&) const;
    attempt_answer* remember(const attempt_id&, attempt_state);
    attempt_answer* running(const attempt_id&);
    void forgetSettled();
    void dropOldestBodies();
    void raiseFloor(const attempt_id&);

    const std::size_t m_maxAttempts;
    const std::size_t m_maxAnswerBytes;
    std::size_t m_answerBytes = 0;
    std::unordered_map<attempt_id, attempt_answer> m_answers;
    std::deque<attempt_id> m_order; // Oldest first; the candidates for being forgotten.
    std::deque<attempt_id> m_finishedOrder; // Oldest first; the candidates for losing their body.
    std::unordered_map<incarnation, std::uint64_t> m_floors;
    std::deque<incarnation> m_floorOrder;
};

} // namespace coltsfootbend
