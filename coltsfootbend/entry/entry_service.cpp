#include "coltsfootbend/entry/entry_service.h"

#include "coltsfootbend/base/hash.h"
#include "coltsfootbend/base/log_event.h"
#include "coltsfootbend/entry/caller_exchange.h"
#include "coltsfootbend/request/ticket.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfootbend {

namespace {

// Interval of the checks for workers that stopped announcing themselves.
constexpr std::chrono::milliseconds expireInterval { 250 };
// Interval at which a leaving entry VM checks whether all connections have ended.
constexpr std::chrono::milliseconds leavePollInterval { 20 };
// Time kept free before the drain limit, for settling what is unanswered by then and for the last responses.
constexpr std::chrono::milliseconds leaveMargin { 300 };

int statusOf(const error& error)
{
    switch (error.kind) {
    case error_kind::Denied:
        return 401;
    case error_kind::NotFound:
        return 404;
    case error_kind::Overloaded:
    case error_kind::Unavailable:
        return 503;
    default:
        return 400;
    }
}

// Returns the response to a request that is refused before any attempt, and therefore did not run.
http_response notRunResponse(const error& error)
{
    auto response = errorResponse(statusOf(error), error);
    response.head.headers.push_back({ "Coltsfootbend-Outcome", toString(outcome::NotRun) });
    if (response.head.status == 503)
        response.head.headers.push_back({ "Retry-After", "1" });
    return response;
}

// Returns the response to a request that the process may not finish before it ends, and that it does not begin. An
// earlier attempt under the same key may have run elsewhere.
http_response leavingResponse(const flow_request& request)
{
    const bool isFirstAttempt = !request.key || request.attemptNumber == 1;
    return outcomeResponse({ .result = isFirstAttempt ? outcome::NotRun : outcome::Unknown,
        .reason = refusal::EntryLeaving,
        .retryAfter = std::chrono::seconds(1),
        .sameKeyMayRetry = request.key.has_value() });
}

} // namespace

load_report toLoadReport(const wire::load& load)
{
    load_report report { .pendingService = {},
        .slots = load.slots,
        .groupSlowestPending = std::chrono::microseconds(load.groupSlowestPendingUs),
        .age = std::chrono::microseconds(load.ageUs) };
    for (const auto pending : load.pendingServiceUs)
        report.pendingService.push_back(std::chrono::microseconds(pending));
    return report;
}

entry_service::entry_service(fiber_runtime& runtime, const daemon_settings& settings, incarnation ownIncarnation,
    std::function<tls_context()> callerTls)
    : m_runtime(runtime)
    , m_settings(settings)
    , m_incarnation(ownIncarnation)
    , m_callerTls(std::move(callerTls))
    , m_directory({ .own = settings.dataCentre })
    , m_attempts(settings.vm, ownIncarnation)
    , m_random(std::random_device()())
{
}

entry_service::~entry_service() = default;

result<void> entry_service::start(kernel& kernel)
{
    m_peers = kernel.find<peer_service>("peers");
    m_configuration = kernel.find<config_service>("configuration");
    auto metrics = kernel.require<metrics_service>("metrics");
    if (!metrics)
        return tl::unexpected(metrics.error());
    m_metrics = *metrics;
    if (!m_peers || !m_configuration)
        return fail(error_kind::NotFound, "the service 'entry' requires 'peers' and 'configuration'",
            "Add them to the process");
    m_metrics->gauge("oldest_request_seconds", [this] { return toMilliseconds(oldestRequestAge()) / 1000; });
    m_metrics->gauge("requests_in_flight", [this] { return static_cast<double>(inFlight()); });
    m_metrics->gauge("workers_known", [this] { return static_cast<double>(m_directory.workers().size()); });
    m_metrics->gauge(
        "configuration_version", [this] { return static_cast<double>(m_configuration->version().number()); });
    m_configuration->onChange([this] { refreshRouters(); });
    m_peers->on<wire::announce>([this](peer_stream& stream, const wire::message&, const wire::announce& announcement) {
        onAnnounce(announcement);
        (void)stream.send(wire::acknowledge {}, true);
    });
    auto opened = listener::open(m_runtime,
        { .address = m_settings.entry->callers,
            .tls = m_callerTls,
            .maxConnections = m_settings.entry->maxConnections },
        [this](const byte_stream_ptr& stream) {
            serveHttp(
                m_runtime, stream, { .maxBodyBytes = m_settings.entry->maxBodyBytes },
                [this](const http_request& request, http_responder& responder) { handle(request, responder); },
                [this] { return m_leaving; }, &m_idleConnections);
        });
    if (!opened)
        return tl::unexpected(opened.error());
    m_listener = *opened;
    m_runtime.spawnLoop("expiry", [this] { expireLoop(); });
    return {};
}

