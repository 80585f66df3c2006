#pragma once

// The gateway of a deployment: accepts callers' requests and sends each directly to a backend server. Applies the
// configuration and the list of servers from `deployment_watch`, receives the engines' load from the rank agents beside
// them, and reports readiness and metrics over HTTP. Registered with the kernel as "gateway". `gateway/exchange.h`
// serves the single requests.
//
//     kernel.add(std::make_unique<gateway_service>(runtime, settings, codec));

#include "coltsfootbend/gateway/deployment_watch.h"
#include "coltsfootbend/gateway/exchange.h"
#include "coltsfootbend/gateway/gateway_estimate.h"
#include "coltsfootbend/gateway/permit_network.h"
#include "coltsfootbend/gateway/quarantine_network.h"
#include "coltsfootbend/gateway/used_servers.h"
#include "coltsfootbend/net/datagram.h"
#include "coltsfootbend/settings/settings.h"

namespace coltsfootbend {

// Owns the state of one gateway process and runs its listeners and periodic work on fibers.
class gateway_service final : public service {
public:
    // `connections` bounds the connections of all listeners of the process; may be null. It must outlive the service.
    gateway_service(fiber_runtime&, const daemon_settings&, std::unique_ptr<header_codec>,
        connection_budget* connections = nullptr);
    ~gateway_service() override;

    std::string_view name() const override { return "gateway"; }
    result<void> start(kernel&) override;
    void leave(time_point deadline) override;
    void stop() override;

    // Applies settings that changed after the start.
    void applySettings();

    // Returns true when the gateway knows the configuration and the servers, and is not leaving.
    bool isReady() const;

private:
    void applyCatalogue(const catalogue_ptr&);
    void applyServers();
    void applyBudgets();
    result<void> listen();
    void serveCaller(const byte_stream_ptr&);
    // Ends the requests that are in progress, and waits for their last responses.
    void endRunningExchanges(time_point deadline);
    // Log and count what ends a caller's connection without a complete response.
    void observeCallers();
    void onIncompleteAnswer(const std::string& cause, const std::string& details);
    void onRefusedConnection(const char* listener, const std::string& why);
    // Responds to requests for readiness and metrics.
    void serveHealth(const http_request&, http_responder&) const;
    // Subscribes to the load of the used engines, and reports to their agents what this gateway knows of the
    // deployment.
    void subscribeLoop();
    // Receives the agents' datagrams.
    void receiveLoop();
    void receiveLoad(const endpoint& sender, const wire::load_update&);
    void receivePermit(const wire::permit_reply&);
    void applyGatewayCounts();
    // Records when other gateways last confirmed their tables, and which part this gateway has in following the store.
    void receiveStoreStatus(const wire::load_update&);
    void maintenanceLoop();
    // Checks conditions that change with time alone: stalled groups and unresponsive servers.
    void groupLoop();
    void logGroups(time_point now);
    // Logs for which deployments nothing is served any more, or something again, and what is known of their servers.
    void logServing(time_point now);
    // Logs that the configuration has not been known to be the latest one for long, or that it is again.
    void logOutdated(time_point now);

    fiber_runtime& m_runtime;
    const daemon_settings& m_settings;
    connection_budget* const m_connections;
    const std::unique_ptr<header_codec> m_codec;
    deployment_watch* m_watch = nullptr;
    metrics_service* m_metrics = nullptr;
    used_servers m_usedServers;
    std::unique_ptr<agent_directory> m_agents;
    std::unique_ptr<quarantine_network> m_quarantine;
    std::unique_ptr<gateway_context> m_context;
    std::unique_ptr<permit_network> m_permits;
    http_server_options m_serverOptions;
    const http_server_options m_healthOptions {};
    idle_connections m_idleConnections;
    std::unique_ptr<datagram_socket> m_socket;
    std::shared_ptr<listener> m_callerListener;
    std::shared_ptr<listener> m_healthListener;
    std::size_t m_runningRequests = 0; // Number of requests in progress.
    gateway_estimate m_gatewayEstimate; // According to the agents.
    bool m_leaving = false;
    // The deployment has changed since it was last reported to the agents.
    bool m_hasUpdates = false;
    // End of validity of each duty (following or checking the store, or neither) that an agent assigned to this
    // gateway.
    std::map<wire::store_duty, time_point> m_dutyValidUntil;
    bool m_stopped = false;
    std::map<std::string, group_condition> m_loggedGroups; // Keyed by "deployment/group".
    mutable bool m_loggedReady = false;
};

} // namespace coltsfootbend
