#include "coltsfootbend/request/request_flow.h"

#include <algorithm>
#include <utility>

namespace coltsfootbend {

namespace {

// Number of times a claim without reply is sent before the home counts as unreachable.
constexpr int maxClaimTries = 3;
// Bounds how often one request joins an answer again after lost bytes.
constexpr int maxJoins = 16;

} // namespace

request_flow::request_flow(flow_request request, services services, vm_id home, limits limits)
    : m_request(std::move(request))
    , m_services(services)
    , m_home(std::move(home))
    , m_limits(limits)
    , m_timer(m_request.deadline - limits.settleMargin)
{
}

std::vector<flow_action> request_flow::handle(time_point now, const flow_event& event)
{
    m_actions.clear();
    // Operation 0 marks events of the caller and the timer; any other number must be the current operation.
    if (m_state == state::Done || (event.operation != 0 && event.operation != m_operation))
        return {};
    std::visit([&](const auto& payload) { on(now, payload); }, event.payload);
    return std::move(m_actions);
}

void request_flow::endBy(time_point limit)
{
    if (limit >= m_request.deadline)
        return;
    m_request.deadline = limit;
    // What is not streamed has to be settled first.
    m_timer = std::min(m_timer, m_state == state::Streaming ? limit : limit - m_limits.settleMargin);
}

template <typename Action> void request_flow::send(Action action)
{
    action.operation = ++m_operation;
    m_actions.emplace_back(std::move(action));
}

void request_flow::on(time_point now, const caller_started&)
{
    if (m_state == state::Idle)
        startAttempt(now);
}

void request_flow::startAttempt(time_point now)
{
    const auto place = m_attempts < m_limits.maxAttempts ? m_services.chooser.choose(now, m_tried) : std::nullopt;
    if (!place) {
        refuse(now, m_refusal == refusal::None ? refusal::NoWorker : m_refusal, m_retryAfter);
        return;
    }
    ++m_attempts;
    m_attempt = m_services.attempts.nextAttempt();
    m_isOwnAttempt = true;
    m_place = *place;
    if (m_request.key)
        claim(now);
    else
        dispatch(now);
}

void request_flow::claim(time_point now)
{
    m_state = state::Claiming;
    ++m_claimTries;
    m_timer = std::min(m_request.deadline - m_limits.settleMargin, now + (m_request.deadline - now) / 3);
    send(send_claim { .home = m_home,
        .request = { .key = { m_request.customer, *m_request.key },
            .attempt = m_attempt,
            .place = m_place,
            .attemptNumber = m_request.attemptNumber,
            .bodyHash = m_request.bodyHash,
            .ticketIncarnation = m_request.ticketIncarnation,
            .replaces = m_replaces } });
}

void request_flow::on(time_point now, const claim_answered& event)
{
    if (m_state != state::Claiming)
        return;
    m_claimTries = 0;
    switch (event.reply.verdict) {
    case claim_verdict::Granted:
        m_replaces.reset();
        dispatch(now);
        return;
    case claim_verdict::AlreadyClaimed:
        m_attempt = event.reply.holder->attempt;
        m_place = event.reply.holder->place;
        m_isOwnAttempt = false;
        settle(now);
        return;
    case claim_verdict::Closed:
        finish(outcome::NotRun, refusal::KeyClosed);
        return;
    case claim_verdict::BodyMismatch:
        finish(outcome::Unknown, refusal::KeyReused);
        return;
    case claim_verdict::CannotRuleOut:
        // A later retry with the same key would be safe only within the key's lifetime, and the home remains undecided
        // for longer than that. Therefore no retry is suggested.
        finish(outcome::Unknown, refusal::HomeCannotRuleOut);
        return;
    case claim_verdict::LedgerFull:
    case claim_verdict::Leaving:
        refuse(now, refusal::HomeUnreachable);
        return;
    }
}

void request_flow::dispatch(time_point)
{
    m_state = state::Dispatching;
    m_timer = m_request.deadline - m_limits.settleMargin;
    send(send_dispatch { .attempt = m_attempt, .place = m_place });
}

void request_flow::on(time_point now, const attempt_refused& event)
{
    if (m_state != state::Dispatching)
        return;
    retryOnOtherWorker(now, event.reason, event.retryAfter);
}

// Precondition: the attempt is proven never to start, or the request may be repeated.
void request_flow::retryOnOtherWorker(time_point now, refusal reason, std::chrono::milliseconds retryAfter)
{
    m_tried.push_back(m_place.worker);
    m_refusal = reason;
    m_retryAfter = retryAfter;
    if (m_request.key)
        m_replaces = m_attempt;
    const bool inTime = now < m_request.deadline - m_limits.settleMargin;
    if (!inTime || m_attempts >= m_limits.maxAttempts) {
        refuse(now, reason, retryAfter);
        return;
    }
    if (!m_services.retries.takeRetry(now)) {
        refuse(now, refusal::RetryBudgetSpent, retryAfter);
        return;
    }
    startAttempt(now);
}

void request_flow::on(time_point now, const operation_lost& event)
{
    switch (m_state) {
    case state::Claiming:
        // Claims are idempotent, so a lost one is sent again.
        if (m_claimTries < maxClaimTries && now < m_request.deadline - m_limits.settleMargin)
            claim(now);
        else
            refuse(now, refusal::HomeUnreachable);
        return;
    case state::Dispatching:
        if (event.nothingSent) {
            retryOnOtherWorker(now, refusal::EngineDown, {});
        } else if (mayRepeat()) {
            repeatOnOtherWorker(now, refusal::Lost);
        } else {
            settle(now);
        }
        return;
    case state::Streaming:
        if (mayRepeat())
            repeatOnOtherWorker(now, refusal::Lost);
        else
            settle(now);
        return;
    case state::Revoking:
        retrySettle(now);
        return;
    case state::Closing:
        finish(outcome::Unknown, m_refusal, m_retryAfter, true);
        return;
    case state::Idle:
    case state::Done:
        return;
    }
}

void request_flow::repeatOnOtherWorker(time_point now, refusal reason)
{
    m_mayHaveRun = true;
    retryOnOtherWorker(now, reason, {});
}

void request_flow::on(time_point now, const attempt_failed&)
{
    if (m_state != state::Dispatching && m_state != state::Streaming)
        return;
    if (mayRepeat())
        repeatOnOtherWorker(now, refusal::EngineDown);
    else
        finish(outcome::Unknown, m_headForwarded ? refusal::AnswerBroken : refusal::EngineDown);
}

// Revokes the attempt at its worker daemon, which replies that it never starts or reports its state.
void request_flow::settle(time_point now)
{
    m_state = state::Revoking;
    m_settleBackoff = m_limits.firstSettleRetry;
    m_timer = std::max(now, m_request.deadline - m_limits.settleMargin / 2);
    send(send_revoke { .attempt = m_attempt, .place = m_place });
}

void request_flow::retrySettle(time_point now)
{
    // No reply can arrive before the deadline, so the outcome is reported at once.
    if (now + m_settleBackoff >= m_request.deadline) {
        finish(outcome::Unknown, refusal::Lost, m_limits.retryAfter, m_request.key.has_value());
        return;
    }
    m_timer = now + m_settleBackoff;
    m_settleBackoff *= 2;
    ++m_operation; // A late reply to the lost revoke is ignored.
}

void request_flow::on(time_point now, const revoke_answered& event)
{
    if (m_state != state::Revoking)
        return;
    switch (event.verdict) {
    case revoke_verdict::Revoked:
        if (m_isOwnAttempt) {
            retryOnOtherWorker(now, refusal::Lost, m_limits.retryAfter);
            return;
        }
        // The attempt of another entry VM held the key and now never starts; an attempt of this flow replaces it.
        m_replaces = m_attempt;
        startAttempt(now);
        return;
    case revoke_verdict::Running:
    case revoke_verdict::Finished:
        join(now);
        return;
    case revoke_verdict::Failed:
        finish(outcome::Unknown, m_headForwarded ? refusal::AnswerBroken : refusal::EngineDown);
        return;
    case revoke_verdict::Forgotten:
        finish(outcome::Unknown, refusal::AnswerGone);
        return;
    }
}

void request_flow::on(time_point now, const other_incarnation_answered&)
{
    if (mayRepeat()) {
        repeatOnOtherWorker(now, refusal::OtherIncarnation);
        return;
    }
    // The state of the attempt was lost with the earlier incarnation. Further revokes cannot recover it, so the outcome
    // is reported at once.
    finish(outcome::Unknown, m_headForwarded ? refusal::AnswerBroken : refusal::OtherIncarnation);
}

void request_flow::join(time_point)
{
    if (++m_joins > maxJoins) {
        finish(outcome::Unknown, refusal::AnswerBroken);
        return;
    }
    m_state = state::Streaming;
    m_timer = m_request.deadline;
    send(send_join { .attempt = m_attempt, .place = m_place, .offset = m_forwarded });
}

void request_flow::on(time_point, const answer_head& event)
{
    if (m_state != state::Dispatching && m_state != state::Streaming)
        return;
    m_state = state::Streaming;
    m_timer = m_request.deadline;
    if (m_headForwarded)
        return;
    m_headForwarded = true;
    m_actions.emplace_back(forward_head { event.status, event.contentType });
}

void request_flow::on(time_point now, const answer_bytes& event)
{
    if (m_state != state::Streaming)
        return;
    if (event.offset > m_forwarded) {
        // Bytes were lost in transit; requests the rest again from the caller's position.
        join(now);
        return;
    }
    const auto known = m_forwarded - event.offset;
    if (known >= event.bytes.size())
        return;
    m_forwarded += event.bytes.size() - known;
    m_actions.emplace_back(forward_bytes { event.bytes.substr(known) });
}

void request_flow::on(time_point now, const answer_end& event)
{
    if (m_state != state::Streaming)
        return;
    if (event.totalBytes != m_forwarded) {
        join(now);
        return;
    }
    finish(outcome::Answer, refusal::None);
}

void request_flow::on(time_point now, const timer_fired&)
{
    if (now < m_timer)
        return;
    switch (m_state) {
    case state::Claiming:
        on(now, operation_lost {});
        return;
    case state::Dispatching:
        settle(now);
        return;
    case state::Revoking:
        if (now >= m_request.deadline - m_limits.settleMargin / 4) {
            finish(outcome::Unknown, refusal::Lost, m_limits.retryAfter, m_request.key.has_value());
            return;
        }
        m_timer = std::min(m_request.deadline, now + m_limits.settleMargin);
        send(send_revoke { .attempt = m_attempt, .place = m_place });
        return;
    case state::Streaming:
        finish(outcome::Unknown, refusal::AnswerBroken);
        return;
    case state::Closing:
        finish(outcome::Unknown, m_refusal, m_retryAfter, true);
        return;
    case state::Idle:
    case state::Done:
        return;
    }
}

void request_flow::on(time_point, const caller_gone&)
{
    // A keyed attempt continues, because the caller may retry and join it. Any other is revoked if it is still waiting.
    if (m_state == state::Dispatching && !m_request.key)
        send(send_revoke { .attempt = m_attempt, .place = m_place });
    if (m_state == state::Streaming && !m_request.key && m_request.idempotent)
        m_actions.emplace_back(send_cancel { m_attempt, m_place });
    finish(outcome::Unknown, refusal::CallerGone);
}

// Ends a request whose attempts are all proven never to start, unless `m_mayHaveRun` is set. Reports "not run" only if
// no earlier attempt of the caller can run either.
void request_flow::refuse(time_point now, refusal reason, std::chrono::milliseconds retryAfter)
{
    m_refusal = reason;
    m_retryAfter = retryAfter.count() > 0 ? retryAfter : m_limits.retryAfter;
    if (m_mayHaveRun) {
        finish(outcome::Unknown, reason, m_retryAfter);
        return;
    }
    // A request without a key, or with attempt number 1, has no attempts besides those of this flow.
    if (!m_request.key || m_request.attemptNumber == 1) {
        finish(outcome::NotRun, reason, m_retryAfter, m_request.key.has_value());
        return;
    }
    const bool isHomeReachable = reason != refusal::HomeUnreachable;
    if (m_request.attemptNumber > 1 && isHomeReachable) {
        m_state = state::Closing;
        m_timer = std::max(now, m_request.deadline - m_limits.settleMargin / 4);
        send(send_close { .home = m_home,
            .key = { m_request.customer, *m_request.key },
            .attemptNumber = m_request.attemptNumber,
            .ticketIncarnation = m_request.ticketIncarnation,
            .releases = m_replaces });
        return;
    }
    // Without attempt numbers, an earlier attempt may still be in transit to the home, so "not run" is not proven.
    finish(outcome::Unknown, reason, m_retryAfter, true);
}

void request_flow::on(time_point, const close_answered& event)
{
    if (m_state != state::Closing)
        return;
    const bool closed = event.reply.verdict == claim_verdict::Granted || event.reply.verdict == claim_verdict::Closed;
    finish(closed ? outcome::NotRun : outcome::Unknown, m_refusal, m_retryAfter, true);
}

void request_flow::finish(outcome result, refusal reason, std::chrono::milliseconds retryAfter, bool sameKey)
{
    m_state = state::Done;
    m_actions.emplace_back(finish_request { result, reason, retryAfter, sameKey });
}

} // namespace coltsfootbend
