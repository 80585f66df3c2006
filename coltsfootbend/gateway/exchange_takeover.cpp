// The part of `exchange` that decides whether another server takes a request over from a silent one, and how.

#include "coltsfootbend/base/log_event.h"
#include "coltsfootbend/gateway/exchange.h"
#include "coltsfootbend/gateway/exchange_detail.h"

#include <utility>

namespace coltsfootbend {

namespace {

// Time for which another server must have been able to take over a request before that is sent to it: at two checks of
// the watchdog in a row. When all servers go on after a pause, some of them send a moment before the others.
constexpr std::chrono::milliseconds takeoverDelay { 80 };

error unresponsiveServerError()
{
    return { error_kind::TimedOut, "the server was unresponsive for too long", "Check the server's log" };
}

} // namespace

const char* toString(takeover_state state)
{
    switch (state) {
    case takeover_state::NotDue:
        return "not_due";
    case takeover_state::NotAllowed:
        return "not_allowed";
    case takeover_state::NoRetry:
        return "no_retry";
    case takeover_state::NoServer:
        return "no_server";
    case takeover_state::Considered:
        return "considered";
    case takeover_state::Sent:
        return "sent";
    }
    return "unknown";
}

bool exchange::mayUseSecondAttempt(time_point now)
{
    return !m_caller->isDisconnected && !m_isRecalled && !m_isStopped && !isTooLateInStop(now)
        && !reasonAgainstRetry(true) && !quarantinedUntil(now) && m_context.quarantine.mayTryAnotherServer(suspects());
}

void exchange::prepareSecondAttempt()
{
    const auto now = clock_type::now();
    if (m_secondAttempt && m_secondAttempt->hasOutcome() && !isSecondAttemptReady())
        m_secondAttempt.reset();
    if (!m_secondAttempt)
        m_takeover = tryTakeover(now);
}

takeover_state exchange::tryTakeover(time_point now)
{
    if (!mayUseSecondAttempt(now))
        return takeover_state::NotAllowed;
    if (!m_retryBudget->hasRetry(now))
        return takeover_state::NoRetry;
    auto request = pickRequest();
    request.silentSince = m_awaitingSince;
    request.ahead = m_context.held.waiting(m_deployment);
    request.isInquiry = !m_takeoverPossibleSince || now < *m_takeoverPossibleSince + takeoverDelay;
    const auto picked = m_context.picker.pick(request, now);
    if (!picked) {
        m_takeoverPossibleSince.reset();
        return takeover_state::NoServer;
    }
    if (!m_takeoverPossibleSince)
        m_takeoverPossibleSince = now;
    if (request.isInquiry || !m_context.picker.notices().tryAcquire(picked->server.instance(), now)
        || !m_retryBudget->takeRetry(now))
        return takeover_state::Considered;
    m_holdsUnusedRetry = true;
    m_secondAttempt = std::make_unique<second_attempt>(m_context.runtime, m_context.connections,
        second_attempt::options { .picked = *picked,
            .deadline = m_deadline + deadlineGrace,
            .onConnected = [this] { return beginSecondAttempt(); },
            .matchesRequest = [this](const http_head& head) { return matchesRequest(head); },
            .hasBegun
            = [this](const http_head& head, const std::string& received) { return hasBegunAnswer(head, received); },
            .onEnded = [this] { onSecondAttemptEnded(); } });
    return takeover_state::Sent;
}

std::optional<http_request> exchange::beginSecondAttempt()
{
    const auto now = clock_type::now();
    const auto& picked = m_secondAttempt->picked();
    if (!mayUseSecondAttempt(now) || m_context.picker.notices().isUnavailable(picked.server.instance(), now))
        return std::nullopt;
    m_holdsUnusedRetry = false;
    countInFlight(picked.server.instance(), now);
    recordSent(picked);
    return requestTo(picked.server, now);
}

bool exchange::hasBegunAnswer(const http_head& head, const std::string& received) const
{
    if (m_route->kind != route_kind::Stream || !isSuccess(head.status)
        || !isUsableSuccess(m_context.codec.readBackend(head)))
        return true;
    return !event_splitter(m_events.lastEventId()).feed(received).empty();
}

void exchange::returnUnusedRetry()
{
    if (std::exchange(m_holdsUnusedRetry, false))
        m_retryBudget->returnRetry();
}

bool exchange::isSecondAttemptReady() const
{
    if (!m_secondAttempt || !m_secondAttempt->hasOutcome() || !m_secondAttempt->head())
        return false;
    const auto& head = *m_secondAttempt->head();
    return isSuccess(head.status) && isUsableSuccess(m_context.codec.readBackend(head));
}

void exchange::onSecondAttemptEnded()
{
    if (m_isAwaitingSecondAttempt)
        return;
    if (!isSecondAttemptReady())
        recordFailedSecondAttempt();
    else if (m_caller->connection)
        m_caller->connection->close(); // The fiber that awaits the first server continues with the second one.
}

void exchange::recordFailedSecondAttempt()
{
    returnUnusedRetry();
    if (m_secondAttempt->wasDeclined())
        return;
    const auto& picked = m_secondAttempt->picked();
    const auto& head = m_secondAttempt->head();
    const auto now = clock_type::now();
    if (!m_secondAttempt->sentAt())
        countInFlight(picked.server.instance(), now);
    const auto metadata = head ? m_context.codec.readBackend(*head) : response_metadata {};
    if (head) {
        m_context.picker.onDataReceived(picked.server.instance(), now);
        receiveServerState(picked.server, metadata, *m_secondAttempt->sentAt());
    }
    m_mayHaveRun = m_mayHaveRun || (m_secondAttempt->sentAt() && !metadata.isNotRun);
    auto outcome = metadata.isNotRun ? backend_outcome::Busy : backend_outcome::Failed;
    if (!head)
        outcome = now >= m_deadline ? backend_outcome::Abandoned : backend_outcome::Broken;
    recordOutcome(picked, outcome);
    logEvent(log_event::RequestFailed,
        logFields() + " backend=" + picked.server.id.text() + " second_attempt=yes why=\""
            + (head ? "status " + std::to_string(head->status) : toString(head.error()))
            + "\" request=" + shortName(fingerprint()) + " parts=" + joinTexts(m_callerMetadata.promptParts));
    if (!head && m_secondAttempt->sentAt())
        reportBroken(picked, head.error(), *m_secondAttempt->sentAt(), std::nullopt);
}

bool exchange::mayAdoptSecondAttempt() const
{
    return m_secondAttempt && m_secondAttempt->sentAt() && (!m_secondAttempt->hasOutcome() || isSecondAttemptReady());
}

void exchange::cancelSecondAttempt()
{
    if (!m_secondAttempt)
        return;
    returnUnusedRetry();
    if (mayAdoptSecondAttempt())
        recordOutcome(m_secondAttempt->picked(), backend_outcome::Abandoned);
    m_secondAttempt.reset();
}

exchange::next_step exchange::moveToSecondAttempt(const picked_backend& silent)
{
    if (m_caller->isDisconnected) {
        abandon(silent);
        return next_step::TryAgain; // `runAttempts` ends the exchange.
    }
    recordOutcome(silent, backend_outcome::Unresponsive);
    logEvent(log_event::RequestFailed,
        logFields() + " backend=" + silent.server.id.text() + " events=" + std::to_string(m_events.eventCount())
            + " why=\"" + toString(unresponsiveServerError())
            + "\" moved_to=" + m_secondAttempt->picked().server.id.text());
    m_events.dropPartialEvent();
    m_mayHaveRun = true;
    std::erase(m_excludedServers, silent.server.instance()); // It is sound and may take the request again.
    return adoptSecondAttempt();
}

exchange::next_step exchange::adoptSecondAttempt()
{
    m_isAwaitingSecondAttempt = true;
    m_sentAt = *m_secondAttempt->sentAt();
    m_begunAt.reset();
    m_isRecalled = false;
    m_caller->connection = m_secondAttempt->takeConnection();
    m_secondAttempt->waitForEnd();
    m_isAwaitingSecondAttempt = false;
    const auto adopted = std::move(m_secondAttempt);
    if (!adopted->head())
        return handleFailure(adopted->picked(), adopted->head().error());
    m_receivedBeforehand = adopted->received();
    const auto connection = m_caller->connection;
    watched_response watched(
        m_context.watchdog, adopted->picked().server.instance(), [this] { prepareSecondAttempt(); });
    return relayResponse(adopted->picked(), *connection, *adopted->head(), watched, m_sentAt);
}

} // namespace coltsfootbend