void entry_service::handle(const http_request& request, http_responder& responder)
{
    if (pathOf(request.target) == "/health") {
        const bool isReady = !m_leaving && !m_configuration->version().isNone();
        (void)responder.send({ { isReady ? 200 : 503, {} }, isReady ? "ready\n" : "not ready\n" });
        return;
    }
    if (m_running.size() >= m_settings.entry->maxRequests) {
        (void)responder.send(notRunResponse({ error_kind::Overloaded, "this entry VM has all the requests it takes",
            "Send the request again after Retry-After" }));
        return;
    }
    const auto configuration = m_configuration->current();
    if (configuration->version.isNone()) {
        (void)responder.send(notRunResponse({ error_kind::Unavailable, "this entry VM has no configuration yet",
            "Send the request again after Retry-After" }));
        return;
    }
    if (pathOf(request.target) == "/v1/tickets") {
        (void)responder.send(issueTickets(request));
        return;
    }
    const auto parsed
        = parseCallerRequest(*configuration, request, clock_type::now(), m_settings.entry->defaultTimeout);
    if (!parsed) {
        m_metrics->count("requests_rejected_total", { { "kind", toString(parsed.error().kind) } });
        (void)responder.send(notRunResponse(parsed.error()));
        return;
    }
    // No answer is certain to end before its deadline.
    if (parsed->flow.deadline > m_answersUntil) {
        m_metrics->count("requests_rejected_total", { { "kind", toString(refusal::EntryLeaving) } });
        (void)responder.send(leavingResponse(parsed->flow));
        return;
    }
    serve(request, *parsed, responder);
}

http_response entry_service::issueTickets(const http_request& request)
{
    constexpr std::size_t ticketsPerRequest = 16;
    if (request.method != "POST")
        return notRunResponse({ error_kind::BadInput, "tickets are asked for with POST", "Use the method POST" });
    if (const auto customer = authenticate(*m_configuration->current(), request); !customer)
        return notRunResponse(customer.error());
    // Only holders in this data centre, so that a network partition elsewhere does not affect their keys.
    std::vector<run_place> holders;
    const auto now = clock_type::now();
    for (const auto& [id, worker] : m_directory.workers()) {
        if (!worker.last.leaving && now < worker.suspectAt && worker.last.dataCentre == m_settings.dataCentre)
            holders.push_back({ id, worker.last.workerIncarnation });
    }
    if (holders.empty()) {
        return notRunResponse({ error_kind::Unavailable, "no worker daemon can hold tickets now",
            "Try again after Retry-After, or use a key of your own" });
    }
    nlohmann::json tickets = nlohmann::json::array();
    for (std::size_t i = 0; i < ticketsPerRequest; ++i)
        tickets.push_back(makeTicket(holders[m_random() % holders.size()], m_random()).text());
    return { { 200, { { "Content-Type", "application/json" } } },
        nlohmann::json { { "tickets", tickets } }.dump() + "\n" };
}

