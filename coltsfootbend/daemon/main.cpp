// The daemon: reads its settings, creates the services that they configure, and runs until a planned stop is complete.

#include "coltsfootbend/base/log_event.h"
#include "coltsfootbend/daemon/process_signals.h"
#include "coltsfootbend/daemon/start_conditions.h"
#include "coltsfootbend/engine/standin.h"
#include "coltsfootbend/gateway/gateway_service.h"
#include "coltsfootbend/group/rank_service.h"
#include "coltsfootbend/net/tls.h"
#include "coltsfootbend/operators/operator_service.h"
#include "coltsfootbend/settings/process_limits.h"
#include "coltsfootbend/store/standin.h"
#include "coltsfootbend/worker/worker_service.h"
#include "platform/deployment_decoder.h"
#include "platform/engine_client.h"
#include "platform/request_headers.h"
#include "platform/store_client.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <optional>
#include <random>
#include <utility>

namespace coltsfootbend {

namespace {

// Environment variable with the path of the settings file, for a process that is started without --settings.
constexpr const char* settingsVariable = "COLTSFOOTBEND_BOOT";
constexpr int exitSettings = 2;
constexpr int exitStart = 3;
// Added to the drain limit for the services to stop. A service that takes longer does not keep the process from ending.
constexpr std::chrono::seconds stopLimit { 1 };

incarnation drawIncarnation()
{
    std::random_device device;
    return incarnation((static_cast<std::uint64_t>(device()) << 32U | device()) | 1U);
}

// Creates, starts and stops the services of the process.
class daemon_process {
public:
    daemon_process(daemon_settings settings, std::string settingsPath)
        : m_settings(std::move(settings))
        , m_settingsPath(std::move(settingsPath))
        , m_incarnation(drawIncarnation())
        , m_connections(connectionTotals(m_settings, systemLimits()))
        , m_signals(m_runtime.io(), SIGTERM, SIGINT, SIGQUIT)
        , m_reloads(m_runtime.io(), SIGHUP)
    {
    }

    // Runs the process until its end.
    [[noreturn]] void run()
    {
        if (auto composed = compose(); !composed)
            failStart(composed.error());
        m_signals.async_wait([this](boost::system::error_code code, int) {
            if (!code)
                leave();
        });
        if (isStopRequested())
            leave();
        m_runtime.spawn([this] {
            if (!runLogged("start", [this] { start(); }))
                failStart({ error_kind::Internal, "the start ended with an exception", "Report this" });
        });
        m_runtime.run();
        logEvent(log_event::ProcessStopped, "vm=" + m_settings.vm.text());
        endProcess(EXIT_SUCCESS);
    }

private:
    // Exits without destroying the services: fibers that still wait, such as for the store, refer to them, and the end
    // of the thread would wait for all fibers. The process holds no durable state.
    [[noreturn]] static void endProcess(int exitCode)
    {
        stopLog();
        std::cout.flush();
        std::_Exit(exitCode);
    }

    // Starts the services once their addresses are free.
    void start()
    {
        const auto deadline = addressDeadline(m_settings, clock_type::now());
        if (auto free = awaitAddresses(m_runtime, listenAddresses(m_settings), deadline); !free)
            failStart(free.error());
        if (m_leaving)
            return;
        if (auto started = m_kernel.start(); !started)
            failStart(started.error());
        registerDrain();
        logEvent(log_event::ProcessStarted,
            "vm=" + m_settings.vm.text() + " life=" + std::to_string(m_incarnation.number()));
        awaitReload();
        if (isReloadRequested())
            requestReload();
    }

    // Ends the process after a failed start. Services that did start have fibers already.
    [[noreturn]] static void failStart(const error& error)
    {
        logEvent(log_event::ProcessFailed, "code=" + std::to_string(exitStart) + " why=\"" + toString(error) + "\"");
        (void)tryPrintLine("coltsfootbend: " + toString(error));
        endProcess(exitStart);
    }

