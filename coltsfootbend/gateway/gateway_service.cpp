#include "coltsfootbend/gateway/gateway_service.h"

#include "coltsfootbend/base/log_event.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace coltsfootbend {

namespace {

constexpr int statusReady = 200;
constexpr int statusNotReady = 503;
// Agents tell their load for three seconds after a subscription, so one lost datagram does no harm.
constexpr std::chrono::milliseconds subscribeEvery { 1000 };
constexpr std::chrono::milliseconds maintainEvery { 1000 };
// Agents speak this often, so that nothing is seen sooner.
constexpr std::chrono::milliseconds groupLookEvery { 100 };
// What has changed in the deployment is told sooner, since others may hear of it in no other way; a series of changes
// goes into one message.
constexpr std::chrono::milliseconds newsLookEvery { 100 };
// The platform looks at readiness every second and stops sending connections after two misses.
constexpr std::chrono::milliseconds rotationDelay { 2600 };
constexpr std::chrono::milliseconds leaveLookEvery { 20 };
// Left before the process is killed, for the last answers to be sent.
constexpr std::chrono::milliseconds leaveMargin { 300 };
// Until agents say how many gateways there are: careful, for the retry budget is shared by all.
constexpr std::uint32_t assumedGateways = 48;
// Agents say ten times a second who follows the store; some may not be heard for a while.
constexpr std::chrono::milliseconds dutyKnownFor { 1000 };
// What of the shared budget is used: requests are counted differently by those who set it, and gateways come and go.
constexpr double usedShareOfBudget = 0.7;

} // namespace

gateway_service::gateway_service(
    fiber_runtime& runtime, const daemon_settings& settings, std::unique_ptr<request_dialect> dialect)
    : m_runtime(runtime)
    , m_settings(settings)
    , m_dialect(std::move(dialect))
    , m_gateways(assumedGateways)
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
    auto news = datagram_socket::open(m_runtime, m_settings.peers);
    if (!news)
        return tl::unexpected(news.error());
    m_news = std::move(*news);
    m_agents = std::make_unique<agent_directory>(*m_watch, m_settings.peers.port);
    const auto saidItLeaves
        = [this](const backend_server& server) { return m_context->picker.notices().isLeaving(server.instance()); };
    m_quarantine = std::make_unique<quarantine_network>(m_runtime, m_settings, *m_watch, *m_agents, (*peers)->client(),
        saidItLeaves, kernel.find<crash_archive>("crash_archive"), *m_news);
    m_context = std::make_unique<gateway_context>(gateway_context { .runtime = m_runtime,
        .dialect = *m_dialect,
        .metrics = *m_metrics,
        .picker = backend_picker({ .localDataCentre = m_settings.dataCentre }, std::random_device {}()),
        .connections = backend_connection_pool(m_runtime),
        .watchdog = {},
        .retryBudgets = {},
        .patience = {},
        .quarantine = m_quarantine->requests(),
        .catalogue = {},
        .onNotice = {} });
    m_permits
        = std::make_unique<permit_network>(m_runtime, m_settings.vm, m_context->picker.notices(), *m_agents, *m_news);
    m_permits->setGateways(m_gateways);
    m_context->picker.onPermitRequest(
        [this](const backend_server& server, std::uint64_t serial) { m_permits->ask(server, serial); });
    m_context->onNotice = [this](const backend_server& server) { m_permits->tell(server); };
    m_watch->onCatalogue([this](const catalogue_ptr& next) {
        m_hasNews = true;
        applyCatalogue(next);
    });
    m_watch->onServers([this] {
        m_hasNews = true;
        applyServers();
    });
    m_watch->onStoreChecked([this] { m_hasNews = true; });
    m_metrics->gauge("requests_running", [this] { return static_cast<double>(m_running); });
    m_metrics->gauge("configuration_version",
        [this] { return m_context->catalogue ? static_cast<double>(m_context->catalogue->version().number()) : 0.0; });
    m_runtime.spawn([this] { subscribeLoop(); });
    m_runtime.spawn([this] { receiveLoop(); });
    m_runtime.spawn([this] { maintainLoop(); });
    m_runtime.spawn([this] { groupLoop(); });
    return listen();
}

