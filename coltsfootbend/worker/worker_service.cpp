#include "coltsfootbend/worker/worker_service.h"

#include "coltsfootbend/base/log_event.h"
#include "coltsfootbend/execution/ledger_registration.h"
#include "coltsfootbend/membership/worker_directory.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace coltsfootbend {

namespace {

constexpr std::size_t maxAttempts = 8192;
constexpr std::size_t maxKeys = 100'000;
// Number of entries in the worker's own data centre that receive its announcements.
constexpr std::size_t localAnnounceTargets = 4;
constexpr std::chrono::milliseconds localAnnounceInterval { 1000 };
constexpr std::chrono::milliseconds remoteAnnounceInterval { 5000 };
constexpr std::chrono::seconds announceTimeout { 1 };
constexpr std::chrono::milliseconds expireInterval { 10 };
constexpr std::chrono::seconds platformTimeout { 3 };
constexpr std::chrono::seconds controlTimeout { 1 };

std::uint64_t inMicroseconds(duration value)
{
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::microseconds>(value).count()));
}

wire::body toMessage(const answer_piece& piece)
{
    struct visitor {
        wire::body operator()(const nothing_yet&) const { return wire::failed {}; }
        wire::body operator()(const head_piece& head) const
        {
            return wire::head { static_cast<std::uint32_t>(head.status), head.contentType };
        }
        wire::body operator()(const bytes_piece& bytes) const { return wire::bytes { bytes.offset, bytes.bytes }; }
        wire::body operator()(const end_piece& end) const { return wire::end { end.totalBytes }; }
        wire::body operator()(const refused_piece& refused) const
        {
            return wire::refused { refused.reason, static_cast<std::uint64_t>(refused.retryAfter.count()) };
        }
        wire::body operator()(const failed_piece&) const { return wire::failed {}; }
    };
    return std::visit(visitor {}, piece);
}

wire::body toMessage(const claim_reply& reply)
{
    wire::claim_reply out { reply.verdict, {} };
    if (reply.holder)
        out.holder.push_back(*reply.holder);
    return out;
}

std::string nameOf(const attempt_id& attempt)
{
    return attempt.entry.text() + "-" + std::to_string(attempt.entryIncarnation.number()) + "-"
        + std::to_string(attempt.serial);
}

} // namespace

worker_service::worker_service(fiber_runtime& runtime, const daemon_settings& settings, incarnation ownIncarnation)
    : m_runtime(runtime)
    , m_settings(settings)
    , m_worker(*settings.worker)
    , m_incarnation(ownIncarnation)
    , m_backend(runtime)
    , m_executor({ .ownIncarnation = ownIncarnation,
          .table = { .maxAttempts = maxAttempts, .maxAnswerBytes = settings.worker->maxAnswerBytes },
          .queue = { .slots = settings.worker->slots, .maxWaiting = settings.worker->maxWaiting },
          .ledger = { .keyLifetime = settings.keyLifetime,
              .maxKeys = maxKeys,
              .completeFrom = clock_type::now() + settings.keyLifetime,
              .waitForRegistration = settings.platform.has_value() } })
{
}

result<void> worker_service::start(kernel& kernel)
{
    auto peers = kernel.require<peer_service>("peers");
    if (!peers)
        return tl::unexpected(peers.error());
    auto configuration = kernel.require<config_service>("configuration");
    if (!configuration)
        return tl::unexpected(configuration.error());
    m_peers = *peers;
    m_configuration = *configuration;
    registerHandlers();
    m_runtime.spawnLoop("announcements", [this] { announceLoop(); });
    m_runtime.spawnLoop("expiry", [this] { expireLoop(); });
    if (m_settings.platform)
        m_runtime.spawnLoop("ledger", [this] { registerLedger(); });
    return {};
}

void worker_service::registerHandlers()
{
    const auto handle = [this]<typename Message>(void (worker_service::*method)(peer_stream&, const Message&)) {
        m_peers->on<Message>([this, method](peer_stream& stream, const wire::message&, const Message& message) {
            (this->*method)(stream, message);
        });
    };
    handle(&worker_service::onDispatch);
    handle(&worker_service::onRevoke);
    handle(&worker_service::onJoin);
    handle(&worker_service::onCancel);
    handle(&worker_service::onClaim);
    handle(&worker_service::onClose);
}

