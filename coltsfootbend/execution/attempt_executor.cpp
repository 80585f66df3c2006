#include "coltsfootbend/execution/attempt_executor.h"

#include <algorithm>
#include <utility>

namespace coltsfootbend {

namespace {

constexpr std::size_t bytesPerPiece = std::size_t { 64 } * 1024;

} // namespace

attempt_executor::attempt_executor(const options& options)
    : m_incarnation(options.ownIncarnation)
    , m_table(options.table)
    , m_queue(options.queue)
    , m_ledger([&] {
        auto ledger = options.ledger;
        ledger.ownIncarnation = options.ownIncarnation;
        return ledger;
    }())
{
}

std::optional<answer_piece> attempt_executor::dispatch(
    time_point now, const admission_job& job, incarnation addressedTo)
{
    if (addressedTo != m_incarnation)
        return refused_piece { refusal::OtherIncarnation, {} };
    switch (m_table.admit(job.attempt)) {
    case admit_verdict::Admitted:
        apply(m_queue.submit(now, job), now);
        return std::nullopt;
    case admit_verdict::Revoked:
        return refused_piece {};
    case admit_verdict::Duplicate:
    case admit_verdict::Forgotten:
        // Each attempt is sent once. A second copy gives no information about whether the first one ran.
        return failed_piece {};
    }
    return failed_piece {};
}

std::optional<revoke_verdict> attempt_executor::revoke(
    time_point now, const attempt_id& attempt, incarnation addressedTo)
{
    if (addressedTo != m_incarnation)
        return std::nullopt;
    const auto verdict = m_table.revoke(attempt);
    if (verdict == revoke_verdict::Revoked) {
        m_queue.cancelWaiting(attempt);
        m_actions.emplace_back(answer_changed { attempt });
        apply(m_queue.refuseLate(now), now);
    }
    return verdict;
}

claim_reply attempt_executor::close(time_point now, const customer_key& key, std::uint32_t attemptNumber,
    incarnation ticketIncarnation, const std::optional<attempt_id>& releases)
{
    if (releases)
        m_ledger.release(key, *releases);
    return m_ledger.close(now, key, attemptNumber, ticketIncarnation);
}

void attempt_executor::backendHead(const attempt_id& attempt, int status, std::string contentType)
{
    m_table.begin(attempt, status, std::move(contentType));
    m_actions.emplace_back(answer_changed { attempt });
}

void attempt_executor::backendBytes(const attempt_id& attempt, std::string_view bytes)
{
    m_table.append(attempt, bytes);
    m_actions.emplace_back(answer_changed { attempt });
}

void attempt_executor::backendEnd(time_point now, const attempt_id& attempt)
{
    m_table.finish(attempt);
    settle(now, attempt);
}

void attempt_executor::backendFailed(time_point now, const attempt_id& attempt)
{
    m_table.fail(attempt);
    settle(now, attempt);
}

void attempt_executor::backendUnreachable(time_point now, const attempt_id& attempt)
{
    m_table.withdraw(attempt);
    settle(now, attempt);
}

void attempt_executor::settle(time_point now, const attempt_id& attempt)
{
    m_actions.emplace_back(answer_changed { attempt });
    apply(m_queue.complete(now, attempt), now);
}

void attempt_executor::tick(time_point now) { apply(m_queue.refuseLate(now), now); }

void attempt_executor::leave()
{
    m_leaving = true;
    apply(m_queue.leave(), {});
}

void attempt_executor::apply(const std::vector<admission_decision>& decisions, time_point now)
{
    for (const auto& decision : decisions) {
        switch (decision.verb) {
        case admission_verb::Start:
            // If the attempt was revoked in the meantime, its slot is free for the next one.
            if (m_table.start(decision.attempt))
                m_actions.emplace_back(start_on_backend { decision.attempt });
            else
                apply(m_queue.complete(now, decision.attempt), now);
            break;
        case admission_verb::Preempt:
            m_actions.emplace_back(pause_on_backend { decision.attempt });
            break;
        case admission_verb::Resume:
            m_actions.emplace_back(resume_on_backend { decision.attempt });
            break;
        case admission_verb::Refuse:
            m_table.refuse(decision.attempt, decision.reason, decision.retryAfter);
            m_actions.emplace_back(answer_changed { decision.attempt });
            break;
        }
    }
}

answer_piece attempt_executor::nextPiece(const attempt_id& attempt, answer_position& position) const
{
    const auto* answer = m_table.find(attempt);
    if (!answer)
        return failed_piece {};
    if (answer->state == attempt_state::Waiting)
        return nothing_yet {};
    if (answer->state == attempt_state::Revoked)
        return refused_piece { answer->reason, answer->retryAfter };
    if (!position.headSent && answer->status != 0) {
        position.headSent = true;
        return head_piece { answer->status, answer->contentType };
    }
    if (!answer->bodyKept || answer->state == attempt_state::Failed)
        return failed_piece {};
    if (position.offset < answer->body.size()) {
        const auto size = std::min<std::size_t>(answer->body.size() - position.offset, bytesPerPiece);
        bytes_piece piece { position.offset, answer->body.substr(position.offset, size) };
        position.offset += size;
        return piece;
    }
    if (answer->state != attempt_state::Finished)
        return nothing_yet {};
    return end_piece { answer->totalBytes };
}

std::vector<executor_action> attempt_executor::takeActions() { return std::exchange(m_actions, {}); }

} // namespace coltsfootbend