result<void> gateway_service::listen()
{
    const auto& gateway = *m_settings.gateway;
    auto health = listenHttp(m_runtime, gateway.health, {},
        [this](const http_request& request, http_responder& responder) { serveHealth(request, responder); });
    if (!health)
        return tl::unexpected(health.error());
    m_health = *health;
    auto callers
        = listener::open(m_runtime, { .address = gateway.callers, .tls = {}, .maxConnections = gateway.maxConnections },
            [this](const byte_stream_ptr& stream) { serveCaller(stream); });
    if (!callers)
        return tl::unexpected(callers.error());
    m_callers = *callers;
    return {};
}

void gateway_service::serveCaller(const byte_stream_ptr& stream)
{
    serveHttp(
        m_runtime, stream, m_serverOptions,
        [this](const http_request& request, http_responder& responder) {
            ++m_running;
            exchange(*m_context, request, responder).run();
            --m_running;
        },
        [this] { return m_leaving; }, &m_idle);
}

bool gateway_service::isReady() const { return m_watch->catalogue() && m_watch->knowsServers() && !m_leaving; }

void gateway_service::serveHealth(const http_request& request, http_responder& responder) const
{
    if (pathOf(request.target) == "/metrics") {
        (void)responder.send(
            { { statusReady, { { "Content-Type", "text/plain; version=0.0.4" } } }, m_metrics->text() });
        return;
    }
    const bool ready = isReady();
    if (ready != m_saidReady)
        logEvent(log_event::ReadinessChanged, std::string("ready=") + (ready ? "yes" : "no"));
    m_saidReady = ready;
    (void)responder.send({ { ready ? statusReady : statusNotReady, {} }, ready ? "ready\n" : "not ready\n" });
}

void gateway_service::applyCatalogue(const catalogue_ptr& next)
{
    m_context->catalogue = next;
    const auto& limits = next->limits();
    m_serverOptions.maxHeaderBytes = limits.maxHeaderBytes;
    m_serverOptions.maxBodyBytes = limits.maxBodyBytes;
    m_serverOptions.headLimit = limits.headLimit;
    m_serverOptions.idleLimit = limits.idleLimit;
    applyBudgets();
    applyServers();
}

void gateway_service::applyServers()
{
    if (!m_context->catalogue)
        return;
    m_context->picker.setServers(m_watch->directory().servers(), *m_context->catalogue);
}

void gateway_service::applySettings()
{
    if (m_context->catalogue)
        applyBudgets();
}

void gateway_service::applyBudgets()
{
    const auto& shared = m_settings.gateway->retries;
    const double window = toMilliseconds(shared.window) / 1000;
    // A window may see a full bucket and what comes back meanwhile, so each is half of the share.
    const double reserve = std::max(1.0, usedShareOfBudget * shared.extra / m_gateways / 2);
    const retry_budget::options options { .retriesPerSuccess = usedShareOfBudget * shared.ratio,
        .reserve = reserve,
        .most = reserve,
        .reservePerSecond = reserve / window };
    m_context->retryBudgets.clear();
    for (const auto& deployment : m_context->catalogue->deployments())
        m_context->retryBudgets.emplace(deployment.id, retry_budget(options));
    for (const auto& route : m_context->catalogue->routes()) {
        for (const auto& part : route.deployments)
            m_context->retryBudgets.emplace(part.deployment, retry_budget(options));
    }
}

void gateway_service::subscribeLoop()
{
    while (!m_stopped) {
        const auto bytes = wire::encode({ .sender = m_settings.vm,
            .senderLife = {},
            .version = {},
            .content = wire::load_subscribe { m_watch->knowledge() } });
        for (const auto& agent : m_agents->all())
            m_news->send(agent, bytes);
        const auto nextAt = clock_type::now() + subscribeEvery;
        m_hasNews = false;
        while (clock_type::now() < nextAt && !m_hasNews)
            m_runtime.sleepFor(newsLookEvery);
    }
}