void worker_service::onDispatch(peer_stream& stream, const wire::dispatch& request)
{
    const auto now = clock_type::now();
    const auto deadline = now + std::chrono::microseconds(request.deadlineLeftUs);
    const admission_job job { .attempt = request.attempt,
        .customer = request.customer,
        .priority = request.priority,
        .weight = request.weight,
        .deadline = deadline,
        .expectedService = std::chrono::microseconds(request.expectedServiceUs),
        .preemptible = m_worker.kind == backend_kind::Engine };
    const auto admitted = std::make_shared<run>();
    admitted->request = request;
    admitted->deadline = deadline;
    // A duplicate dispatch must not replace the run of the first one, because other streams may be following that run.
    m_runs.try_emplace(request.attempt, admitted);
    if (const auto refused = m_executor.dispatch(now, job, request.workerIncarnation)) {
        if (m_runs.at(request.attempt) == admitted)
            m_runs.erase(request.attempt);
        (void)stream.send(toMessage(*refused), true);
        return;
    }
    performActions();
    streamAnswer(stream, request.attempt, admitted, 0, deadline);
    removeIfSettled(request.attempt);
}

void worker_service::onRevoke(peer_stream& stream, const wire::revoke& request)
{
    const auto verdict = m_executor.revoke(clock_type::now(), request.attempt, request.workerIncarnation);
    performActions();
    if (verdict)
        (void)stream.send(wire::revoke_reply { *verdict }, true);
    else
        (void)stream.send(wire::other_incarnation {}, true);
}

void worker_service::onJoin(peer_stream& stream, const wire::join& request)
{
    if (request.workerIncarnation != m_incarnation) {
        (void)stream.send(wire::other_incarnation {}, true);
        return;
    }
    const auto found = m_runs.find(request.attempt);
    const auto joined = found == m_runs.end() ? nullptr : found->second;
    const auto deadline = joined ? joined->deadline : clock_type::now();
    streamAnswer(stream, request.attempt, joined, request.offset, deadline);
}

void worker_service::onCancel(peer_stream& stream, const wire::cancel& request)
{
    if (const auto found = m_runs.find(request.attempt);
        request.workerIncarnation == m_incarnation && found != m_runs.end())
        found->second->cancelled = true;
    (void)stream.send(wire::acknowledge {}, true);
}

void worker_service::onClaim(peer_stream& stream, const wire::claim& request)
{
    (void)stream.send(toMessage(m_executor.claim(clock_type::now(), request.request)), true);
}

void worker_service::onClose(peer_stream& stream, const wire::close& request)
{
    const auto releases = request.releases.empty() ? std::nullopt : std::optional(request.releases.front());
    const auto reply
        = m_executor.close(clock_type::now(), request.key, request.attemptNumber, request.ticketIncarnation, releases);
    (void)stream.send(toMessage(reply), true);
}

// Sends the available part of the answer and then each further part, until the answer ends. Every joiner has its own
// stream, so a slow joiner does not delay the others.
void worker_service::streamAnswer(
    peer_stream& stream, const attempt_id& attempt, const run_ptr& followed, std::uint64_t offset, time_point deadline)
{
    constexpr std::chrono::seconds grace { 1 };
    ++m_openStreams;
    fiber_signal changed(m_runtime);
    if (followed)
        followed->waiters.push_back(&changed);
    answer_position position { .headSent = false, .offset = offset };
    while (sendAvailablePieces(stream, attempt, position)) {
        if (!followed || !changed.waitUntil(deadline + grace)) {
            stream.reset();
            break;
        }
    }
    if (followed)
        std::erase(followed->waiters, &changed);
    --m_openStreams;
}

// Sends all pieces that are available. Returns whether further pieces are expected.
bool worker_service::sendAvailablePieces(peer_stream& stream, const attempt_id& attempt, answer_position& position)
{
    while (true) {
        const auto piece = m_executor.nextPiece(attempt, position);
        if (std::holds_alternative<nothing_yet>(piece))
            return true;
        const bool isLast = !std::holds_alternative<head_piece>(piece) && !std::holds_alternative<bytes_piece>(piece);
        if (isLast)
            (void)stream.send(currentLoad(), false);
        if (!stream.send(toMessage(piece), isLast) || isLast)
            return false;
    }
}

