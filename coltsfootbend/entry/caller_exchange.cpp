#include "coltsfootbend/entry/caller_exchange.h"

#include "coltsfootbend/base/hash.h"
#include "coltsfootbend/base/log_event.h"
#include "coltsfootbend/request/ticket.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfootbend {

namespace {

// Reading from the worker daemon pauses above this many unprocessed events.
constexpr std::size_t maxQueuedEvents = 64;
// How long operations may continue past the caller's deadline.
constexpr std::chrono::seconds operationGrace { 1 };
// Timeout of a request to a peer. When it passes, the operation counts as lost and the flow decides how to proceed.
constexpr std::chrono::seconds peerRequestTimeout { 2 };

std::uint64_t microsecondsLeft(time_point now, time_point deadline)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(std::max(deadline - now, duration::zero())).count());
}

vm_id homeOf(const configuration& configuration, const flow_request& request)
{
    if (!request.key)
        return {};
    if (const auto ticket = parseTicket(*request.key))
        return ticket->worker;
    if (configuration.holders.empty())
        return {};
    const auto text = request.customer.text() + "/" + request.key->text();
    return configuration.holders[rendezvousIndex(text, configuration.holders)];
}

using event_payload = decltype(flow_event::payload);

// Converts a message from a worker daemon to an event of the flow. Returns none for messages that the flow does not
// use.
struct event_from_message {
    bool isClose = false;

    std::optional<event_payload> operator()(const wire::head& received) const
    {
        return answer_head { static_cast<int>(received.status), received.contentType };
    }
    std::optional<event_payload> operator()(const wire::bytes& received) const
    {
        return answer_bytes { received.offset, received.data };
    }
    std::optional<event_payload> operator()(const wire::end& received) const
    {
        return answer_end { received.totalBytes };
    }
    std::optional<event_payload> operator()(const wire::refused& received) const
    {
        return attempt_refused { received.reason, std::chrono::milliseconds(received.retryAfterMs) };
    }
    std::optional<event_payload> operator()(const wire::failed&) const { return attempt_failed {}; }
    std::optional<event_payload> operator()(const wire::other_incarnation&) const
    {
        return other_incarnation_answered {};
    }
    std::optional<event_payload> operator()(const wire::revoke_reply& received) const
    {
        return revoke_answered { received.verdict };
    }
    std::optional<event_payload> operator()(const wire::claim_reply& received) const
    {
        claim_reply reply { received.verdict, std::nullopt };
        if (!received.holder.empty())
            reply.holder = received.holder.front();
        if (isClose)
            return close_answered { reply };
        return claim_answered { reply };
    }
    std::optional<event_payload> operator()(const auto&) const { return std::nullopt; }
};

const char* remedyFor(const finish_request& finished)
{
    if (finished.sameKeyMayRetry)
        return "Send the request again with the same Idempotency-Key after Retry-After: it runs at most once";
    if (finished.result == outcome::NotRun && finished.reason == refusal::KeyClosed)
        return "This key is closed; send the request again under a new Idempotency-Key";
    if (finished.result == outcome::NotRun)
        return "It did not run: send the request again after Retry-After";
    if (finished.reason == refusal::HomeCannotRuleOut) {
        return "If this was the first attempt, send it again with Coltsfootbend-Attempt: 1 or under a ticket; "
               "otherwise "
               "check its effect first";
    }
    if (finished.reason == refusal::KeyReused)
        return "The key was used for another request; use a new one for each request";
    return "It may have run: check its effect before sending it again";
}

int statusFor(const finish_request& finished)
{
    constexpr int conflict = 409;
    constexpr int unprocessable = 422;
    constexpr int badGateway = 502;
    constexpr int unavailable = 503;
    if (finished.reason == refusal::KeyReused)
        return unprocessable;
    if (finished.reason == refusal::KeyClosed)
        return conflict;
    return finished.result == outcome::NotRun || finished.sameKeyMayRetry ? unavailable : badGateway;
}

} // namespace

http_response outcomeResponse(const finish_request& finished)
{
    const nlohmann::json body { { "error",
        { { "kind", toString(finished.reason) }, { "outcome", toString(finished.result) },
            { "same_key_may_retry", finished.sameKeyMayRetry }, { "retry_after_ms", finished.retryAfter.count() },
            { "message", std::string("the request was not answered: ") + toString(finished.reason) },
            { "remedy", remedyFor(finished) } } } };
    http_response response {
        { statusFor(finished),
            { { "Content-Type", "application/json" }, { "Coltsfootbend-Outcome", toString(finished.result) } } },
        body.dump() + "\n"
    };
    if (finished.retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(finished.retryAfter);
        response.head.headers.push_back({ "Retry-After", std::to_string(seconds.count()) });
    }
    return response;
}

