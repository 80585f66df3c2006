#include "coltsfootbend/worker/worker_service.h"

#include "coltsfootbend/base/log_event.h"
#include "coltsfootbend/membership/worker_directory.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfootbend {

namespace {

constexpr std::size_t maxAttempts = 8192;
constexpr std::size_t maxKeys = 100'000;
constexpr std::size_t localTargets = 4;
constexpr std::chrono::milliseconds localAnnounceInterval { 1000 };
constexpr std::chrono::milliseconds remoteAnnounceInterval { 5000 };
constexpr std::chrono::seconds announceLimit { 1 };
constexpr std::chrono::milliseconds expireInterval { 10 };
constexpr std::chrono::seconds platformLimit { 3 };
constexpr std::chrono::seconds orderLimit { 1 };
constexpr std::size_t bytesPerMessage = std::size_t { 64 } * 1024;

std::uint64_t inMicroseconds(duration value)
{
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::microseconds>(value).count()));
}

std::string nameOf(const attempt_id& attempt)
{
    return attempt.entry.text() + "-" + std::to_string(attempt.entryLife.number()) + "-"
        + std::to_string(attempt.serial);
}

} // namespace

worker_service::worker_service(fiber_runtime& runtime, const daemon_settings& settings, incarnation life)
    : m_runtime(runtime)
    , m_settings(settings)
    , m_worker(*settings.worker)
    , m_life(life)
    , m_backend(runtime)
    , m_table({ .maxAttempts = maxAttempts, .maxAnswerBytes = settings.worker->maxAnswerBytes })
    , m_queue({ .slots = settings.worker->slots, .maxWaiting = settings.worker->maxWaiting })
    , m_ledger({ .keyLifetime = settings.keyLifetime,
          .maxKeys = maxKeys,
          .completeFrom = clock_type::now() + settings.keyLifetime,
          .waitForRegistration = settings.platform.has_value() })
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
    m_runtime.spawn([this] { announceLoop(); });
    m_runtime.spawn([this] { expireLoop(); });
    if (m_settings.platform)
        m_runtime.spawn([this] { registerLedger(); });
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
    if (request.workerLife != m_life) {
        (void)stream.send(wire::refused { refusal::OtherLife, 0 }, true);
        return;
    }
    const auto now = clock_type::now();
    const auto deadline = now + std::chrono::microseconds(request.deadlineLeftUs);
    switch (m_table.admit(request.attempt)) {
    case admit_verdict::Admitted:
        break;
    case admit_verdict::Revoked:
        (void)stream.send(wire::refused { refusal::Revoked, 0 }, true);
        return;
    case admit_verdict::Duplicate:
    case admit_verdict::Forgotten:
        // An attempt is sent once; whatever this is, it proves nothing about the first copy.
        (void)stream.send(wire::failed {}, true);
        return;
    }
    auto admitted = std::make_shared<run>();
    admitted->request = request;
    admitted->deadline = deadline;
    m_runs[request.attempt] = admitted;
    perform(m_queue.submit(now,
        { .attempt = request.attempt,
            .customer = request.customer,
            .priority = request.priority,
            .weight = request.weight,
            .deadline = deadline,
            .expectedService = std::chrono::microseconds(request.expectedServiceUs),
            .preemptible = m_worker.kind == backend_kind::Engine }));
    streamAnswer(stream, request.attempt, admitted, 0, deadline);
}

void worker_service::onRevoke(peer_stream& stream, const wire::revoke& asked)
{
    if (asked.workerLife != m_life) {
        (void)stream.send(wire::other_life {}, true);
        return;
    }
    const auto verdict = m_table.revoke(asked.attempt);
    if (verdict == revoke_verdict::Revoked) {
        m_queue.cancelWaiting(asked.attempt);
        if (const auto found = m_runs.find(asked.attempt); found != m_runs.end()) {
            wake(found->second);
            m_runs.erase(asked.attempt);
        }
    }
    (void)stream.send(wire::revoke_reply { verdict }, true);
}

