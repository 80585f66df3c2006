#include "coltsfootbend/gateway/gateway_service.h"

#include "coltsfootbend/base/log_event.h"
#include "coltsfootbend/base/text.h"
#include "coltsfootbend/settings/process_limits.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace coltsfootbend {

namespace {

constexpr int statusReady = 200;
constexpr int statusNotReady = 503;
// Interval between two subscriptions. An agent reports its load for three seconds after a subscription, so one lost
// datagram does no harm.
constexpr std::chrono::milliseconds subscribeInterval { 1000 };
// Interval at which expired entries are dropped and stale idle connections are closed.
constexpr std::chrono::milliseconds maintenanceInterval { 1000 };
// Interval of the checks for stalled groups and unresponsive servers. Agents report as often, so a shorter one would
// not detect anything sooner.
constexpr std::chrono::milliseconds groupCheckInterval { 100 };
// Interval at which changes of the deployment are looked for between two subscriptions. They are reported early,
// because other processes may have no other source; a series of changes is reported in one message.
constexpr std::chrono::milliseconds updatePollInterval { 100 };
// Time for which a leaving gateway still accepts connections: the platform checks readiness every second and stops
// routing connections to the gateway after two failed checks.
constexpr std::chrono::milliseconds readinessPropagationDelay { 2600 };
// Interval at which a leaving gateway checks whether all requests have ended.
constexpr std::chrono::milliseconds leavePollInterval { 20 };
// Time kept free before the process is killed, for sending the last responses.
constexpr std::chrono::milliseconds leaveMargin { 300 };
// Part of that time in which the requests that have not been answered by then get their responses.
constexpr std::chrono::milliseconds lastResponsesTime { 200 };
// Connections to the health address: the platform's checks and readers of metrics.
constexpr std::size_t maxHealthConnections = 256;
// Number of gateways assumed until agents report it. High, because all gateways share the retry budget.
constexpr std::uint32_t initialGatewayCount = 48;
// Validity of a duty that an agent assigned. Agents assign duties ten times a second, but some may be unreachable for a
// while.
constexpr std::chrono::milliseconds dutyValidity { 1000 };
// Share of the shared retry budget that the gateways use. The rest is a margin, because operators count requests
// differently and the number of gateways changes.
constexpr double usedBudgetShare = 0.7;

// Counts a request as long as this object exists.
class running_request {
public:
    explicit running_request(std::size_t& count)
        : m_count(count)
    {
        ++m_count;
    }
    ~running_request() { --m_count; }
    running_request(const running_request&) = delete;
    running_request& operator=(const running_request&) = delete;

private:
    std::size_t& m_count;
};

} // namespace

gateway_service::gateway_service(fiber_runtime& runtime, const daemon_settings& settings,
    std::unique_ptr<header_codec> codec, connection_budget* connections)
    : m_runtime(runtime)
    , m_settings(settings)
    , m_connections(connections)
    , m_codec(std::move(codec))
    , m_usedServers(settings.vm, settings.dataCentre)
    , m_gatewayEstimate(initialGatewayCount)
{
}

gateway_service::~gateway_service() = default;