void worker_service::notifyWaiters(const attempt_id& attempt)
{
    const auto found = m_runs.find(attempt);
    if (found == m_runs.end())
        return;
    for (auto* waiter : found->second->waiters)
        waiter->notify();
}

void worker_service::removeIfSettled(const attempt_id& attempt)
{
    answer_position past { .headSent = true, .offset = std::numeric_limits<std::uint64_t>::max() };
    const auto found = m_runs.find(attempt);
    if (found == m_runs.end() || found->second->onBackend)
        return;
    if (!std::holds_alternative<nothing_yet>(m_executor.nextPiece(attempt, past)))
        m_runs.erase(found);
}

void worker_service::performActions()
{
    struct visitor {
        worker_service& self;
        void operator()(const start_on_backend& action) const
        {
            const auto started = self.m_runs.at(action.attempt);
            started->onBackend = true;
            self.m_runtime.spawn([&worker = self, started] { worker.runOnBackend(started); });
        }
        void operator()(const pause_on_backend& action) const { self.controlBackendStream(action.attempt, "pause"); }
        void operator()(const resume_on_backend& action) const { self.controlBackendStream(action.attempt, "resume"); }
        void operator()(const answer_changed& action) const { self.notifyWaiters(action.attempt); }
    };
    for (const auto& action : m_executor.takeActions())
        std::visit(visitor { *this }, action);
}

http_request worker_service::toBackend(const wire::dispatch& request)
{
    http_request out { .method = request.method, .target = request.target, .headers = {}, .body = request.body };
    if (!request.contentType.empty())
        out.headers.push_back({ "Content-Type", request.contentType });
    out.headers.push_back({ "X-Request-Id", nameOf(request.attempt) });
    out.headers.push_back({ "X-Priority", std::to_string(request.priority) });
    return out;
}

void worker_service::runOnBackend(const run_ptr& started)
{
    const auto attempt = started->request.attempt;
    const http_client::streaming streaming { .onHead
        =
            [&](const http_head& head) {
                m_executor.backendHead(attempt, head.status, findHeader(head.headers, "Content-Type").value_or(""));
                performActions();
            },
        .onBytes =
            [&](std::string_view bytes) {
                m_executor.backendBytes(attempt, bytes);
                performActions();
                return !started->cancelled;
            } };
    result<void> done = fail(error_kind::Lost, "handling the answer of the engine ended with an exception");
    (void)runLogged("attempt",
        [&] { done = m_backend.stream(m_worker.backend, toBackend(started->request), started->deadline, streaming); });
    started->onBackend = false;
    if (done) {
        m_executor.backendEnd(clock_type::now(), attempt);
    } else {
        logEvent(log_event::EngineFailed, toString(done.error()));
        // Without a connection nothing was sent, which proves that the attempt did not run.
        if (done.error().kind == error_kind::Unavailable)
            m_executor.backendUnreachable(clock_type::now(), attempt);
        else
            m_executor.backendFailed(clock_type::now(), attempt);
    }
    performActions();
    removeIfSettled(attempt);
}

void worker_service::controlBackendStream(const attempt_id& attempt, const char* verb)
{
    m_runtime.spawn([this, target = "/streams/" + nameOf(attempt) + "/" + verb] {
        (void)m_backend.send(m_worker.backend, { .method = "POST", .target = target, .headers = {}, .body = {} },
            clock_type::now() + controlTimeout);
    });
}

wire::load worker_service::currentLoad() const
{
    const auto now = clock_type::now();
    const auto& queue = m_executor.queue();
    std::vector<std::uint64_t> pending;
    for (priority_class priority = 0; priority <= queue.lowestPriority(); ++priority)
        pending.push_back(inMicroseconds(queue.pendingService(now, priority)));
    return { .pendingServiceUs = std::move(pending),
        .slots = static_cast<std::uint32_t>(m_worker.slots),
        .groupSlowestPendingUs = 0,
        .ageUs = 0 };
}