void worker_service::onJoin(peer_stream& stream, const wire::join& asked)
{
    if (asked.workerLife != m_life) {
        (void)stream.send(wire::other_life {}, true);
        return;
    }
    const auto found = m_runs.find(asked.attempt);
    const auto joined = found == m_runs.end() ? nullptr : found->second;
    const auto deadline = joined ? joined->deadline : clock_type::now();
    streamAnswer(stream, asked.attempt, joined, asked.offset, deadline);
}

void worker_service::onCancel(peer_stream& stream, const wire::cancel& asked)
{
    if (const auto found = m_runs.find(asked.attempt); asked.workerLife == m_life && found != m_runs.end())
        found->second->cancelled = true;
    (void)stream.send(wire::acknowledge {}, true);
}

void worker_service::onClaim(peer_stream& stream, const wire::claim& asked)
{
    const auto reply = m_ledger.claim(clock_type::now(), asked.request);
    wire::claim_reply out { reply.verdict, {} };
    if (reply.holder)
        out.holder.push_back(*reply.holder);
    (void)stream.send(out, true);
}

void worker_service::onClose(peer_stream& stream, const wire::close& asked)
{
    if (!asked.releases.empty())
        m_ledger.release(asked.key, asked.releases.front());
    const auto reply = m_ledger.close(clock_type::now(), asked.key, asked.attemptNumber);
    wire::claim_reply out { reply.verdict, {} };
    if (reply.holder)
        out.holder.push_back(*reply.holder);
    (void)stream.send(out, true);
}

// Sends what there is and then what comes, until the answer ends. Every joiner has its own stream and its own pace.
void worker_service::streamAnswer(
    peer_stream& stream, const attempt_id& attempt, const run_ptr& followed, std::uint64_t offset, time_point deadline)
{
    constexpr std::chrono::seconds grace { 1 };
    ++m_openStreams;
    fiber_signal changed(m_runtime);
    if (followed)
        followed->waiters.push_back(&changed);
    bool headSent = false;
    while (sendProgress(stream, attempt, followed, headSent, offset)) {
        if (!followed || !changed.waitUntil(deadline + grace)) {
            stream.reset();
            break;
        }
    }
    if (followed)
        std::erase(followed->waiters, &changed);
    --m_openStreams;
}

// Returns whether there is more to wait for.
bool worker_service::sendProgress(
    peer_stream& stream, const attempt_id& attempt, const run_ptr& followed, bool& headSent, std::uint64_t& offset)
{
    while (true) {
        // Looked up anew each time: sending blocks, and the table may change meanwhile.
        const auto* answer = m_table.find(attempt);
        if (!answer) {
            (void)stream.send(wire::failed {}, true);
            return false;
        }
        if (answer->state == attempt_state::Waiting)
            return true;
        if (answer->state == attempt_state::Revoked) {
            const auto reason = followed ? followed->reason : refusal::Revoked;
            const auto retryAfter = followed ? followed->retryAfter.count() : 0;
            (void)stream.send(currentLoad(), false);
            (void)stream.send(wire::refused { reason, static_cast<std::uint64_t>(retryAfter) }, true);
            return false;
        }
        if (!headSent && answer->status != 0) {
            headSent = true;
            if (!stream.send(wire::head { static_cast<std::uint32_t>(answer->status), answer->contentType }, false))
                return false;
            continue;
        }
        if (!answer->bodyKept || answer->state == attempt_state::Failed) {
            (void)stream.send(wire::failed {}, true);
            return false;
        }
        if (offset < answer->body.size()) {
            const auto size = std::min<std::size_t>(answer->body.size() - offset, bytesPerMessage);
            wire::bytes piece { offset, answer->body.substr(offset, size) };
            offset += size;
            if (!stream.send(std::move(piece), false))
                return false;
            continue;
        }
        if (answer->state != attempt_state::Finished)
            return true;
        const wire::end end { answer->totalBytes };
        (void)stream.send(currentLoad(), false);
        (void)stream.send(end, true);
        return false;
    }
}

void worker_service::wake(const run_ptr& changed)
{
    for (auto* waiter : changed->waiters)
        waiter->notify();
}