result<void> gateway_service::start(kernel& kernel)
{
    auto watch = kernel.require<deployment_watch>("deployment");
    auto metrics = kernel.require<metrics_service>("metrics");
    auto peers = kernel.require<peer_service>("peers");
    if (!watch || !metrics || !peers)
        return tl::unexpected(!watch ? watch.error() : (!metrics ? metrics.error() : peers.error()));
    m_watch = *watch;
    m_metrics = *metrics;
    auto socket = datagram_socket::open(m_runtime, m_settings.peers);
    if (!socket)
        return tl::unexpected(socket.error());
    m_socket = std::move(*socket);
    m_agents = std::make_unique<agent_directory>(*m_watch, m_settings.peers.port);
    const auto announcedLeaving
        = [this](const backend_server& server) { return m_context->picker.notices().isLeaving(server.instance()); };
    m_quarantine = std::make_unique<quarantine_network>(m_runtime, m_settings, *m_watch, *m_agents, (*peers)->client(),
        announcedLeaving, kernel.find<crash_archive>("crash_archive"), *m_socket);
    m_context = std::make_unique<gateway_context>(gateway_context { .runtime = m_runtime,
        .codec = *m_codec,
        .metrics = *m_metrics,
        .picker = backend_picker(
            { .localDataCentre = m_settings.dataCentre, .regions = m_settings.regions }, std::random_device {}()),
        .held = held_requests(m_runtime, *m_metrics, { .guaranteedPart = m_settings.gateway->guaranteedPart }),
        .connections = backend_connection_pool(m_runtime),
        .watchdog = {},
        .buffers = buffer_budget(m_settings.gateway->bufferBytes),
        .retryBudgets = retry_budgets(retry_budget::options {}),
        .patience = {},
        .quarantine = m_quarantine->requests(),
        .catalogue = {},
        .isConfigurationCurrent = {},
        .onNotice = {} });
    m_permits
        = std::make_unique<permit_network>(m_runtime, m_settings.vm, m_context->picker.notices(), *m_agents, *m_socket);
    m_permits->setGateways(m_gatewayEstimate.all());
    m_context->picker.onPermitRequest(
        [this](const backend_server& server, std::uint64_t serial) { m_permits->requestPermit(server, serial); });
    m_context->isConfigurationCurrent = [this] { return m_watch->isConfigurationCurrent(); };
    m_context->onNotice = [this](const backend_server& server) { m_permits->sendLimit(server); };
    m_watch->onCatalogue([this](const catalogue_ptr& next) {
        m_hasUpdates = true;
        applyCatalogue(next);
    });
    m_watch->onEvacuation([this] {
        m_hasUpdates = true;
        m_context->picker.setEvacuated(m_watch->evacuated());
        applyServers();
    });
    m_watch->onServers([this] {
        m_hasUpdates = true;
        applyServers();
        m_quarantine->requests().onServersChanged();
    });
    m_watch->onStoreChecked([this] { m_hasUpdates = true; });
    m_watch->onStoreRestored([this] {
        m_hasUpdates = true;
        m_quarantine->onStoreRestored();
    });
    m_metrics->gauge("requests_running", [this] { return static_cast<double>(m_runningRequests); });
    m_metrics->gauge("buffered_bytes", [this] { return static_cast<double>(m_context->buffers.used()); });
    m_metrics->gauge("evacuated_data_centres", [this] { return static_cast<double>(m_watch->evacuated().size()); });
    m_metrics->gauge("deployments_unserved", [this] { return static_cast<double>(m_context->serving.unserved()); });
    m_metrics->gauge("configuration_version",
        [this] { return m_context->catalogue ? static_cast<double>(m_context->catalogue->version().number()) : 0.0; });
    m_metrics->gauge("configuration_current", [this] { return m_watch->isConfigurationCurrent() ? 1.0 : 0.0; });
    m_runtime.spawnLoop("subscriptions", [this] { subscribeLoop(); });
    m_runtime.spawnLoop("datagrams", [this] { receiveLoop(); });
    m_runtime.spawnLoop("maintenance", [this] { maintenanceLoop(); });
    m_runtime.spawnLoop("groups", [this] { groupLoop(); });
    return listen();
}

result<void> gateway_service::listen()
{
    const auto& gateway = *m_settings.gateway;
    const auto refused
        = [this](const char* name) { return [this, name](const std::string& why) { onRefusedConnection(name, why); }; };
    auto health = listener::open(m_runtime,
        { .address = gateway.health,
            .tls = {},
            .maxConnections = maxHealthConnections,
            .budget = m_connections,
            .connectionCost = callerConnectionCost(),
            .onRefused = refused("health") },
        [this](const byte_stream_ptr& stream) {
            serveHttp(
                m_runtime, stream, m_healthOptions,
                [this](const http_request& request, http_responder& responder) { serveHealth(request, responder); },
                [] { return false; });
        });
    if (!health)
        return tl::unexpected(health.error());
    m_healthListener = *health;
    observeCallers();
    auto callers = listener::open(m_runtime,
        { .address = gateway.callers,
            .tls = {},
            .maxConnections = gateway.maxConnections,
            .budget = m_connections,
            .connectionCost = callerConnectionCost(),
            .keptFree = keptFreeByCallers,
            .onRefused = refused("callers") },
        [this](const byte_stream_ptr& stream) { serveCaller(stream); });
    if (!callers)
        return tl::unexpected(callers.error());
    m_callerListener = *callers;
    return {};
}

void gateway_service::onIncompleteAnswer(const std::string& cause, const std::string& details)
{
    m_metrics->count("answers_incomplete_total", { { "cause", cause } });
    logEvent(log_event::AnswerIncomplete, "cause=" + cause + " " + details);
}