caller_exchange::caller_exchange(entry_service& entry, const http_request& request, const caller_request& parsed)
    : m_entry(entry)
    , m_request(request)
    , m_parsed(parsed)
    , m_deployment(entry.stateOf(parsed.deployment))
    , m_events(entry.m_runtime)
    , m_eventConsumed(entry.m_runtime)
    , m_flow(parsed.flow, { *this, m_deployment.retries, entry.m_attempts },
          homeOf(*entry.m_configuration->current(), parsed.flow), {})
{
}

std::optional<run_place> caller_exchange::choose(time_point now, const std::vector<vm_id>& tried)
{
    return m_deployment.routes.choose(now, m_parsed.routing, tried);
}

void caller_exchange::run(http_responder& responder)
{
    const auto self = shared_from_this();
    responder.watch([self] { self->push(0, caller_gone {}); });
    push(0, caller_started {});
    while (!m_flow.isDone()) {
        auto event = m_events.popUntil(m_flow.nextDeadline());
        m_eventConsumed.notify();
        if (!event)
            event = flow_event { 0, timer_fired {} };
        recordEvent(*event);
        for (const auto& action : m_flow.handle(clock_type::now(), *event))
            perform(action, responder);
    }
    m_done = true;
    resetStream();
    recordAttemptEnd(std::nullopt);
}

void caller_exchange::endBy(time_point limit)
{
    m_flow.endBy(limit);
    push(0, timer_fired {}); // Ends the wait for the former deadline.
}

void caller_exchange::push(std::uint64_t operation, decltype(flow_event::payload) payload)
{
    if (!m_done)
        m_events.push({ operation, std::move(payload) });
}

void caller_exchange::perform(const flow_action& action, http_responder& responder)
{
    struct visitor {
        caller_exchange& self;
        http_responder& responder;
        void operator()(const send_claim& action) const { self.begin(action); }
        void operator()(const send_dispatch& action) const { self.begin(action); }
        void operator()(const send_revoke& action) const { self.begin(action); }
        void operator()(const send_join& action) const { self.begin(action); }
        void operator()(const send_close& action) const { self.begin(action); }
        void operator()(const send_cancel& action) const { self.begin(action); }
        void operator()(const forward_head& action) const
        {
            self.m_headSent = true;
            const auto done = responder.begin({ action.status,
                { { "Content-Type", action.contentType }, { "Coltsfootbend-Outcome", toString(outcome::Answer) } } });
            if (!done)
                self.push(0, caller_gone {});
        }
        void operator()(const forward_bytes& action) const
        {
            if (!responder.write(action.bytes))
                self.push(0, caller_gone {});
        }
        void operator()(const finish_request& action) const { self.conclude(action, responder); }
    };
    std::visit(visitor { *this, responder }, action);
}

void caller_exchange::conclude(const finish_request& finished, http_responder& responder)
{
    m_conclusion = finished;
    if (finished.reason == refusal::CallerGone) {
        responder.abort();
        return;
    }
    if (finished.result == outcome::Answer) {
        m_deployment.retries.recordSuccess();
        (void)responder.end();
        return;
    }
    if (finished.result == outcome::Unknown) {
        logEvent(log_event::RequestUnknown,
            std::string("reason=") + toString(finished.reason) + " customer=" + m_parsed.flow.customer.text());
    }
    if (m_headSent)
        responder.abort(); // An aborted connection shows the caller that the answer is incomplete.
    else
        (void)responder.send(outcomeResponse(finished));
}

template <typename Work> void caller_exchange::spawn(Work work)
{
    m_entry.m_runtime.spawn([self = shared_from_this(), work = std::move(work)] { work(*self); });
}

void caller_exchange::sendRequest(std::uint64_t operation, const vm_id& worker, wire::body requestMessage, bool isClose)
{
    spawn([operation, worker, isClose, requestMessage = std::move(requestMessage)](caller_exchange& self) {
        const auto address = self.m_entry.addressOf(worker);
        if (!address) {
            self.push(operation, operation_lost { .nothingSent = true });
            return;
        }
        const auto deadline
            = std::min(self.m_parsed.flow.deadline + operationGrace, clock_type::now() + peerRequestTimeout);
        const auto reply = self.m_entry.m_peers->client().ask(*address, requestMessage, deadline);
        if (!reply) {
            self.push(operation, operation_lost { reply.error().kind == error_kind::Unavailable });
            return;
        }
        auto event = std::visit(event_from_message { isClose }, reply->content);
        self.push(operation, event ? std::move(*event) : operation_lost {});
    });
}

void caller_exchange::begin(const send_claim& action)
{
    sendRequest(action.operation, action.home, wire::claim { action.request });
}

void caller_exchange::begin(const send_close& action)
{
    wire::close requestMessage { action.key, action.attemptNumber, {}, action.ticketIncarnation };
    if (action.releases)
        requestMessage.releases.push_back(*action.releases);
    sendRequest(action.operation, action.home, std::move(requestMessage), true);
}