void worker_service::perform(const std::vector<admission_decision>& decisions)
{
    for (const auto& decision : decisions) {
        const auto found = m_runs.find(decision.attempt);
        if (found == m_runs.end())
            continue;
        const auto affected = found->second;
        switch (decision.verb) {
        case admission_verb::Start:
            startOnBackend(affected);
            break;
        case admission_verb::Preempt:
            orderBackend(decision.attempt, "pause");
            break;
        case admission_verb::Resume:
            orderBackend(decision.attempt, "resume");
            break;
        case admission_verb::Refuse:
            affected->reason = decision.reason;
            affected->retryAfter = decision.retryAfter;
            (void)m_table.revoke(decision.attempt);
            m_runs.erase(decision.attempt);
            wake(affected);
            break;
        }
    }
}

void worker_service::startOnBackend(const run_ptr& started)
{
    if (m_table.start(started->request.attempt))
        m_runtime.spawn([this, started] { runOnBackend(started); });
    else
        perform(m_queue.complete(clock_type::now(), started->request.attempt));
}

http_request worker_service::toBackend(const wire::dispatch& request) const
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
    const auto done = m_backend.stream(m_worker.backend, toBackend(started->request), started->deadline,
        { .onHead =
                [&](const http_head& head) {
                    m_table.begin(attempt, head.status, findHeader(head.headers, "Content-Type").value_or(""));
                    wake(started);
                },
            .onBytes =
                [&](std::string_view bytes) {
                    m_table.append(attempt, bytes);
                    wake(started);
                    return !started->cancelled;
                } });
    if (done) {
        m_table.finish(attempt);
    } else if (done.error().kind == error_kind::Unavailable) {
        // No connection, so nothing was given to it: that is proof.
        started->reason = refusal::EngineDown;
        m_table.withdraw(attempt);
        logEvent(log_event::EngineFailed, toString(done.error()));
    } else {
        m_table.fail(attempt);
        logEvent(log_event::EngineFailed, toString(done.error()));
    }
    m_runs.erase(attempt);
    wake(started);
    perform(m_queue.complete(clock_type::now(), attempt));
}

void worker_service::orderBackend(const attempt_id& attempt, const char* verb)
{
    m_runtime.spawn([this, target = "/streams/" + nameOf(attempt) + "/" + verb] {
        (void)m_backend.send(m_worker.backend, { .method = "POST", .target = target, .headers = {}, .body = {} },
            clock_type::now() + orderLimit);
    });
}

wire::load worker_service::currentLoad() const
{
    return { .pendingServiceUs = inMicroseconds(m_queue.pendingService(clock_type::now())),
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
        for (const auto& target : chooseAnnounceTargets(m_settings.vm, m_settings.dataCentre, entries, localTargets)) {
            if (!target.isLocal && !remoteDue)
                continue;
            const auto entry = std::find_if(m_settings.entries.begin(), m_settings.entries.end(),
                [&](const peer_settings& known) { return known.id == target.entry; });
            m_runtime.spawn([this, entry = *entry, isLocal = target.isLocal] { announceTo(entry, isLocal); });
        }
        m_runtime.sleepUntil(now + localAnnounceInterval);
    }
}

void worker_service::announceEverywhere()
{
    for (const auto& entry : m_settings.entries)
        m_runtime.spawn([this, entry] { announceTo(entry, entry.dataCentre == m_settings.dataCentre); });
}

void worker_service::announceTo(const peer_settings& entry, bool isLocal)
{
    const auto interval = isLocal ? localAnnounceInterval : remoteAnnounceInterval;
    const wire::announce announcement { .worker = m_settings.vm,
        .life = m_life,
        .dataCentre = m_settings.dataCentre,
        .address = toString(m_settings.peers),
        .deployments = m_worker.deployments,
        .leaving = m_leaving,
        .current = currentLoad(),
        .nextWithinUs = inMicroseconds(interval) };
    (void)m_peers->client().ask(entry.address, announcement, clock_type::now() + announceLimit);
}