void gateway_service::onRefusedConnection(const char* listener, const std::string& why)
{
    m_metrics->count("connections_refused_total");
    logEvent(log_event::ConnectionRefused,
        "listener=" + std::string(listener) + " why=\"" + why
            + "\" connections=" + std::to_string(m_callerListener ? m_callerListener->connections() : 0));
}

void gateway_service::observeCallers()
{
    m_serverOptions.bodies = &m_context->buffers;
    m_serverOptions.onBodyRefused = [this] {
        m_metrics->count("refused_total", { { "reason", "buffers_used_up" } });
        logEvent(log_event::RequestRefused,
            "id=- status=503 why=\"the buffers for the bodies of requests are used up\" buffered_bytes="
                + std::to_string(m_context->buffers.used()));
    };
    m_serverOptions.onIncomplete = [this](incomplete_response reason, const std::string& why) {
        onIncompleteAnswer(toString(reason), "why=\"" + why + "\"");
    };
    m_serverOptions.onFault = [this](const http_request& request, const std::string& why) {
        const auto& id = m_codec->readCaller(request).requestId;
        m_metrics->count("requests_faulted_total");
        logEvent(log_event::RequestFaulted,
            "id=" + (id.empty() ? "-" : id) + " target=" + std::string(pathOf(request.target)) + " why=\"" + why
                + "\"");
    };
}

void gateway_service::serveCaller(const byte_stream_ptr& stream)
{
    serveHttp(
        m_runtime, stream, m_serverOptions,
        [this](const http_request& request, http_responder& responder) {
            const running_request counted(m_runningRequests);
            exchange(*m_context, request, responder).run();
        },
        [this] { return m_leaving; }, &m_idleConnections);
}

bool gateway_service::isReady() const { return m_watch->catalogue() && m_watch->hasServerList() && !m_leaving; }

void gateway_service::serveHealth(const http_request& request, http_responder& responder) const
{
    if (pathOf(request.target) == "/metrics") {
        (void)responder.send(
            { { statusReady, { { "Content-Type", "text/plain; version=0.0.4" } } }, m_metrics->text() });
        return;
    }
    const bool ready = isReady();
    if (ready != m_loggedReady)
        logEvent(log_event::ReadinessChanged, std::string("ready=") + (ready ? "yes" : "no"));
    m_loggedReady = ready;
    (void)responder.send({ { ready ? statusReady : statusNotReady, {} }, ready ? "ready\n" : "not ready\n" });
}

void gateway_service::applyCatalogue(const catalogue_ptr& next)
{
    if (m_context->catalogue == next)
        return;
    m_context->catalogue = next;
    const auto& limits = next->limits();
    m_serverOptions.maxHeaderBytes = limits.maxHeaderBytes;
    m_serverOptions.maxBodyBytes = limits.maxBodyBytes;
    m_serverOptions.headLimit = limits.headLimit;
    m_serverOptions.idleLimit = limits.idleLimit;
    std::set<deployment_id> deployments;
    for (const auto& deployment : next->deployments())
        deployments.insert(deployment.id);
    m_context->serving.retainOnly(deployments);
    applyBudgets();
    applyServers();
}

void gateway_service::applyServers()
{
    if (!m_context->catalogue)
        return;
    m_usedServers.update(m_watch->directory().servers(), *m_context->catalogue, m_watch->evacuated());
    m_agents->setUsedEngines(m_usedServers.engines());
    m_context->picker.setServers(m_usedServers.servers(), *m_context->catalogue);
    m_context->held.onChanged();
}

void gateway_service::applySettings()
{
    m_context->buffers.setTotal(m_settings.gateway->bufferBytes);
    m_context->held.setOptions({ .guaranteedPart = m_settings.gateway->guaranteedPart });
    if (m_context->catalogue)
        applyBudgets();
}

void gateway_service::applyBudgets()
{
    const auto& shared = m_settings.gateway->retries;
    const double window = toMilliseconds(shared.window) / 1000;
    // Within one window a gateway can spend a full bucket and as much as refills meanwhile, so each is half of its
    // share.
    const double reserve = std::max(1.0, usedBudgetShare * shared.extra / m_gatewayEstimate.all() / 2);
    m_context->retryBudgets.setOptions({ .retriesPerSuccess = usedBudgetShare * shared.ratio,
                                           .reserve = reserve,
                                           .maxRetries = reserve,
                                           .reservePerSecond = reserve / window },
        clock_type::now());
}