void gateway_service::receiveLoop()
{
    while (auto got = m_news->receive()) {
        wire::message_decoder decoder(got->bytes.size() + 1);
        decoder.feed(got->bytes);
        const auto message = decoder.next();
        const auto* content = message && *message ? &(*message)->content : nullptr;
        if (const auto* news = content ? std::get_if<wire::load_news>(content) : nullptr)
            hearLoad(got->sender, *news);
        else if (const auto* crashes = content ? std::get_if<wire::crash_report>(content) : nullptr)
            m_quarantine->hear(got->sender, *crashes);
        else if (const auto* permit = content ? std::get_if<wire::permit_reply>(content) : nullptr)
            m_permits->hear(*permit);
        else
            m_metrics->count("datagrams_unreadable_total");
    }
}

void gateway_service::hearLoad(const endpoint& sender, const wire::load_news& news)
{
    const auto now = clock_type::now();
    m_watch->meetPeer(sender);
    hearOfStore(news);
    m_quarantine->hearDigest(sender, news.crashes);
    m_agents->heard(sender, now);
    m_permits->hear(news.limits);
    if (const auto informed = parseEndpoint(news.newsAt))
        m_watch->hearOfNews(*informed);
    const auto engine = parseEndpoint(news.engine);
    if (!engine)
        return;
    m_context->picker.receiveReport(*engine,
        { .life = backend_life(news.life),
            .running = news.running,
            .waiting = news.waiting,
            .pace = news.pace,
            .group = news.group,
            .epoch = news.epoch,
            .step = news.step,
            .ranks = news.ranks,
            .isOpen = news.isOpen },
        now);
    if (news.subscribers > 0 && news.subscribers != m_gateways && m_context->catalogue) {
        m_gateways = news.subscribers;
        m_context->picker.setGatewayCount(m_gateways);
        m_permits->setGateways(m_gateways);
        applyBudgets();
    }
}

void gateway_service::hearOfStore(const wire::load_news& news)
{
    const auto now = clock_type::now();
    auto current = wire::store_duty::Unknown;
    // An agent that was just started has heard few gateways, and takes each for one that is needed.
    for (const auto duty : { wire::store_duty::Follow, wire::store_duty::Check, wire::store_duty::Rest }) {
        if (news.duty == static_cast<std::uint32_t>(duty))
            m_dutyUntil[duty] = now + dutyKnownFor;
        if (now < m_dutyUntil[duty])
            current = duty;
    }
    m_watch->hearConfirmations(news.configuration, news.servers, current);
}

void gateway_service::groupLoop()
{
    while (!m_stopped) {
        m_runtime.sleepFor(groupLookEvery);
        const auto now = clock_type::now();
        m_context->watchdog.check(
            [this, now](const backend_instance& server) { return m_context->picker.isGroupOpen(server, now); }, now);
        logGroups(now);
    }
}

void gateway_service::logGroups(time_point now)
{
    for (const auto& group : m_context->picker.groups(now)) {
        auto& logged = m_loggedGroups[group.deployment.text() + "/" + group.group];
        if (logged == group.condition)
            continue;
        logged = group.condition;
        logEvent(log_event::GroupCondition,
            "deployment=" + group.deployment.text() + " group=" + group.group
                + " condition=" + toString(group.condition)
                + " no_pass_for_ms=" + std::to_string(remaining(group.lastPassAt, now).count())
                + " pass_ms=" + std::to_string(std::lround(group.passMs))
                + " expected_open_in_ms=" + std::to_string(remaining(now, group.forecast.openAt).count()));
        m_context->metrics.count("group_conditions_total", { { "condition", toString(group.condition) } });
    }
}

void gateway_service::maintainLoop()
{
    while (!m_stopped) {
        m_runtime.sleepFor(maintainEvery);
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

// Not ready at once, so that no new connections come; what comes meanwhile is served, and what is under way ends.
void gateway_service::leave(time_point deadline)
{
    m_leaving = true;
    const auto limit = deadline - leaveMargin;
    const auto rotatedOutAt = std::min(limit, clock_type::now() + rotationDelay);
    m_runtime.sleepUntil(rotatedOutAt);
    m_callers->close();
    m_idle.closeAll();
    while (m_running > 0 && clock_type::now() < limit) {
        m_runtime.sleepFor(leaveLookEvery);
        m_idle.closeAll();
    }
}

void gateway_service::stop()
{
    m_stopped = true;
    m_permits->stop();
    m_news->close();
    m_callers->close();
    m_health->close();
}

} // namespace coltsfootbend