void worker_service::expireLoop()
{
    while (!m_stopped) {
        if (m_queue.waiting() > 0)
            perform(m_queue.refuseLate(clock_type::now()));
        m_runtime.sleepFor(expireInterval);
    }
}

void worker_service::registerLedger()
{
    std::chrono::milliseconds pause { 100 };
    constexpr std::chrono::milliseconds longestPause { 5000 };
    while (!m_stopped && !m_leaving && !tryRegisterLedger()) {
        m_runtime.sleepFor(pause);
        pause = std::min(pause * 2, longestPause);
    }
}

// Tells the platform that this life grants keys from now on, and takes over what the former life handed over. The row
// says who holds the claims of this VM and, after a planned stop, which object has them. See
// docs/design/AT-MOST-ONCE.md.
bool worker_service::tryRegisterLedger()
{
    auto& platform = *m_configuration->platform();
    const auto deadline = clock_type::now() + platformLimit;
    const row_name name { "claims", m_settings.vm.text() };
    const auto row = platform.read(name, deadline, 0);
    if (!row)
        return false;
    const auto former = nlohmann::json::parse(row->value, nullptr, false);
    const bool isOwn = former.is_object() && former.value("life", std::uint64_t { 0 }) == m_life.number();
    std::vector<claim_snapshot_row> rows;
    const auto object = former.is_object() ? former.value("handed_over", std::string()) : std::string();
    if (!object.empty()) {
        const auto bytes = platform.get(object, deadline);
        if (!bytes)
            return false;
        auto decoded = wire::decodeLedger(*bytes);
        if (!decoded) {
            logEvent(log_event::LedgerIncomplete, toString(decoded.error()));
            return false;
        }
        rows = std::move(*decoded);
    }
    if (!isOwn) {
        const nlohmann::json mine { { "life", m_life.number() }, { "handed_over", "" } };
        // Lost answer: the next try finds our own life in the row, and then the hand-over cannot be told from none.
        if (!platform.write(name, mine.dump(), row->revision, deadline))
            return false;
    }
    const bool isComplete = !isOwn && (row->revision == 0 || !object.empty());
    if (isComplete)
        m_ledger.restore(clock_type::now(), rows);
    m_ledger.allowGrants();
    logEvent(
        isComplete ? log_event::LedgerRestored : log_event::LedgerIncomplete, "keys=" + std::to_string(rows.size()));
    return true;
}

void worker_service::handOverLedger(time_point deadline)
{
    const auto rows = m_ledger.handOver(clock_type::now());
    if (!m_settings.platform)
        return;
    auto& platform = *m_configuration->platform();
    const row_name name { "claims", m_settings.vm.text() };
    const auto object = "claims/" + m_settings.vm.text() + "-" + std::to_string(m_life.number());
    const auto limit = std::min(deadline, clock_type::now() + platformLimit);
    const auto row = platform.read(name, limit, 0);
    if (!row || !platform.put(object, wire::encodeLedger(rows), limit))
        return;
    const auto known = nlohmann::json::parse(row->value, nullptr, false);
    if (!known.is_object() || known.value("life", std::uint64_t { 0 }) != m_life.number())
        return; // Never registered, so nothing was granted.
    const nlohmann::json handedOver { { "life", m_life.number() }, { "handed_over", object } };
    if (platform.write(name, handedOver.dump(), row->revision, limit))
        logEvent(log_event::LedgerHandedOver, "keys=" + std::to_string(rows.size()));
}

void worker_service::leave(time_point deadline)
{
    m_leaving = true;
    announceEverywhere();
    perform(m_queue.leave());
    // Claims go first: the next life may start as soon as this one is gone.
    handOverLedger(deadline);
    constexpr std::chrono::milliseconds look { 20 };
    while ((m_queue.running() + m_queue.paused() > 0 || m_openStreams > 0) && clock_type::now() < deadline)
        m_runtime.sleepFor(look);
    // Entry VMs whose word is still on its way must hear "leaving" rather than silence.
    m_runtime.sleepFor(std::chrono::milliseconds(200));
}

} // namespace coltsfootbend