    result<void> compose()
    {
        std::function<tls_context()> callerTls;
        peer_service::options peers { .address = {}, .serverTls = {}, .clientTls = {}, .connections = &m_connections };
        if (m_settings.peers.port != 0)
            peers.address = m_settings.peers;
        if (m_settings.peerTls) {
            auto server = tls_store::open(*m_settings.peerTls, tls_role::MutualServer);
            auto client = tls_store::open(*m_settings.peerTls, tls_role::MutualClient);
            if (!server || !client)
                return tl::unexpected(server ? client.error() : server.error());
            peers.serverTls = (*server)->source();
            peers.clientTls = (*client)->source();
        }
        if (m_settings.entry && m_settings.entry->callerTls) {
            auto store = tls_store::open(*m_settings.entry->callerTls, tls_role::Server);
            if (!store)
                return tl::unexpected(store.error());
            callerTls = (*store)->source();
        }
        m_kernel.add(std::make_unique<metrics_service>());
        if (m_settings.platformStandin)
            m_kernel.add(std::make_unique<platform_standin>(m_runtime, *m_settings.platformStandin));
        if (m_settings.engineStandin)
            m_kernel.add(std::make_unique<engine_standin>(m_runtime, *m_settings.engineStandin));
        const bool isOnDeployment = m_settings.gateway || m_settings.rankAgent;
        if (!m_settings.entry && !m_settings.worker && !isOnDeployment)
            return {};
        m_kernel.add(std::make_unique<peer_service>(
            m_runtime, peer_identity { .vm = m_settings.vm, .processIncarnation = m_incarnation }, std::move(peers)));
        if (isOnDeployment) {
            composeDeployment();
            return {};
        }
        m_kernel.add(std::make_unique<config_service>(m_runtime, m_settings));
        if (m_settings.worker)
            m_kernel.add(std::make_unique<worker_service>(m_runtime, m_settings, m_incarnation));
        if (!m_settings.entry)
            return {};
        m_kernel.add(std::make_unique<entry_service>(m_runtime, m_settings, m_incarnation, callerTls));
        m_kernel.add(std::make_unique<operator_service>(
            m_runtime, m_settings, m_incarnation, std::move(callerTls), [this] { leave(); }));
        return {};
    }

    // Adds the services of gateways and rank agents, whose deployment is described in the platform's store.
    void composeDeployment()
    {
        std::vector<endpoint> peers;
        for (const auto& hint : m_settings.peerHints)
            peers.push_back({ hint.ip, m_settings.peers.port });
        auto options = m_settings.rankAgent ? deployment_watch::options::forAgents() : deployment_watch::options {};
        options.peers = std::move(peers);
        options.localDataCentre = m_settings.dataCentre;
        m_kernel.add(std::make_unique<deployment_watch>(m_runtime,
            std::make_unique<platform::store_client>(m_runtime, *m_settings.deploymentStore),
            std::make_unique<platform::table_decoder>(), std::move(options)));
        if (m_settings.gateway) {
            m_kernel.add(std::make_unique<crash_archive>(
                m_runtime, std::make_unique<platform::store_client>(m_runtime, *m_settings.deploymentStore)));
            auto gateway = std::make_unique<gateway_service>(
                m_runtime, m_settings, std::make_unique<platform::request_headers>(), &m_connections);
            m_onReload.emplace_back([service = gateway.get()] { service->applySettings(); });
            m_kernel.add(std::move(gateway));
        }
        if (m_settings.rankAgent) {
            m_kernel.add(std::make_unique<rank_service>(m_runtime, m_settings, [this](const endpoint& engine) {
                return std::make_unique<platform::engine_client>(m_runtime, engine);
            }));
        }
    }

    void awaitReload()
    {
        m_reloads.async_wait([this](boost::system::error_code code, int) {
            if (code)
                return;
            awaitReload();
            requestReload();
        });
    }

    void requestReload()
    {
        m_reloadDeadline = clock_type::now() + settingsLimit;
        if (m_reloading)
            return;
        m_runtime.spawn([this] {
            (void)runLogged("reload", [this] { reload(); });
            m_reloading = false;
        });
        m_reloading = true;
    }

    // Reloads the settings. Addresses and roles need a restart; other changes apply when they are next read. Invalid
    // settings change nothing; they are read again for a while, because they may be half written.
    void reload()
    {
        auto next = loadSettings(m_settingsPath);
        for (bool isLogged = false; !next && clock_type::now() < m_reloadDeadline;
             next = loadSettings(m_settingsPath)) {
            if (!std::exchange(isLogged, true))
                logRefused(next.error());
            m_runtime.sleepFor(startRetryInterval);
        }
        if (!next) {
            logEvent(log_event::ReloadGivenUp, toString(reloadError(next.error().front())));
            return;
        }
        const auto kept = takeReloadable(m_settings, *next);
        logEvent(
            log_event::SettingsReloaded, "vm=" + m_settings.vm.text() + (kept.empty() ? "" : " needs_restart=" + kept));
        for (const auto& changed : m_onReload)
            changed();
    }

    static error reloadError(const error& cause)
    {
        return { cause.kind,
            "the settings file is not read again after " + std::to_string(settingsLimit.count())
                + " s, and the former settings stay in force: " + cause.message,
            "Correct the file and send SIGHUP again" };
    }