void gateway_service::subscribeLoop()
{
    while (!m_stopped) {
        const auto bytes = wire::encode({ .sender = m_settings.vm,
            .senderIncarnation = {},
            .version = {},
            .content = wire::load_subscribe { m_watch->knowledge() } });
        for (const auto& agent : m_agents->subscribed(clock_type::now()))
            m_socket->send(agent, bytes);
        const auto nextAt = clock_type::now() + subscribeInterval;
        m_hasUpdates = false;
        while (clock_type::now() < nextAt && !m_hasUpdates)
            m_runtime.sleepFor(updatePollInterval);
    }
}

void gateway_service::receiveLoop()
{
    while (auto datagram = m_socket->receive()) {
        wire::message_decoder decoder(datagram->bytes.size() + 1);
        decoder.feed(datagram->bytes);
        const auto message = decoder.next();
        const auto* content = message && *message ? &(*message)->content : nullptr;
        if (const auto* load = content ? std::get_if<wire::load_update>(content) : nullptr)
            receiveLoad(datagram->sender, *load);
        else if (const auto* crashes = content ? std::get_if<wire::crash_report>(content) : nullptr)
            m_quarantine->receiveReport(datagram->sender, *crashes);
        else if (const auto* permit = content ? std::get_if<wire::permit_reply>(content) : nullptr)
            receivePermit(*permit);
        else
            m_metrics->count("datagrams_unreadable_total");
    }
}

void gateway_service::receiveLoad(const endpoint& sender, const wire::load_update& update)
{
    const auto now = clock_type::now();
    m_watch->addPeer(sender);
    receiveStoreStatus(update);
    m_quarantine->receiveDigest(sender, update.crashes);
    m_agents->recordReport(sender, now);
    m_permits->receiveLimits(sender, update.limits);
    if (const auto informedGateway = parseEndpoint(update.newerDeploymentAt))
        m_watch->receiveUpdateHint(*informedGateway);
    const auto engine = parseEndpoint(update.engine);
    if (!engine)
        return;
    m_context->picker.receiveReport(*engine,
        { .incarnation = backend_incarnation(update.engineIncarnation),
            .running = update.running,
            .waiting = update.waiting,
            .pace = update.pace,
            .group = update.group,
            .epoch = update.epoch,
            .step = update.step,
            .ranks = update.ranks,
            .isOpen = update.isOpen },
        now);
    m_context->held.onChanged();
    const auto& used = m_usedServers.engines();
    if (m_context->catalogue && std::binary_search(used.begin(), used.end(), *engine)
        && m_gatewayEstimate.receive(update.subscribers, m_usedServers.listedEngineCount(), used.size()))
        applyGatewayCounts();
}

void gateway_service::receivePermit(const wire::permit_reply& reply)
{
    m_permits->receiveReply(reply);
    m_context->held.onChanged();
}

void gateway_service::applyGatewayCounts()
{
    m_context->picker.setGatewayCounts(m_gatewayEstimate.perServer(), m_gatewayEstimate.all());
    m_permits->setGateways(m_gatewayEstimate.all());
    applyBudgets();
}

void gateway_service::receiveStoreStatus(const wire::load_update& update)
{
    const auto now = clock_type::now();
    auto current = wire::store_duty::Unknown;
    // Of the duties that are still valid the last one in this list applies. An agent that has just started knows few
    // gateways and assigns each of them more than it needs to do.
    for (const auto duty : { wire::store_duty::Follow, wire::store_duty::Check, wire::store_duty::Standby }) {
        if (update.duty == static_cast<std::uint32_t>(duty))
            m_dutyValidUntil[duty] = now + dutyValidity;
        if (now < m_dutyValidUntil[duty])
            current = duty;
    }
    m_watch->receiveConfirmations(update.configuration, update.servers, current);
}

void gateway_service::groupLoop()
{
    while (!m_stopped) {
        m_runtime.sleepFor(groupCheckInterval);
        const auto now = clock_type::now();
        m_context->watchdog.check(
            [this, now](const backend_instance& server) { return m_context->picker.conditionOf(server, now); }, now);
        m_quarantine->requests().checkPending(now);
        logGroups(now);
        logServing(now);
        logOutdated(now);
    }
}

void gateway_service::logOutdated(time_point now)
{
    const auto change = m_context->outdated.check(m_watch->isConfigurationCurrent(), now);
    if (!change)
        return;
    logEvent(change->isCurrent ? log_event::ConfigurationLatestAgain : log_event::ConfigurationMayBeBehind,
        "version=" + std::to_string(m_context->catalogue ? m_context->catalogue->version().number() : 0)
            + " unknown_for_ms="
            + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(change->unknownFor).count())
            + " refused=" + std::to_string(change->refused));
}