void caller_exchange::begin(const send_cancel& action)
{
    constexpr std::uint64_t noOperation = std::numeric_limits<std::uint64_t>::max();
    sendRequest(noOperation, action.place.worker, wire::cancel { action.attempt, action.place.workerIncarnation });
}

void caller_exchange::begin(const send_revoke& action)
{
    sendRequest(action.operation, action.place.worker, wire::revoke { action.attempt, action.place.workerIncarnation });
}

void caller_exchange::begin(const send_join& action)
{
    resetStream();
    streamAnswer(action.operation, action.place.worker,
        wire::join { action.attempt, action.place.workerIncarnation, action.offset }, false);
}

void caller_exchange::begin(const send_dispatch& action)
{
    resetStream();
    recordAttemptEnd(std::nullopt);
    const auto now = clock_type::now();
    m_routed = action;
    m_routedAt = now;
    m_deployment.routes.recordDispatch(now, action.place.worker, action.attempt, m_parsed.routing);
    const auto expected = m_parsed.routing.serviceTime + m_parsed.routing.prefillTime;
    wire::dispatch message { .attempt = action.attempt,
        .workerIncarnation = action.place.workerIncarnation,
        .customer = m_parsed.flow.customer,
        .priority = m_parsed.priority,
        .weight = m_parsed.weight,
        .deadlineLeftUs = microsecondsLeft(now, m_parsed.flow.deadline),
        .expectedServiceUs = microsecondsLeft(now, now + expected),
        .deployment = m_parsed.deployment,
        .method = m_request.method,
        .target = m_request.target,
        .contentType = m_parsed.contentType,
        .body = m_request.body };
    streamAnswer(action.operation, action.place.worker, std::move(message), true);
}

// Sends one message and feeds the messages of the reply stream to the flow, no faster than the caller reads them.
void caller_exchange::streamAnswer(
    std::uint64_t operation, const vm_id& worker, wire::body requestMessage, bool isDispatch)
{
    spawn([operation, worker, isDispatch, requestMessage = std::move(requestMessage)](caller_exchange& self) {
        const auto address = self.m_entry.addressOf(worker);
        const auto deadline = self.m_parsed.flow.deadline + operationGrace;
        auto opened = address ? self.m_entry.m_peers->client().open(
                          *address, requestMessage, true, std::min(deadline, clock_type::now() + peerRequestTimeout))
                              : fail(error_kind::Unavailable, "the address of the worker daemon is unknown");
        if (!opened) {
            self.push(operation, operation_lost { isDispatch && opened.error().kind == error_kind::Unavailable });
            return;
        }
        const std::shared_ptr<peer_stream> stream = std::move(*opened);
        if (self.m_done) {
            stream->reset();
            return;
        }
        self.m_stream = stream;
        while (!self.m_done && self.m_stream == stream) {
            while (self.m_events.size() > maxQueuedEvents && !self.m_done)
                (void)self.m_eventConsumed.waitUntil(deadline);
            const auto message = stream->receive(deadline);
            if (!message) {
                self.push(operation, operation_lost {});
                return;
            }
            if (const auto* load = std::get_if<wire::load>(&message->content)) {
                self.m_deployment.routes.observe(clock_type::now(), worker, toLoadReport(*load));
                continue;
            }
            const bool isLast = !std::holds_alternative<wire::head>(message->content)
                && !std::holds_alternative<wire::bytes>(message->content);
            auto event = std::visit(event_from_message {}, message->content);
            // An unexpected message counts as lost; the revoke that follows determines the state of the attempt.
            self.push(operation, event ? std::move(*event) : operation_lost {});
            if (isLast)
                return;
        }
    });
}

void caller_exchange::resetStream()
{
    if (m_stream)
        m_stream->reset();
    m_stream.reset();
    m_eventConsumed.notify();
}

// Updates the router's statistics from an event that the flow is about to handle.
void caller_exchange::recordEvent(const flow_event& event)
{
    if (!m_routed || event.operation != m_routed->operation)
        return;
    const auto now = clock_type::now();
    if (std::holds_alternative<operation_lost>(event.payload)) {
        m_deployment.routes.recordFailure(now, m_routed->place.worker);
        recordAttemptEnd(std::nullopt);
    } else if (const auto* refused = std::get_if<attempt_refused>(&event.payload)) {
        if (refused->reason == refusal::EngineDown)
            m_deployment.routes.recordFailure(now, m_routed->place.worker);
        recordAttemptEnd(std::nullopt);
    } else if (std::holds_alternative<answer_end>(event.payload)) {
        recordAttemptEnd(now - m_routedAt);
    }
}

void caller_exchange::recordAttemptEnd(std::optional<duration> served)
{
    if (m_routed)
        m_deployment.routes.recordEnd(clock_type::now(), m_routed->place.worker, m_routed->attempt, served);
    m_routed.reset();
}

} // namespace coltsfootbend
