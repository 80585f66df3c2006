#include "coltsfootbend/gateway/exchange.h"

#include "coltsfootbend/base/log_event.h"
#include "coltsfootbend/base/text.h"

#include <algorithm>
#include <utility>

namespace coltsfootbend {

namespace {

constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

// A server ends its work at the deadline that it was given, and its own answer says more than ours.
constexpr std::chrono::milliseconds serverAnswerSlack { 80 };
// A response whose first byte takes this many times the objective is looked for elsewhere, if it may run again.
constexpr double silentHeadFactor = 2.5;
// A begun stream that is silent for this long is continued elsewhere. Callers give up after two seconds.
constexpr std::chrono::milliseconds silentStreamLimit { 900 };
// Between two looks for a slot or an open group; about half a pass of an engine.
constexpr std::chrono::milliseconds lookEvery { 30 };
// A caller that was refused before is late already, so it stands behind those that can still be served in time.
constexpr std::uint32_t returningPenalty = 3;
constexpr std::uint32_t maxUnreachable = 3;
// No request has begun to run within this time, so that a server that is gone by then did not crash under it.
constexpr std::chrono::milliseconds soonestCrash { 10 };
constexpr std::size_t maxWholeBody = std::size_t { 16 } * 1024 * 1024;
constexpr std::chrono::milliseconds unreadyRetryAfter { 1000 };

error silentServer()
{
    return { error_kind::TimedOut, "the server was silent for too long", "Look at the server's log" };
}

bool isSuccess(int status) { return status >= 200 && status < 300; }

std::string secondsText(duration length) { return fixedText(toMilliseconds(length) / 1000, 2); }

} // namespace

exchange::exchange(gateway_context& context, const http_request& request, http_responder& responder)
    : m_context(context)
    , m_request(request)
    , m_responder(responder)
    , m_catalogue(context.catalogue)
    , m_arrivedAt(clock_type::now())
    , m_facts(context.dialect.readCaller(request))
    , m_events(m_facts.lastEvent)
{
}

void exchange::run()
{
    if (!admit())
        return;
    m_responder.watch([caller = m_caller] {
        caller->gone = true;
        if (caller->connection)
            caller->connection->close();
    });
    loop();
    leaveLine();
}

void exchange::leaveLine()
{
    if (m_place)
        m_context.picker.queueOf(m_deployment).leave(*m_place);
    m_place.reset();
}

// Answers the request itself when it is not to be served.
bool exchange::admit()
{
    if (!m_catalogue) {
        answer(statusUnavailable,
            { error_kind::Unavailable, "this process does not know the configuration yet", "Come back in a moment" },
            unreadyRetryAfter);
        return false;
    }
    const auto admitted = admitRequest(*m_catalogue, m_request, m_facts, m_context.patience, m_arrivedAt);
    if (!admitted) {
        answer(admitted.error().status, admitted.error().why);
        return false;
    }
    m_route = admitted->matched;
    m_customer = admitted->caller;
    m_deployment = admitted->deployment;
    m_deadline = admitted->deadline;
    m_returning = admitted->isReturning;
    m_context.metrics.count("requests_total", { { "route", m_route->name } });
    return true;
}

std::uint32_t exchange::priority() const
{
    const auto base = m_customer && m_customer->priority ? *m_customer->priority : m_route->priority;
    return m_returning && !m_begun ? base + returningPenalty : base;
}

void exchange::loop()
{
    while (true) {
        if (m_caller->gone) {
            logEvent(log_event::CallerGone, label());
            return;
        }
        const auto now = clock_type::now();
        if (now >= m_deadline) {
            finishWithoutServer();
            return;
        }
        // Looked at before each sending: the verdict may fall while the request is held here.
        if (const auto until = quarantinedUntil(now)) {
            refuseQuarantined(now, *until);
            return;
        }
        const auto picked = m_context.picker.pick(pickRequest(), now);
        const auto next = picked ? attempt(*picked) : refuse(picked.error());
        if (next == next_step::Finished)
            return;
    }
}

std::optional<time_point> exchange::quarantinedUntil(time_point now)
{
    return m_context.quarantine.isActive() ? m_context.quarantine.refusedUntil(fingerprint(), now) : std::nullopt;
}

void exchange::refuseQuarantined(time_point now, time_point until)
{
    if (m_begun || m_mayHaveRun || m_serverFailure) {
        finishWithoutServer();
        return;
    }
    m_context.metrics.count("refused_total", { { "reason", "quarantined" } });
    answer(statusUnavailable,
        { error_kind::Denied, "not run: servers have crashed under this request each time",
            "Change the request, or come back after the time in Retry-After" },
        until - now);
}

pick_request exchange::pickRequest() const
{
    return { .deployment = m_deployment,
        .latencyTarget = m_route->latencyTarget,
        .gapTarget = m_route->gapTarget,
        .deadline = m_deadline,
        .isReturning = m_returning,
        .isResumption = m_begun,
        .priority = priority(),
        .place = m_place,
        .excluded = m_excluded };
}

exchange::next_step exchange::refuse(const refused_pick& refused)
{
    if (m_begun) {
        if (awaitOpenGroup())
            return next_step::TryAgain;
        finishWithoutServer();
        return next_step::Finished;
    }
    const held_request held { .arrivedAt = m_arrivedAt,
        .deadline = m_deadline,
        .latencyTarget = m_route->latencyTarget,
        .isReturning = m_returning,
        .isHeld = m_held };
    const auto until = holdUntil(refused, held, clock_type::now());
    if (until && refused.reason == refusal_reason::Limited && !m_place)
        m_place = m_context.picker.queueOf(m_deployment).join(priority());
    if (until && lookAgainBefore(*until)) {
        m_held = true;
        return next_step::TryAgain;
    }
    // The servers that were left out may be asked again rather than nobody.
    if (refused.reason == refusal_reason::NoServers && !m_excluded.empty() && m_route->mayRepeat()
        && m_sent < m_route->maxAttempts) {
        m_excluded.clear();
        return next_step::TryAgain;
    }
    if (m_mayHaveRun || m_serverFailure) {
        m_retryAfter = refused.retryAfter;
        finishWithoutServer();
        return next_step::Finished;
    }
    m_context.metrics.count("refused_total", { { "reason", toString(refused.reason) } });
    answer(statusUnavailable,
        { error_kind::Overloaded, std::string("not run: ") + toString(refused.reason),
            "Come back after the time in Retry-After" },
        m_context.picker.scheduleRetry(pickRequest(), refused, clock_type::now()));
    return next_step::Finished;
}

bool exchange::lookAgainBefore(time_point limit)
{
    if (m_caller->gone || clock_type::now() + lookEvery > limit)
        return false;
    m_context.runtime.sleepFor(lookEvery);
    return true;
}

// Waits while the group is formed again. Returns false when that takes longer than the caller of a stream waits.
bool exchange::awaitOpenGroup()
{
    const auto limit = std::min<time_point>(m_deadline, m_lastEventAt + callerGapLimit);
    while (lookAgainBefore(limit)) {
        if (m_context.picker.hasOpenServer(m_deployment, clock_type::now()))
            return true;
    }
    return false;
}

time_point exchange::headPatience(const picked_backend& picked, time_point now) const
{
    if (!m_route->mayRepeat() || m_sent >= m_route->maxAttempts)
        return time_point::max();
    return now
        + std::max(
            fromMilliseconds(silentHeadFactor * toMilliseconds(m_route->latencyTarget)), 2 * picked.predictedLatency);
}

// A caller of a stream leaves after a pause; told before that its stream cannot go on, it may come back for the rest.
time_point exchange::standingPatience(time_point lastSignOfLife) const
{
    return m_route->kind == route_kind::Stream && m_route->mayRepeat() ? lastSignOfLife + callerGapLimit
                                                                       : time_point::max();
}

exchange::next_step exchange::attempt(const picked_backend& picked)
{
    const auto& server = picked.server;
    leaveLine();
    if (!m_context.picker.notices().take(server.instance(), clock_type::now()))
        return next_step::TryAgain;
    if (m_sent > 0 && !budget().takeRetry(clock_type::now())) {
        finishWithoutServer();
        return next_step::Finished;
    }
    auto connection = m_context.connections.acquire(server, m_deadline, !m_route->mayRepeat());
    if (m_caller->gone)
        return next_step::TryAgain; // The loop ends it.
    if (!connection) {
        m_context.picker.onRequestSent(server.instance(), clock_type::now());
        settle(picked, backend_outcome::Broken);
        logEvent(log_event::RequestFailed,
            label() + " backend=" + server.id.text() + " not_run=yes why=\"" + toString(connection.error()) + "\"");
        m_excluded.push_back(server.instance());
        if (++m_unreachable < maxUnreachable)
            return next_step::TryAgain;
        finishWithoutServer();
        return next_step::Finished;
    }
    const auto now = clock_type::now();
    // Making a connection takes a while, in which the server may have asked others to leave it alone.
    if (m_context.picker.notices().isClosed(server.instance(), now)) {
        (*connection)->close();
        return next_step::TryAgain;
    }
    const backend_call call { .server = server.id,
        .customer = m_customer ? m_customer->id : customer_id(),
        .timeLeft = m_deadline - now,
        .priority = priority(),
        .resumeAfter = m_events.lastEventId() };
    ++m_sent;
    m_sentAt = now;
    m_excluded.push_back(server.instance());
    m_caller->connection = *connection;
    m_context.picker.onRequestSent(server.instance(), now);
    logEvent(m_sent == 1 ? log_event::RequestSent : log_event::RequestResumed,
        label() + " backend=" + server.id.text() + " attempt=" + std::to_string(m_sent)
            + " load=" + std::to_string(picked.load).substr(0, 5) + " report_age_ms="
            + (picked.reportAge ? std::to_string(std::lround(toMilliseconds(*picked.reportAge))) : "none")
            + " predicted_ms=" + std::to_string(std::lround(toMilliseconds(picked.predictedLatency))) + " time_left_ms="
            + std::to_string(std::lround(toMilliseconds(m_facts.timeLeft.value_or(duration::zero()))))
            + " returning=" + (m_returning ? "yes" : "no"));
    const auto sent = (*connection)->send(m_context.dialect.toBackend(m_request, call), m_deadline);
    const auto next = sent ? receive(picked, **connection, now) : broke(picked, sent.error());
    m_caller->connection.reset();
    return next;
}

exchange::next_step exchange::receive(const picked_backend& picked, backend_connection& connection, time_point sentAt)
{
    const auto matchesRequest = [this](const http_head& head) {
        const auto& id = m_context.dialect.readBackend(head).requestId;
        return id.empty() || id == m_facts.requestId;
    };
    watched_response wait(m_context.guard, picked.server.instance(), m_caller->connection);
    // Counted from the arrival, a stream older than a caller's pause that goes on here was cut at the guard's next
    // look.
    wait.setDeadlines(headPatience(picked, sentAt), standingPatience(m_begun ? m_lastEventAt : m_arrivedAt));
    const auto head = connection.readHead(m_deadline + serverAnswerSlack, matchesRequest);
    if (!head)
        return broke(picked, wait.hasExpired() ? silentServer() : head.error());
    wait.clearDeadlines();
    const auto facts = m_context.dialect.readBackend(*head);
    hearNotice(picked.server, facts, sentAt);
    if (facts.load)
        m_context.picker.receiveResponseLoad(
            picked.server.instance(), facts.load->running, facts.load->waiting, clock_type::now());
    if (isSuccess(head->status) && (!facts.isSigned || facts.isEncoded))
        return broke(picked, { error_kind::BadInput, "a success without signature, or changed on the way", "" });
    if (isSuccess(head->status) && m_route->kind == route_kind::Stream)
        return relayStream(picked, connection, *head, wait, sentAt);
    return relayWhole(picked, connection, *head, sentAt);
}

// Whoever answers in another server's place speaks for itself.
void exchange::hearNotice(const backend_server& server, const backend_facts& facts, time_point sentAt)
{
    if (facts.isOtherServer)
        return;
    const auto news = m_context.picker.notices().hearAnswer(server.instance(), facts.notice, sentAt, clock_type::now());
    if (news.empty())
        return;
    logEvent(log_event::BackendNotice, "backend=" + server.id.text() + " " + news + " source=answer");
    if (m_context.onNotice)
        m_context.onNotice(server);
}

exchange::next_step exchange::relayWhole(
    const picked_backend& picked, backend_connection& connection, const http_head& head, time_point sentAt)
{
    const auto latency = clock_type::now() - sentAt;
    http_response response { { head.status, m_context.dialect.toCaller(head) }, {} };
    while (true) {
        auto bytes = connection.readBody(m_deadline + serverAnswerSlack);
        if (!bytes)
            return broke(picked, bytes.error());
        if (!*bytes)
            break;
        response.body += **bytes;
        if (response.body.size() > maxWholeBody)
            return broke(picked, { error_kind::BadInput, "the answer is too long", "" });
    }
    const auto facts = m_context.dialect.readBackend(head);
    if (connection.isReusable())
        m_context.connections.release(picked.server, m_caller->connection, facts.keptFor);
    if (facts.isNotRun)
        return notRun(picked, head, facts);
    settle(picked, isSuccess(head.status) ? backend_outcome::Answered : backend_outcome::Failed, latency);
    if (head.status >= 500) {
        m_serverFailure = std::move(response);
        m_mayHaveRun = true;
        if (m_route->mayRepeat() && mayTryAgain())
            return next_step::TryAgain;
        finishWithoutServer();
        return next_step::Finished;
    }
    if (m_begun) { // A stream cannot go on with this.
        finishWithoutServer();
        return next_step::Finished;
    }
    if (isSuccess(head.status))
        clearSuspicion();
    budget().recordSuccess();
    m_context.metrics.observe("answer_seconds", toMilliseconds(clock_type::now() - m_arrivedAt) / 1000);
    logEvent(log_event::RequestAnswered,
        label() + " backend=" + picked.server.id.text() + " status=" + std::to_string(head.status));
    (void)m_responder.send(response);
    return next_step::Finished;
}

exchange::next_step exchange::notRun(const picked_backend& picked, const http_head& head, const backend_facts& facts)
{
    if (facts.atFault && *facts.atFault != picked.server.address && !facts.isOtherServer)
        m_context.picker.onGroupFailed(picked.server.instance(), clock_type::now());
    settle(picked, facts.isOtherServer ? backend_outcome::Replaced : backend_outcome::Busy);
    logEvent(log_event::RequestFailed,
        label() + " backend=" + picked.server.id.text() + " not_run=yes status=" + std::to_string(head.status)
            + (facts.atFault ? " at_fault=" + toString(*facts.atFault) : ""));
    if (mayTryAgain())
        return next_step::TryAgain;
    finishWithoutServer();
    return next_step::Finished;
}

exchange::next_step exchange::relayStream(const picked_backend& picked, backend_connection& connection,
    const http_head& head, watched_response& wait, time_point sentAt)
{
    std::optional<duration> latency;
    while (true) {
        const bool mayMove = m_route->resumable && m_sent < m_route->maxAttempts;
        const auto now = clock_type::now();
        wait.setDeadlines(mayMove ? now + silentStreamLimit : time_point::max(), standingPatience(now));
        auto bytes = connection.readBody(m_deadline + serverAnswerSlack);
        if (!bytes)
            return broke(picked, wait.hasExpired() ? silentServer() : bytes.error());
        if (*bytes && !latency)
            latency = clock_type::now() - sentAt;
        const auto whole = *bytes ? m_events.feed(**bytes) : std::string();
        if (!*bytes && m_events.hasPartialEvent())
            return broke(picked, { error_kind::Lost, "the stream ended inside an event", "" });
        if (!m_begun && (!whole.empty() || !*bytes)) {
            m_begun = true;
            m_context.metrics.observe("first_event_seconds", toMilliseconds(clock_type::now() - m_arrivedAt) / 1000);
            if (!m_responder.begin({ head.status, m_context.dialect.toCaller(head) }))
                m_caller->gone = true;
        }
        if (!whole.empty()) {
            m_lastEventAt = clock_type::now();
            if (!m_responder.write(whole))
                m_caller->gone = true;
        }
        if (m_caller->gone) {
            abandon(picked);
            return next_step::TryAgain; // The loop ends it.
        }
        if (!*bytes)
            break;
    }
    if (connection.isReusable())
        m_context.connections.release(picked.server, m_caller->connection, m_context.dialect.readBackend(head).keptFor);
    settle(picked, backend_outcome::Answered, latency);
    clearSuspicion();
    budget().recordSuccess();
    logEvent(log_event::RequestAnswered,
        label() + " backend=" + picked.server.id.text() + " events=" + std::to_string(m_events.eventCount()));
    (void)m_responder.end();
    return next_step::Finished;
}

void exchange::abandon(const picked_backend& picked)
{
    if (m_caller->connection)
        m_caller->connection->close();
    settle(picked, backend_outcome::Abandoned);
}

exchange::next_step exchange::broke(const picked_backend& picked, const error& why)
{
    if (m_caller->connection)
        m_caller->connection->close();
    if (m_caller->gone) {
        settle(picked, backend_outcome::Abandoned);
        return next_step::TryAgain; // The loop ends it.
    }
    const bool isSilent = why.kind == error_kind::TimedOut;
    const bool isOverdue = clock_type::now() >= m_deadline;
    settle(picked,
        isOverdue ? backend_outcome::Abandoned : (isSilent ? backend_outcome::Unresponsive : backend_outcome::Broken));
    logEvent(log_event::RequestFailed,
        label() + " backend=" + picked.server.id.text() + " events=" + std::to_string(m_events.eventCount()) + " why=\""
            + toString(why) + "\"" + " request=" + shortName(fingerprint()));
    const bool mayTryAnotherServer = m_context.quarantine.mayTryAnotherServer(fingerprint());
    // Where servers crash together, a request that leaves one may reach the next at its very end.
    if (why.kind == error_kind::Lost && clock_type::now() >= m_sentAt + soonestCrash)
        m_context.quarantine.onExchangeBroken(picked.server, fingerprint());
    m_events.dropPartialEvent();
    m_mayHaveRun = true;
    if (m_route->mayRepeat() && !isOverdue && mayTryAnotherServer && mayTryAgain())
        return next_step::TryAgain;
    finishWithoutServer();
    return next_step::Finished;
}

bool exchange::mayTryAgain() { return m_sent < m_route->maxAttempts && clock_type::now() < m_deadline; }

// The final answer when no server gave one that can be passed on.
void exchange::finishWithoutServer()
{
    if (m_begun) {
        // The caller sees that the stream is not whole, and may resume it.
        logEvent(log_event::RequestFailed, label() + " outcome=cut events=" + std::to_string(m_events.eventCount()));
        m_context.metrics.count("streams_cut_total");
        m_responder.abort();
        return;
    }
    if (m_serverFailure) {
        logEvent(log_event::RequestAnswered, label() + " status=" + std::to_string(m_serverFailure->head.status));
        (void)m_responder.send(*m_serverFailure);
        return;
    }
    if (clock_type::now() >= m_deadline) {
        answer(statusGatewayTimeout,
            { error_kind::TimedOut, "no answer came in time", "It may have run; look before repeating it" });
        return;
    }
    if (m_mayHaveRun) {
        answer(statusBadGateway,
            { error_kind::Lost, "the server's answer was lost", "It may have run; look before repeating it" },
            m_retryAfter);
        return;
    }
    m_context.metrics.count("refused_total", { { "reason", "servers_refused" } });
    // What the picker would say of another try now is the best guess at when one makes sense.
    const auto now = clock_type::now();
    auto next = pickRequest();
    next.excluded.clear(); // Another try may be sent anywhere.
    const auto again = m_context.picker.pick(next, now);
    const auto wait = again ? duration(unreadyRetryAfter) : again.error().retryAfter;
    answer(statusUnavailable,
        { error_kind::Unavailable, "not run: no server took it", "Come back after the time in Retry-After" }, wait);
}

void exchange::answer(int status, const error& why, std::optional<duration> retryAfter)
{
    auto response = errorResponse(status, why);
    if (!m_facts.requestId.empty())
        response.head.headers.push_back(m_context.dialect.requestIdHeader(m_facts.requestId));
    if (retryAfter)
        response.head.headers.push_back({ "Retry-After", secondsText(*retryAfter) });
    logEvent(log_event::RequestRefused,
        label() + " status=" + std::to_string(status) + " returning=" + (m_returning ? "yes" : "no")
            + " sent=" + std::to_string(m_sent)
            + " time_left_ms=" + std::to_string(remaining(clock_type::now(), m_deadline).count()) + " why=\""
            + why.message + "\"" + (retryAfter ? " retry_after_s=" + secondsText(*retryAfter) : ""));
    m_context.metrics.count("answers_total", { { "status", std::to_string(status) } });
    (void)m_responder.send(response);
}

void exchange::settle(const picked_backend& picked, backend_outcome outcome, std::optional<duration> latency)
{
    m_context.metrics.count("attempts_total", { { "outcome", toString(outcome) } });
    m_context.picker.onRequestFinished(picked.server.instance(), outcome, latency, clock_type::now());
}

retry_budget& exchange::budget() { return m_context.budgets.at(m_deployment); }

void exchange::clearSuspicion()
{
    if (m_context.quarantine.isActive())
        m_context.quarantine.onRequestSucceeded(fingerprint());
}

const request_fingerprint& exchange::fingerprint()
{
    if (m_fingerprint.empty()) {
        const auto host = findHeader(m_request.headers, "Host").value_or("");
        // Customers may have several keys; on open routes there is none to go by.
        m_fingerprint = fingerprintOf({ .method = m_request.method,
            .host = host,
            .target = m_request.target,
            .caller = m_customer ? m_customer->id.text() : "",
            .body = m_request.body });
    }
    return m_fingerprint;
}

std::string exchange::label() const
{
    return "id=" + (m_facts.requestId.empty() ? "-" : m_facts.requestId) + " route=" + (m_route ? m_route->name : "-")
        + " age_ms="
        + std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(clock_type::now() - m_arrivedAt).count());
}

} // namespace coltsfootbend
