#pragma once

// The entry of a deployment: takes callers' requests and sends each straight to a backend server. Applies what
// `deployment_watch` believes, learns engines' load from the rank agents beside them, and says whether it is ready.
// Found through the kernel as "gateway".
//
//     kernel.add(std::make_unique<gateway_service>(runtime, settings, dialect));

#include "coltsfootbend/gateway/deployment_watch.h"
#include "coltsfootbend/gateway/exchange.h"
#include "coltsfootbend/gateway/permit_network.h"
#include "coltsfootbend/gateway/quarantine_network.h"
#include "coltsfootbend/net/datagram.h"
#include "coltsfootbend/settings/settings.h"

namespace coltsfootbend {

class gateway_service final : public service {
public:
    gateway_service(fiber_runtime&, const daemon_settings&, std::unique_ptr<request_dialect>);
    ~gateway_service() override;

    std::string_view name() const override { return "gateway"; }
    result<void> start(kernel&) override;
    void leave(time_point deadline) override;
    void stop() override;

    // Takes over settings that changed.
    void applySettings();

    // True when callers' requests can be served.
    bool isReady() const;

private:
    void applyCatalogue(const catalogue_ptr&);
    void applyServers();
    void applyBudgets();
    result<void> listen();
    void serveCaller(const byte_stream_ptr&);
    void serveHealth(const http_request&, http_responder&) const;
    void subscribeLoop();
    void receiveLoop();
    void hearLoad(const endpoint& sender, const wire::load_news&);
    // When other gateways have heard of the store, and who asks it for all.
    void hearOfStore(const wire::load_news&);
    void maintainLoop();
    // Looks at what changes with time alone: groups that stand, servers that are silent.
    void groupLoop();
    void logGroups(time_point now);

    fiber_runtime& m_runtime;
    const daemon_settings& m_settings;
    const std::unique_ptr<request_dialect> m_dialect;
    deployment_watch* m_watch = nullptr;
    metrics_service* m_metrics = nullptr;
    std::unique_ptr<agent_directory> m_agents;
    std::unique_ptr<quarantine_network> m_quarantine;
    std::unique_ptr<gateway_context> m_context;
    std::unique_ptr<permit_network> m_permits;
    http_server_options m_serverOptions;
    idle_connections m_idle;
    std::unique_ptr<datagram_socket> m_news;
    std::shared_ptr<listener> m_callers;
    std::shared_ptr<listener> m_health;
    std::size_t m_running = 0; // Requests under way.
    std::uint32_t m_gateways; // As far as known, this one included.
    bool m_leaving = false;
    // The deployment has changed since the agents were last told of it.
    bool m_hasNews = false;
    // Until when what agents said last of this gateway's part in following the store holds.
    std::map<wire::store_duty, time_point> m_dutyUntil;
    bool m_stopped = false;
    std::map<std::string, group_condition> m_loggedGroups; // By deployment and group.
    mutable bool m_saidReady = false;
};

} // namespace coltsfootbend