void worker_service::announceLoop()
{
    time_point nextRemote {};
    while (!m_stopped) {
        std::vector<std::pair<vm_id, data_centre_id>> entries;
        for (const auto& entry : m_settings.entries)
            entries.emplace_back(entry.id, entry.dataCentre);
        const auto now = clock_type::now();
        const bool remoteDue = now >= nextRemote;
        if (remoteDue)
            nextRemote = now + remoteAnnounceInterval;
        for (const auto& target :
            chooseAnnounceTargets(m_settings.vm, m_settings.dataCentre, entries, localAnnounceTargets)) {
            if (!target.isLocal && !remoteDue)
                continue;
            const auto entry = std::find_if(m_settings.entries.begin(), m_settings.entries.end(),
                [&](const peer_settings& known) { return known.id == target.entry; });
            m_runtime.spawn([this, entry = *entry, isLocal = target.isLocal] { announceTo(entry, isLocal); });
        }
        m_runtime.sleepUntil(now + localAnnounceInterval);
    }
}

void worker_service::announceToAllEntries()
{
    for (const auto& entry : m_settings.entries)
        m_runtime.spawn([this, entry] { announceTo(entry, entry.dataCentre == m_settings.dataCentre); });
}

void worker_service::announceTo(const peer_settings& entry, bool isLocal)
{
    const auto interval = isLocal ? localAnnounceInterval : remoteAnnounceInterval;
    const wire::announce announcement { .worker = m_settings.vm,
        .workerIncarnation = m_incarnation,
        .dataCentre = m_settings.dataCentre,
        .address = toString(m_settings.peers),
        .deployments = m_worker.deployments,
        .leaving = m_leaving,
        .current = currentLoad(),
        .nextWithinUs = inMicroseconds(interval) };
    (void)m_peers->client().ask(entry.address, announcement, clock_type::now() + announceTimeout);
}

void worker_service::expireLoop()
{
    while (!m_stopped) {
        if (m_executor.queue().waiting() > 0) {
            m_executor.tick(clock_type::now());
            performActions();
        }
        m_runtime.sleepFor(expireInterval);
    }
}

void worker_service::registerLedger()
{
    std::chrono::milliseconds backoff { 100 };
    constexpr std::chrono::milliseconds maxBackoff { 5000 };
    while (!m_stopped && !m_leaving && !tryRegisterLedger()) {
        m_runtime.sleepFor(backoff);
        backoff = std::min(backoff * 2, maxBackoff);
    }
}

bool worker_service::tryRegisterLedger()
{
    auto& platform = *m_configuration->platform();
    const auto now = clock_type::now();
    const auto registered = coltsfootbend::registerLedger(
        { platform, platform }, { m_settings.vm, m_incarnation }, m_executor.ledger(), now, now + platformTimeout);
    if (!registered)
        return false;
    logEvent(registered->isComplete ? log_event::LedgerRestored : log_event::LedgerIncomplete,
        "keys=" + std::to_string(registered->keys));
    return true;
}

void worker_service::handOverLedger(time_point deadline)
{
    if (!m_settings.platform)
        return;
    auto& platform = *m_configuration->platform();
    const auto now = clock_type::now();
    const auto handedOver = coltsfootbend::handOverLedger({ platform, platform }, { m_settings.vm, m_incarnation },
        m_executor.ledger(), now, std::min(deadline, now + platformTimeout));
    if (handedOver)
        logEvent(log_event::LedgerHandedOver, "keys=" + std::to_string(*handedOver));
}

void worker_service::leave(time_point deadline)
{
    m_leaving = true;
    announceToAllEntries();
    m_executor.leave();
    performActions();
    // Hand over the claims first, because the next incarnation may start as soon as this one terminates.
    handOverLedger(deadline);
    constexpr std::chrono::milliseconds pollInterval { 20 };
    while ((!m_executor.isIdle() || m_openStreams > 0) && clock_type::now() < deadline)
        m_runtime.sleepFor(pollInterval);
    // Stay reachable a little longer, so that messages that entry VMs have already sent are answered with "leaving"
    // instead of timing out.
    m_runtime.sleepFor(std::chrono::milliseconds(200));
}

} // namespace coltsfootbend
