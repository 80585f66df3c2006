#include "coltsfootbend/gateway/exchange.h"

#include "coltsfootbend/base/log_event.h"
#include "coltsfootbend/base/text.h"
#include "coltsfootbend/gateway/exchange_detail.h"
#include "coltsfootbend/net/port_probe.h"

#include <algorithm>
#include <utility>

namespace coltsfootbend {

namespace {

constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

// Added to the priority of a returning caller (higher comes later). It is already late, so it must not delay callers
// that can still be served in time.
constexpr std::uint32_t returningPriorityPenalty = 3;
// A request that gets a server sooner than this has not waited.
constexpr std::chrono::milliseconds minHoldTime { 1 };
// A request fails once this many servers could not be reached and the time below has passed since the first of these
// attempts. A refused connection takes no time, so any number of them is tried.
constexpr std::uint32_t maxUnreachableServers = 3;
constexpr std::chrono::milliseconds maxUnreachableTime { 900 };
// A server that is lost sooner after a request was sent cannot have crashed because of it: no request starts to run
// within this time.
constexpr std::chrono::milliseconds minTimeToCrash { 10 };
// Time limit of a probe of a server's port: several round trips between the data centres farthest apart.
constexpr std::chrono::milliseconds probeTimeout { 300 };
// Limit in bytes for the body of an error response, which is always buffered.
constexpr std::size_t maxErrorBodySize = std::size_t { 64 } * 1024;
// Limit in bytes for the body of a success that ends with its connection. It is passed on only once it is complete.
constexpr std::size_t maxUnforwardedBodySize = std::size_t { 16 } * 1024 * 1024;
// Limit in bytes for an event that is not complete yet. Events hold a few tokens.
constexpr std::size_t maxPendingEventSize = std::size_t { 256 } * 1024;
// Retry-After where no better estimate exists.
constexpr std::chrono::milliseconds defaultRetryAfter { 1000 };

std::string formatSeconds(duration length) { return fixedText(toMilliseconds(length) / 1000, 2); }

} // namespace

const char* toString(final_reason reason)
{
    switch (reason) {
    case final_reason::Deadline:
        return "deadline";
    case final_reason::NotRepeatable:
        return "not_repeatable";
    case final_reason::AttemptsUsed:
        return "attempts_used";
    case final_reason::RetryBudgetUsed:
        return "retry_budget_used";
    case final_reason::NoServer:
        return "no_server";
    case final_reason::Unreachable:
        return "unreachable";
    case final_reason::Quarantined:
        return "quarantined";
    case final_reason::Stopping:
        return "stopping";
    case final_reason::UnusableResponse:
        return "unusable_response";
    }
    return "unknown";
}

exchange::exchange(gateway_context& context, const http_request& request, http_responder& responder)
    : m_context(context)
    , m_request(request)
    , m_responder(responder)
    , m_catalogue(context.catalogue)
    , m_arrivedAt(clock_type::now())
    , m_callerMetadata(context.codec.readCaller(request))
    , m_events(m_callerMetadata.lastEventId)
    , m_pendingEvent(context.buffers)
{
}

void exchange::run()
{
    if (!admit())
        return;
    m_responder.watch([caller = m_caller] {
        caller->isDisconnected = true;
        if (caller->connection)
            caller->connection->close();
    });
    m_context.running.insert(this);
    const struct releaser {
        exchange& owner;
        ~releaser() { owner.release(); }
    } releasedAtEnd { *this };
    runAttempts();
}

void exchange::endForStop()
{
    m_isStopped = true;
    if (!m_isAwaitingSecondAttempt)
        cancelSecondAttempt();
    if (m_caller->connection)
        m_caller->connection->close();
}

void exchange::release()
{
    m_context.running.erase(this);
    cancelSecondAttempt();
    for (const auto& server : m_inFlightAt)
        m_context.picker.onRequestFinished(server, backend_outcome::Abandoned, std::nullopt, clock_type::now());
    if (!m_inFlightAt.empty() && m_caller->connection)
        m_caller->connection->close();
    m_inFlightAt.clear();
    m_caller->connection.reset();
}

bool exchange::admit()
{
    if (!m_catalogue) {
        m_context.metrics.count("refused_total", { { "reason", "no_configuration" } });
        sendError(statusUnavailable,
            { error_kind::Unavailable, "this process does not know the configuration yet", "Come back in a moment" },
            defaultRetryAfter);
        return false;
    }
    const auto admitted = admitRequest(*m_catalogue, m_request, m_callerMetadata, m_context.patience, m_arrivedAt);
    if (!admitted) {
        refuseUnknown(admitted.error());
        return false;
    }
    m_route = admitted->matched;
    m_deployment = admitted->deployment;
    m_deadline = admitted->deadline;
    if (isTooLateInStop(m_arrivedAt)) {
        refuseStopping();
        return false;
    }
    m_customer = admitted->caller;
    m_homeRegions = admitted->homeRegions;
    m_retryBudget = m_context.retryBudgets.budgetOf(m_deployment);
    m_isReturning = admitted->isReturning;
    m_context.metrics.count("requests_total", { { "route", m_route->name } });
    return true;
}

// Callers take 401 and 404 as final. A configuration that may be behind does not know the keys and routes of a later
// one, so the answer is then that the request may come back.
void exchange::refuseUnknown(const refused_request& refused)
{
    const std::string unknown = toString(refused.unknown);
    const bool isFinal = !m_context.isConfigurationCurrent || m_context.isConfigurationCurrent();
    m_context.metrics.count("refused_total", { { "reason", "unknown_" + unknown + (isFinal ? "" : "_for_now") } });
    if (isFinal) {
        sendError(refused.status, refused.why);
        return;
    }
    m_context.outdated.onRefused();
    sendError(statusUnavailable,
        { error_kind::Unavailable, "not run: the configuration known here may lack this " + unknown,
            "Come back in a moment" },
        defaultRetryAfter);
}

std::uint32_t exchange::priority() const
{
    auto base = m_route->priority;
    if (m_customer && m_customer->priority)
        base = *m_customer->priority;
    return m_isReturning && !m_hasBegunStream ? base + returningPriorityPenalty : base;
}

void exchange::runAttempts()
{
    while (true) {
        if (m_caller->isDisconnected) {
            if (!m_hasBegunStream)
                recordUnserved("the caller left");
            logEvent(log_event::CallerDisconnected, logFields() + " takeover=" + toString(m_takeover));
            return;
        }
        if (m_isStopped) {
            finishWithoutServer(final_reason::Stopping);
            return;
        }
        const auto now = clock_type::now();
        if (now >= m_deadline) {
            finishWithoutServer(final_reason::Deadline);
            return;
        }
        // Checked before each attempt, because the request may have waited.
        if (isTooLateInStop(now)) {
            finishWithoutServer(final_reason::Stopping);
            return;
        }
        // Checked before each attempt, because the quarantine may begin while the request waits.
        if (const auto until = quarantinedUntil(now)) {
            refuseQuarantined(now, *until);
            return;
        }
        const auto outcome = m_context.held.acquire(
            m_context.picker, queuedRequest(),
            [this] {
                const auto checkedAt = clock_type::now();
                return m_caller->isDisconnected || m_isStopped || isTooLateInStop(checkedAt)
                    || quarantinedUntil(checkedAt);
            },
            [this] { return logFields(); });
        m_wasHeld = m_wasHeld || clock_type::now() - now >= minHoldTime;
        if (!outcome)
            continue;
        const auto nextStep = *outcome ? attemptOnServer(**outcome) : handleRefusal(outcome->error());
        if (nextStep == next_step::Finished)
            return;
    }
}

std::optional<time_point> exchange::quarantinedUntil(time_point now)
{
    return m_context.quarantine.isActive() ? m_context.quarantine.refusedUntil(suspects(), now) : std::nullopt;
}

void exchange::refuseQuarantined(time_point now, time_point until)
{
    if (m_hasBegunStream || m_mayHaveRun || m_serverErrorResponse) {
        finishWithoutServer(final_reason::Quarantined);
        return;
    }
    m_context.metrics.count("refused_total", { { "reason", "quarantined" } });
    sendError(statusUnavailable,
        { error_kind::Denied, "not run: servers have crashed under this request each time",
            "Change the request, or come back after the time in Retry-After" },
        until - now);
}

void exchange::refuseStopping()
{
    m_context.metrics.count("refused_total", { { "reason", "stopping" } });
    sendError(statusUnavailable,
        { error_kind::Unavailable, "not run: this process stops", "Send it again on a new connection" },
        duration::zero());
}

bool exchange::isTooLateInStop(time_point now) const
{
    return !m_hasBegunStream
        && !m_context.stop.mayBegin(m_route->name, { .arrivedAt = m_arrivedAt, .deadline = m_deadline }, now);
}

pick_request exchange::pickRequest() const
{
    return { .deployment = m_deployment,
        .latencyTarget = m_route->latencyTarget,
        .gapTarget = m_route->gapTarget,
        .deadline = m_deadline,
        .isReturning = m_isReturning,
        .isResumption = m_hasBegunStream,
        .priority = priority(),
        .homeRegions = m_homeRegions,
        .excluded = m_excludedServers };
}

queued_request exchange::queuedRequest() const
{
    const bool hasOwnPriority = m_customer && m_customer->priority;
    return { .pick = pickRequest(),
        .held = { .arrivedAt = m_arrivedAt,
            .deadline = m_deadline,
            .latencyTarget = m_route->latencyTarget,
            .isReturning = m_isReturning,
            .isHeld = m_wasHeld },
        .priority = hasOwnPriority ? *m_customer->priority : m_route->priority,
        .customer = m_customer ? m_customer->id : customer_id(),
        .isOrdered = m_catalogue->servesByPriority(m_deployment),
        .isRepeated = m_wasHeld || m_sentCount > 0,
        .resumableUntil = std::min<time_point>(m_deadline, m_lastEventAt + callerGapLimit) };
}

exchange::next_step exchange::handleRefusal(const refused_pick& refused)
{
    if (m_hasBegunStream) {
        finishWithoutServer(final_reason::NoServer);
        return next_step::Finished;
    }
    const bool areAllTried = refused.reason == refusal_reason::NoServers && !m_excludedServers.empty();
    if (areAllTried && m_unreachableCount >= maxUnreachableServers) {
        finishWithoutServer(final_reason::Unreachable);
        return next_step::Finished;
    }
    // If all other servers are unavailable, servers that were tried already may be tried again.
    if (areAllTried && m_route->mayRepeat() && m_sentCount < m_route->maxAttempts) {
        m_excludedServers.clear();
        return next_step::TryAgain;
    }
    if (m_mayHaveRun || m_serverErrorResponse) {
        m_retryAfter = refused.retryAfter;
        finishWithoutServer(final_reason::NoServer);
        return next_step::Finished;
    }
    m_context.metrics.count("refused_total", { { "reason", toString(refused.reason) } });
    sendError(statusUnavailable,
        { error_kind::Overloaded, std::string("not run: ") + toString(refused.reason),
            "Come back after the time in Retry-After" },
        m_context.picker.scheduleRetry(pickRequest(), refused, clock_type::now()));
    return next_step::Finished;
}

exchange::next_step exchange::attemptOnServer(const picked_backend& picked)
{
    const auto& server = picked.server;
    m_inFlightAt.push_back(server.instance());
    if (m_sentCount > 0 && !m_retryBudget->takeRetry(clock_type::now())) {
        releasePlace(server.instance());
        finishWithoutServer(final_reason::RetryBudgetUsed);
        return next_step::Finished;
    }
    if (m_unreachableCount == 0)
        m_unreachableLimit = clock_type::now() + maxUnreachableTime;
    auto connection = m_context.connections.acquire(server, m_deadline, !m_route->mayRepeat());
    if (m_caller->isDisconnected || m_isStopped) {
        if (connection)
            (*connection)->close();
        releasePlace(server.instance());
        return next_step::TryAgain; // `runAttempts` ends the exchange.
    }
    if (!connection) {
        recordOutcome(picked, backend_outcome::Broken);
        logEvent(log_event::RequestFailed,
            logFields() + " backend=" + server.id.text() + " not_run=yes why=\"" + toString(connection.error()) + "\"");
        m_excludedServers.push_back(server.instance());
        ++m_unreachableCount;
        if (m_unreachableCount < maxUnreachableServers || clock_type::now() < m_unreachableLimit)
            return next_step::TryAgain;
        finishWithoutServer(final_reason::Unreachable);
        return next_step::Finished;
    }
    const auto now = clock_type::now();
    // While the connection was opened, the server may have asked for a backoff or announced its leaving, and the
    // request may have been quarantined.
    if (m_context.picker.notices().isUnavailable(server.instance(), now) || quarantinedUntil(now)) {
        (*connection)->close();
        releasePlace(server.instance());
        return next_step::TryAgain;
    }
    recordSent(picked);
    m_sentAt = now;
    m_begunAt.reset();
    m_isRecalled = false;
    m_caller->connection = *connection;
    const auto sent = (*connection)->send(requestTo(server, now), m_deadline);
    const auto nextStep = sent ? receiveResponse(picked, **connection, now) : handleFailure(picked, sent.error());
    m_caller->connection.reset();
    return nextStep;
}

void exchange::recordSent(const picked_backend& picked)
{
    const auto& server = picked.server;
    ++m_sentCount;
    m_excludedServers.push_back(server.instance());
    m_takeoverPossibleSince.reset();
    logEvent(m_sentCount == 1 ? log_event::RequestSent : log_event::RequestResumed,
        logFields() + " backend=" + server.id.text() + " attempt=" + std::to_string(m_sentCount)
            + " load=" + std::to_string(picked.load).substr(0, 5) + " report_age_ms="
            + (picked.reportAge ? std::to_string(std::lround(toMilliseconds(*picked.reportAge))) : "none")
            + " predicted_ms=" + std::to_string(std::lround(toMilliseconds(picked.predictedLatency))) + " time_left_ms="
            + std::to_string(std::lround(toMilliseconds(m_callerMetadata.timeLeft.value_or(duration::zero()))))
            + " returning=" + (m_isReturning ? "yes" : "no"));
}

http_request exchange::requestTo(const backend_server& server, time_point now) const
{
    return m_context.codec.toBackend(m_request,
        { .server = server.id,
            .customer = m_customer ? m_customer->id : customer_id(),
            .timeLeft = m_deadline - now,
            .priority = priority(),
            .resumeAfter = m_events.lastEventId() });
}

bool exchange::matchesRequest(const http_head& head) const
{
    const auto& id = m_context.codec.readBackend(head).requestId;
    return id.empty() || id == m_callerMetadata.requestId;
}

exchange::next_step exchange::receiveResponse(
    const picked_backend& picked, backend_connection& connection, time_point sentAt)
{
    watched_response watched(m_context.watchdog, picked.server.instance(), [this] { prepareSecondAttempt(); });
    m_awaitingSince = sentAt;
    watched.setOverdueTimes(
        headOverdueTimes(*m_route, picked.predictedLatency, sentAt, m_hasBegunStream ? m_lastEventAt : m_arrivedAt));
    const request_quarantine::pending_request pending(
        m_context.quarantine, [this](time_point now) { recallIfRefused(now); });
    const auto head = connection.readHead(
        m_deadline + deadlineGrace, [this](const http_head& received) { return matchesRequest(received); });
    watched.setOverdueTimes({});
    if (isSecondAttemptReady())
        return moveToSecondAttempt(picked);
    if (!head)
        return handleFailure(picked, head.error());
    return relayResponse(picked, connection, *head, watched, sentAt);
}

exchange::next_step exchange::relayResponse(const picked_backend& picked, backend_connection& connection,
    const http_head& head, watched_response& watched, time_point sentAt)
{
    onDataReceived(picked);
    m_begunAt = clock_type::now();
    const auto metadata = m_context.codec.readBackend(head);
    receiveServerState(picked.server, metadata, sentAt);
    if (isSuccess(head.status) && !isUsableSuccess(metadata))
        return handleFailure(
            picked, { error_kind::BadInput, "a successful response without signature or with a content encoding", "" });
    if (isSuccess(head.status) && m_route->kind == route_kind::Stream)
        return relayStream(picked, connection, head, watched, sentAt);
    if (isSuccess(head.status))
        cancelSecondAttempt();
    return relayBody(picked, connection, head, sentAt);
}

void exchange::onDataReceived(const picked_backend& picked)
{
    m_context.picker.onDataReceived(picked.server.instance(), clock_type::now());
    m_takeoverPossibleSince.reset();
}

void exchange::receiveServerState(const backend_server& server, const response_metadata& metadata, time_point sentAt)
{
    receiveNotice(server, metadata, sentAt);
    if (metadata.load)
        m_context.picker.receiveResponseLoad(
            server.instance(), metadata.load->running, metadata.load->waiting, clock_type::now());
}

// Where servers crash together, a request that moves to the next server may reach it just as that server ends. Such a
// loss is not attributed to the request.
void exchange::reportBroken(
    const picked_backend& picked, const error& why, time_point sentAt, std::optional<time_point> begunAt)
{
    const auto now = clock_type::now();
    if (why.kind != error_kind::Lost || now < sentAt + minTimeToCrash)
        return;
    m_context.quarantine.onExchangeBroken(picked.server,
        { .request = fingerprint(), .parts = m_callerMetadata.promptParts, .begunAt = begunAt, .brokenAt = now });
}

void exchange::receiveNotice(const backend_server& server, const response_metadata& metadata, time_point sentAt)
{
    if (metadata.isMisdirected)
        return;
    const auto changes
        = m_context.picker.notices().receiveAnswer(server.instance(), metadata.notice, sentAt, clock_type::now());
    if (changes.empty())
        return;
    m_context.held.onChanged();
    logEvent(log_event::BackendNotice, "backend=" + server.id.text() + " " + changes + " source=answer");
    if (m_context.onNotice)
        m_context.onNotice(server);
}

result<void> exchange::checkUnframedEnd(const picked_backend& picked, const backend_connection& connection)
{
    if (!connection.endsWithConnection())
        return {};
    if (m_route->kind == route_kind::Stream && !m_events.lastEventId() && m_events.eventCount() == 0)
        return fail(error_kind::Lost, "the stream ended without any event", "Check the backend server's log");
    if (keepsConnections(m_context.runtime, picked.server.address, clock_type::now() + probeTimeout))
        return {};
    return fail(error_kind::Lost, "the server did not live on after a response without framing",
        "Check the backend server's log");
}

exchange::next_step exchange::relayBody(
    const picked_backend& picked, backend_connection& connection, const http_head& head, time_point sentAt)
{
    const auto latency = clock_type::now() - sentAt;
    const bool isForwardable = isSuccess(head.status) && !connection.endsWithConnection() && !m_hasBegunStream;
    const auto maxSuccessBody = isForwardable ? body_relay::options().maxBuffered : maxUnforwardedBodySize;
    const auto maxBufferedBody = isSuccess(head.status) ? maxSuccessBody : maxErrorBodySize;
    body_relay relay(m_responder, m_context.buffers,
        { .head = { head.status, m_context.codec.toCaller(head) },
            .mayForward = isForwardable,
            .maxBuffered = maxBufferedBody });
    while (true) {
        auto bytes = connection.readBody(m_deadline + deadlineGrace);
        if (!bytes)
            return handleFailure(picked, bytes.error());
        if (!*bytes)
            break;
        onDataReceived(picked);
        const auto added = relay.add(**bytes);
        m_hasBegunBody = relay.hasBegun();
        if (!added && m_hasBegunBody) {
            m_caller->isDisconnected = true;
            abandon(picked);
            return next_step::TryAgain; // `runAttempts` ends the exchange.
        }
        if (!added)
            return handleFailure(picked, added.error());
    }
    if (const auto checked = checkUnframedEnd(picked, connection); !checked)
        return handleFailure(picked, checked.error());
    const auto metadata = m_context.codec.readBackend(head);
    if (connection.isReusable())
        m_context.connections.release(picked.server, m_caller->connection, metadata.keepAliveTimeout);
    if (metadata.isNotRun)
        return handleNotRun(picked, head, metadata);
    recordOutcome(picked, isSuccess(head.status) ? backend_outcome::Answered : backend_outcome::Failed, latency);
    if (head.status >= 500)
        return handleServerError(relay.buffered());
    if (m_hasBegunStream) { // A whole response cannot continue a stream.
        if (mayAdoptSecondAttempt())
            return adoptSecondAttempt();
        finishWithoutServer(final_reason::UnusableResponse);
        return next_step::Finished;
    }
    cancelSecondAttempt();
    if (isSuccess(head.status))
        clearSuspicion();
    m_retryBudget->recordSuccess();
    if (isSuccess(head.status))
        recordServed();
    else
        m_context.serving.onServed(m_deployment, clock_type::now());
    m_context.metrics.observe("answer_seconds", toMilliseconds(clock_type::now() - m_arrivedAt) / 1000);
    logEvent(log_event::RequestAnswered,
        logFields() + " backend=" + picked.server.id.text() + " status=" + std::to_string(head.status));
    relay.finish();
    return next_step::Finished;
}

exchange::next_step exchange::handleServerError(http_response response)
{
    m_serverErrorResponse = std::move(response);
    m_mayHaveRun = true;
    if (mayAdoptSecondAttempt())
        return adoptSecondAttempt();
    cancelSecondAttempt();
    const auto finalReason = reasonAgainstRetry(true);
    if (!finalReason)
        return next_step::TryAgain;
    finishWithoutServer(*finalReason);
    return next_step::Finished;
}

exchange::next_step exchange::handleNotRun(
    const picked_backend& picked, const http_head& head, const response_metadata& metadata)
{
    if (metadata.atFault && *metadata.atFault != picked.server.address && !metadata.isMisdirected)
        m_context.picker.onGroupFailed(picked.server.instance(), clock_type::now());
    recordOutcome(picked, metadata.isMisdirected ? backend_outcome::Replaced : backend_outcome::Busy);
    logEvent(log_event::RequestFailed,
        logFields() + " backend=" + picked.server.id.text() + " not_run=yes status=" + std::to_string(head.status)
            + (metadata.atFault ? " at_fault=" + toString(*metadata.atFault) : ""));
    if (mayAdoptSecondAttempt())
        return adoptSecondAttempt();
    cancelSecondAttempt(); // It must not be sent later: the final response may state that no server ran the request.
    const auto finalReason = reasonAgainstRetry(false);
    if (!finalReason)
        return next_step::TryAgain;
    finishWithoutServer(*finalReason);
    return next_step::Finished;
}

exchange::next_step exchange::relayStream(const picked_backend& picked, backend_connection& connection,
    const http_head& head, watched_response& watched, time_point sentAt)
{
    std::optional<duration> latency;
    while (true) {
        m_awaitingSince = clock_type::now();
        watched.setOverdueTimes(streamOverdueTimes(*m_route, m_awaitingSince));
        auto bytes = readStream(connection);
        // Nothing is read from the server until the caller has taken the events, which may take long.
        watched.setOverdueTimes({});
        // A complete response wins. Other data that arrived just as the connection was closed is received again.
        if (isSecondAttemptReady() && (!bytes || *bytes))
            return moveToSecondAttempt(picked);
        if (!bytes)
            return handleFailure(picked, bytes.error());
        if (*bytes)
            onDataReceived(picked);
        if (*bytes && !latency)
            latency = clock_type::now() - sentAt;
        const auto completeEvents = *bytes ? m_events.feed(**bytes) : std::string();
        if (const auto checked = checkPendingEvent(); !checked)
            return handleFailure(picked, checked.error());
        if (!*bytes && m_events.hasPartialEvent())
            return handleFailure(picked, { error_kind::Lost, "the stream ended inside an event", "" });
        if (!*bytes) {
            if (const auto checked = checkUnframedEnd(picked, connection); !checked)
                return handleFailure(picked, checked.error());
        }
        if (!completeEvents.empty() || !*bytes)
            cancelSecondAttempt();
        if (!m_hasBegunStream && (!completeEvents.empty() || !*bytes)) {
            m_hasBegunStream = true;
            m_context.metrics.observe("first_event_seconds", toMilliseconds(clock_type::now() - m_arrivedAt) / 1000);
            if (!m_responder.begin({ head.status, m_context.codec.toCaller(head) }))
                m_caller->isDisconnected = true;
        }
        if (!completeEvents.empty()) {
            m_lastEventAt = clock_type::now();
            if (!m_responder.write(completeEvents))
                m_caller->isDisconnected = true;
        }
        if (m_caller->isDisconnected) {
            abandon(picked);
            return next_step::TryAgain; // `runAttempts` ends the exchange.
        }
        if (!*bytes)
            break;
    }
    if (connection.isReusable())
        m_context.connections.release(
            picked.server, m_caller->connection, m_context.codec.readBackend(head).keepAliveTimeout);
    recordOutcome(picked, backend_outcome::Answered, latency);
    clearSuspicion();
    m_retryBudget->recordSuccess();
    recordServed();
    logEvent(log_event::RequestAnswered,
        logFields() + " backend=" + picked.server.id.text() + " events=" + std::to_string(m_events.eventCount()));
    (void)m_responder.end();
    return next_step::Finished;
}

result<void> exchange::checkPendingEvent()
{
    const auto size = m_events.pendingSize();
    if (size <= maxPendingEventSize && m_pendingEvent.resize(size))
        return {};
    if (size <= maxPendingEventSize)
        return tl::unexpected(buffersUsedUp());
    return fail(error_kind::BadInput, "an event of the stream does not end", "Check the backend server's log");
}

result<std::optional<std::string>> exchange::readStream(backend_connection& connection)
{
    if (!m_receivedBeforehand.empty())
        return std::optional(std::exchange(m_receivedBeforehand, {}));
    return connection.readBody(m_deadline + deadlineGrace);
}

void exchange::abandon(const picked_backend& picked)
{
    cancelSecondAttempt();
    if (m_caller->connection)
        m_caller->connection->close();
    recordOutcome(picked, backend_outcome::Abandoned);
}

void exchange::recallIfRefused(time_point now)
{
    if (!m_isAwaitingSecondAttempt && m_secondAttempt && !m_secondAttempt->hasOutcome() && quarantinedUntil(now))
        cancelSecondAttempt();
    if (m_begunAt || m_isRecalled || !m_route->mayRepeat() || !m_caller->connection || !quarantinedUntil(now))
        return;
    m_isRecalled = true;
    m_caller->connection->close();
}

exchange::next_step exchange::finishRecalled(const picked_backend& picked)
{
    recordOutcome(picked, backend_outcome::Abandoned);
    logEvent(log_event::RequestFailed,
        logFields() + " backend=" + picked.server.id.text() + " why=\"recalled, because its request is quarantined\"");
    const auto now = clock_type::now();
    if (const auto until = quarantinedUntil(now))
        m_retryAfter = *until - now;
    m_mayHaveRun = true;
    finishWithoutServer(final_reason::Quarantined);
    return next_step::Finished;
}

exchange::next_step exchange::handleFailure(const picked_backend& picked, const error& why)
{
    if (m_caller->connection)
        m_caller->connection->close();
    if (m_caller->isDisconnected) {
        cancelSecondAttempt();
        recordOutcome(picked, backend_outcome::Abandoned);
        return next_step::TryAgain; // `runAttempts` ends the exchange.
    }
    if (m_isRecalled) {
        cancelSecondAttempt();
        return finishRecalled(picked);
    }
    if (m_isStopped) {
        cancelSecondAttempt();
        recordOutcome(picked, backend_outcome::Abandoned);
        m_mayHaveRun = true;
        return next_step::TryAgain; // `runAttempts` ends the exchange.
    }
    const bool isOverdue = clock_type::now() >= m_deadline;
    // A lack of buffers is this gateway's own.
    const bool isServerFault = !isOverdue && why.kind != error_kind::Overloaded;
    recordOutcome(picked, isServerFault ? backend_outcome::Broken : backend_outcome::Abandoned);
    logEvent(log_event::RequestFailed,
        logFields() + " backend=" + picked.server.id.text() + " events=" + std::to_string(m_events.eventCount())
            + " why=\"" + toString(why) + "\"" + " request=" + shortName(fingerprint())
            + " begun=" + (m_begunAt ? "yes" : "no") + " parts=" + joinTexts(m_callerMetadata.promptParts));
    const bool mayTryAnotherServer = m_context.quarantine.mayTryAnotherServer(suspects());
    reportBroken(picked, why, m_sentAt, m_begunAt);
    m_events.dropPartialEvent();
    (void)m_pendingEvent.resize(0);
    m_mayHaveRun = true;
    if (!isOverdue && mayAdoptSecondAttempt())
        return adoptSecondAttempt();
    cancelSecondAttempt();
    auto finalReason = reasonAgainstRetry(true);
    if (!finalReason && !mayTryAnotherServer)
        finalReason = final_reason::Quarantined;
    if (!finalReason)
        return next_step::TryAgain;
    finishWithoutServer(*finalReason);
    return next_step::Finished;
}

std::optional<final_reason> exchange::reasonAgainstRetry(bool mayHaveRun) const
{
    if (clock_type::now() >= m_deadline)
        return final_reason::Deadline;
    if (m_hasBegunBody || (mayHaveRun && !m_route->mayRepeat()))
        return final_reason::NotRepeatable;
    if (m_sentCount >= m_route->maxAttempts)
        return final_reason::AttemptsUsed;
    return std::nullopt;
}

void exchange::cutStream(final_reason reason)
{
    // Aborting the connection shows the caller that the stream is incomplete, so that it may resume the stream.
    logEvent(log_event::RequestFailed,
        logFields() + " outcome=cut events=" + std::to_string(m_events.eventCount())
            + " sent=" + std::to_string(m_sentCount) + " cause=" + toString(reason));
    m_context.metrics.count("streams_cut_total");
    recordUnserved("cut");
    m_responder.abort();
}

void exchange::finishWithoutServer(final_reason reason)
{
    if (m_hasBegunStream || m_hasBegunBody) {
        cutStream(reason);
        return;
    }
    if (m_serverErrorResponse) {
        recordUnserved("a server's status " + std::to_string(m_serverErrorResponse->head.status));
        logEvent(
            log_event::RequestAnswered, logFields() + " status=" + std::to_string(m_serverErrorResponse->head.status));
        (void)m_responder.send(*m_serverErrorResponse);
        return;
    }
    if (reason == final_reason::Stopping && !m_mayHaveRun) {
        refuseStopping();
        return;
    }
    if (clock_type::now() >= m_deadline) {
        sendError(statusGatewayTimeout,
            { error_kind::TimedOut, "no answer came in time", "It may have run; look before repeating it" });
        return;
    }
    if (m_mayHaveRun) {
        sendError(statusBadGateway,
            { error_kind::Lost, "the server's answer was lost", "It may have run; look before repeating it" },
            m_retryAfter);
        return;
    }
    m_context.metrics.count("refused_total", { { "reason", "servers_refused" } });
    // The picker's result for another attempt now gives the best estimate of when a retry can succeed.
    const auto now = clock_type::now();
    auto nextRequest = pickRequest();
    nextRequest.excluded.clear(); // A new request may be sent to any server.
    nextRequest.isInquiry = true;
    const auto nextPick = m_context.picker.pick(nextRequest, now);
    const auto retryAfter = nextPick ? duration(defaultRetryAfter) : nextPick.error().retryAfter;
    sendError(statusUnavailable,
        { error_kind::Unavailable, "not run: no server took it", "Come back after the time in Retry-After" },
        retryAfter);
}

void exchange::sendError(int status, const error& why, std::optional<duration> retryAfter)
{
    auto response = errorResponse(status, why);
    if (!m_callerMetadata.requestId.empty())
        response.head.headers.push_back(m_context.codec.requestIdHeader(m_callerMetadata.requestId));
    if (retryAfter)
        response.head.headers.push_back({ "Retry-After", formatSeconds(*retryAfter) });
    logEvent(log_event::RequestRefused,
        logFields() + " status=" + std::to_string(status) + " returning=" + (m_isReturning ? "yes" : "no")
            + " sent=" + std::to_string(m_sentCount)
            + " time_left_ms=" + std::to_string(remaining(clock_type::now(), m_deadline).count()) + " why=\""
            + why.message + "\"" + (retryAfter ? " retry_after_s=" + formatSeconds(*retryAfter) : ""));
    m_context.metrics.count("answers_total", { { "status", std::to_string(status) } });
    recordUnserved(std::to_string(status) + " " + why.message);
    (void)m_responder.send(response);
}

void exchange::recordServed()
{
    const auto now = clock_type::now();
    m_context.stop.onAnswered(m_route->name, now - m_arrivedAt, now);
    m_context.serving.onServed(m_deployment, now);
}

void exchange::recordUnserved(const std::string& reason)
{
    m_context.serving.onUnserved(m_deployment, reason, clock_type::now());
}

void exchange::countInFlight(const backend_instance& server, time_point now)
{
    m_context.picker.onRequestSent(server, now);
    m_inFlightAt.push_back(server);
}

void exchange::recordOutcome(const picked_backend& picked, backend_outcome outcome, std::optional<duration> latency)
{
    m_context.metrics.count("attempts_total", { { "outcome", toString(outcome) } });
    m_context.picker.onRequestFinished(picked.server.instance(), outcome, latency, clock_type::now());
    std::erase(m_inFlightAt, picked.server.instance());
    m_context.held.onChanged();
}

void exchange::releasePlace(const backend_instance& server)
{
    m_context.picker.onRequestFinished(server, backend_outcome::Abandoned, std::nullopt, clock_type::now());
    std::erase(m_inFlightAt, server);
    m_context.held.onChanged();
}

void exchange::clearSuspicion()
{
    if (m_context.quarantine.isActive())
        m_context.quarantine.onRequestCompleted(suspects());
    else
        m_context.quarantine.onPartsCompleted(m_callerMetadata.promptParts);
}

const std::set<crash_suspect>& exchange::suspects()
{
    if (m_suspects.empty()) {
        m_suspects.insert(suspectOf(fingerprint()));
        for (const auto& part : m_callerMetadata.promptParts)
            m_suspects.insert(suspectOf(part));
    }
    return m_suspects;
}

const request_fingerprint& exchange::fingerprint()
{
    if (m_fingerprint.empty()) {
        const auto host = findHeader(m_request.headers, "Host").value_or("");
        // Identifies the caller by its customer, because a customer may have several keys. Callers of open routes have
        // no customer.
        m_fingerprint = fingerprintOf({ .method = m_request.method,
            .host = host,
            .target = m_request.target,
            .caller = m_customer ? m_customer->id.text() : "",
            .body = m_request.body });
    }
    return m_fingerprint;
}

std::string exchange::logFields() const
{
    return "id=" + (m_callerMetadata.requestId.empty() ? "-" : m_callerMetadata.requestId)
        + " route=" + (m_route ? m_route->name : "-") + " age_ms="
        + std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(clock_type::now() - m_arrivedAt).count());
}

} // namespace coltsfootbend