void gateway_service::logServing(time_point now)
{
    for (const auto& change : m_context->serving.check(now)) {
        std::string reasons;
        for (const auto& [reason, count] : change.reasons)
            reasons += (reasons.empty() ? "" : ", ") + reason + ": " + std::to_string(count);
        const auto servers = m_context->picker.summarise(change.deployment, now);
        logEvent(log_event::ServingChanged,
            "deployment=" + (change.deployment.empty() ? "-" : change.deployment.text())
                + " serving=" + (change.isServing ? "yes" : "no") + " unserved_for_ms="
                + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(change.unservedFor).count())
                + " reasons=\"" + reasons + "\" servers=" + std::to_string(servers.listed) + " reporting="
                + std::to_string(servers.reporting) + " leaving=" + std::to_string(servers.leaving) + " evacuated="
                + std::to_string(servers.evacuated) + " unavailable=" + std::to_string(servers.unavailable)
                + " avoided=" + std::to_string(servers.avoided) + " group_closed=" + std::to_string(servers.groupClosed)
                + " version=" + std::to_string(m_context->catalogue ? m_context->catalogue->version().number() : 0));
        m_context->metrics.count("serving_changes_total", { { "serving", change.isServing ? "yes" : "no" } });
    }
}

void gateway_service::logGroups(time_point now)
{
    for (const auto& group : m_context->picker.groups(now)) {
        auto& loggedCondition = m_loggedGroups[group.deployment.text() + "/" + group.group];
        if (loggedCondition == group.condition)
            continue;
        loggedCondition = group.condition;
        logEvent(log_event::GroupCondition,
            "deployment=" + group.deployment.text() + " group=" + group.group
                + " condition=" + toString(group.condition)
                + " no_pass_for_ms=" + std::to_string(remaining(group.lastPassAt, now).count())
                + " pass_ms=" + std::to_string(std::lround(group.passMs)) + " stretch=" + fixedText(group.stretch, 2)
                + " expected_open_in_ms=" + std::to_string(remaining(now, group.forecast.openAt).count()));
        m_context->metrics.count("group_conditions_total", { { "condition", toString(group.condition) } });
    }
}

void gateway_service::maintenanceLoop()
{
    while (!m_stopped) {
        m_runtime.sleepFor(maintenanceInterval);
        m_quarantine->expire();
        const auto now = clock_type::now();
        m_agents->expire(now);
        m_permits->expire(now);
        m_context->picker.notices().expire(now);
        m_context->connections.sweep([this](const backend_id& id) {
            const auto* server = m_watch->directory().find(id);
            return server && !server->isLeaving && !m_context->picker.notices().isLeaving(server->instance());
        });
    }
}

// Reports not ready at once, so that no new connections are routed here, serves the requests that still arrive, and
// waits for those in progress and for those that are being received. `stop_admission` decides which requests are
// served.
void gateway_service::leave(time_point deadline)
{
    m_leaving = true;
    const auto limit = deadline - leaveMargin;
    const auto stopAcceptingAt = std::min(limit, clock_type::now() + readinessPropagationDelay);
    m_context->stop.begin({ .begunAt = clock_type::now(), .acceptsUntil = stopAcceptingAt, .endsAt = limit });
    m_runtime.sleepUntil(stopAcceptingAt);
    m_callerListener->acceptPendingAndClose();
    m_idleConnections.closeAll();
    // Connections that are not idle have a request in progress, or one that is being received.
    while (m_callerListener->connections() > 0 && clock_type::now() < limit) {
        m_runtime.sleepFor(leavePollInterval);
        m_idleConnections.closeAll();
    }
    if (m_callerListener->connections() > 0) {
        onIncompleteAnswer("stopped",
            "requests=" + std::to_string(m_runningRequests)
                + " connections=" + std::to_string(m_callerListener->connections()));
        endRunningExchanges(limit + lastResponsesTime);
    }
}

void gateway_service::endRunningExchanges(time_point deadline)
{
    for (auto* running : m_context->running)
        running->endForStop();
    m_context->held.onChanged();
    while (!m_context->running.empty() && clock_type::now() < deadline)
        m_runtime.sleepFor(leavePollInterval);
}

void gateway_service::stop()
{
    m_stopped = true;
    m_permits->stop();
    m_socket->close();
    m_callerListener->close();
    m_healthListener->close();
}

} // namespace coltsfootbend