void entry_service::serve(const http_request& request, const caller_request& parsed, http_responder& responder)
{
    const auto number = ++m_requests;
    const auto startedAt = clock_type::now();
    const auto exchange = std::make_shared<caller_exchange>(*this, request, parsed);
    m_running[number] = { startedAt, exchange };
    exchange->run(responder);
    m_running.erase(number);
    m_metrics->count("requests_total",
        { { "outcome", toString(exchange->conclusion().result) },
            { "reason", toString(exchange->conclusion().reason) } });
    m_metrics->observe("request_seconds", toMilliseconds(clock_type::now() - startedAt) / 1000);
}

std::optional<endpoint> entry_service::addressOf(const vm_id& worker) const
{
    if (const auto* known = m_directory.find(worker)) {
        if (auto address = parseEndpoint(known->last.address))
            return *address;
    }
    const auto configuration = m_configuration->current();
    const auto found = configuration->workers.find(worker);
    if (found == configuration->workers.end())
        return std::nullopt;
    auto address = parseEndpoint(found->second.address);
    return address ? std::optional<endpoint>(*address) : std::nullopt;
}

void entry_service::onAnnounce(const wire::announce& announcement)
{
    const auto now = clock_type::now();
    const bool changed = m_directory.observe(now, announcement);
    for (const auto& deployment : announcement.deployments) {
        stateOf(deployment).routes.observe(now, announcement.worker, toLoadReport(announcement.current));
    }
    if (!changed)
        return;
    logEvent(announcement.leaving ? log_event::WorkerLeaving : log_event::WorkerJoined,
        "worker=" + announcement.worker.text() + " life=" + std::to_string(announcement.workerIncarnation.number()));
    refreshRouters();
}

entry_service::deployment_state& entry_service::stateOf(const deployment_id& id)
{
    auto& state = m_deployments[id];
    if (!state) {
        const auto seed = stableHash(m_settings.vm.text() + id.text(), m_incarnation.number());
        state = std::make_unique<deployment_state>(deployment_state { router({ .seed = seed }), retry_budget({}) });
    }
    return *state;
}

// Passes each router the workers that announce its deployment and that the configuration lists for it.
void entry_service::refreshRouters()
{
    const auto configuration = m_configuration->current();
    const auto now = clock_type::now();
    for (const auto& [id, deployment] : configuration->deployments) {
        auto workers = m_directory.workersOf(id, now);
        const auto& listed = deployment.workers;
        std::erase_if(workers, [&listed](const routing_worker& worker) {
            return std::find(listed.begin(), listed.end(), worker.place.worker) == listed.end();
        });
        stateOf(id).routes.setWorkers(workers);
    }
}

void entry_service::expireLoop()
{
    while (!m_stopped) {
        const auto expired = m_directory.expire(clock_type::now());
        for (const auto& worker : expired.newlySuspected)
            logEvent(log_event::WorkerSuspected, "worker=" + worker.text());
        if (expired.changed)
            refreshRouters();
        m_runtime.sleepFor(expireInterval);
    }
}

duration entry_service::oldestRequestAge() const
{
    return m_running.empty() ? duration::zero() : clock_type::now() - m_running.begin()->second.startedAt;
}

// The closed listener makes the load balancer stop sending new connections. Requests in progress and those that are
// being received on open connections are answered, by `m_answersUntil` in any case.
void entry_service::leave(time_point deadline)
{
    m_leaving = true;
    m_answersUntil = deadline - leaveMargin;
    for (const auto& [number, running] : m_running)
        running.exchange->endBy(m_answersUntil);
    m_listener->acceptPendingAndClose();
    m_idleConnections.closeAll();
    while (m_listener->connections() > 0 && clock_type::now() < deadline) {
        m_runtime.sleepFor(leavePollInterval);
        m_idleConnections.closeAll();
    }
}

void entry_service::stop() { m_stopped = true; }

} // namespace coltsfootbend