    static void logRefused(const std::vector<error>& errors)
    {
        for (const auto& error : errors)
            logEvent(log_event::SettingsRefused, toString(error));
    }

    void registerDrain()
    {
        auto* peers = m_kernel.find<peer_service>("peers");
        if (!peers)
            return;
        peers->on<wire::drain>([this](peer_stream& stream, const wire::message&, const wire::drain& asked) {
            logEvent(log_event::OperatorDrain, "vm=" + m_settings.vm.text() + " actor=" + asked.actor);
            (void)stream.send(wire::acknowledge {}, true);
            leave();
        });
    }

    // Starts a planned stop: requests in flight may complete until the drain limit.
    void leave()
    {
        if (m_leaving)
            return;
        m_leaving = true;
        logEvent(log_event::ProcessLeaving, "vm=" + m_settings.vm.text());
        const auto drainEnd = clock_type::now() + m_settings.drainLimit;
        const bool isLeaving = runLogged("stop", [this, drainEnd] {
            m_runtime.spawn([this, drainEnd] {
                m_runtime.sleepUntil(drainEnd + stopLimit);
                m_runtime.stop();
            });
            m_runtime.spawn([this, drainEnd] {
                m_kernel.leave(drainEnd);
                m_kernel.stop();
                m_runtime.stop();
            });
        });
        if (!isLeaving)
            m_runtime.stop();
    }

    daemon_settings m_settings;
    const std::string m_settingsPath;
    const incarnation m_incarnation;
    fiber_runtime m_runtime;
    connection_budget m_connections;
    kernel m_kernel;
    boost::asio::signal_set m_signals;
    boost::asio::signal_set m_reloads;
    std::vector<std::function<void()>> m_onReload;
    bool m_leaving = false;
    bool m_reloading = false;
    time_point m_reloadDeadline;
};

// Returns the path of the settings file; none if neither the arguments nor the environment name it.
std::optional<std::string> findSettings(const cxxopts::ParseResult& arguments)
{
    if (arguments.count("settings") > 0)
        return arguments["settings"].as<std::string>();
    const char* path = std::getenv(settingsVariable);
    return path ? std::optional<std::string>(path) : std::nullopt;
}

int checkSettings(const std::string& path)
{
    if (const auto settings = loadSettings(path); !settings) {
        printErrors(path, settings.error());
        return exitSettings;
    }
    std::cout << path << ": good\n";
    return EXIT_SUCCESS;
}

// Ends a start that was asked to stop before it had usable settings, and returns the exit code. The log goes to
// standard output, because the settings name its directory.
int endWithoutSettings(const char* program, const std::string& path)
{
    startLog(program, {});
    logEvent(log_event::ProcessLeaving, "vm=- why=\"asked to stop before " + path + " could be used\"");
    logEvent(log_event::ProcessStopped, "vm=-");
    stopLog();
    return EXIT_SUCCESS;
}

int runDaemon(int argc, char** argv)
{
    cxxopts::Options options("coltsfootbend", "Load balancer for expert-parallel model groups: the daemon");
    options.add_options()(
        "s,settings", "TOML settings file; default: that of COLTSFOOTBEND_BOOT", cxxopts::value<std::string>())(
        "check", "check the settings and exit")("version", "print the version and exit")("h,help", "print this");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    if (arguments.count("version") > 0) {
        std::cout << "coltsfootbend " COLTSFOOTBEND_VERSION "\n";
        return 0;
    }
    const auto path = findSettings(arguments);
    if (!path) {
        (void)tryPrintLine(std::string("coltsfootbend: no settings. Give --settings FILE or set ") + settingsVariable
            + "; see --help");
        return exitSettings;
    }
    if (arguments.count("check") > 0)
        return checkSettings(*path);
    const auto settings = awaitSettings(*path, isStopRequested);
    if (!settings)
        return endWithoutSettings(argv[0], *path);
    startLog(argv[0], settings->settings.logDirectory);
    for (const auto& replaced : settings->replaced)
        logEvent(log_event::SettingReplaced, toString(replaced));
    daemon_process(settings->settings, *path).run();
}

} // namespace

} // namespace coltsfootbend

int main(int argc, char** argv)
{
    coltsfootbend::installSignalHandlers();
    try {
        return coltsfootbend::runDaemon(argc, argv);
    } catch (const std::exception& exception) {
        (void)coltsfootbend::tryPrintLine(std::string("coltsfootbend: ") + exception.what() + ". See --help");
        return 2;
    }
}
