#pragma once

// The service of an entry VM: accepts callers' requests, drives each through a `request_flow`, and routes attempts to
// the worker daemons that announce themselves. Registered under the name "entry".

#include "coltsfootbend/config/config_service.h"
#include "coltsfootbend/entry/caller_request.h"
#include "coltsfootbend/limits/retry_budget.h"
#include "coltsfootbend/membership/worker_directory.h"
#include "coltsfootbend/metrics/metrics.h"
#include "coltsfootbend/net/http.h"
#include "coltsfootbend/settings/settings.h"
#include "coltsfootbend/wire/peer.h"

#include <map>
#include <memory>
#include <random>

namespace coltsfootbend {

class caller_exchange;

// Generates the attempt ids of one incarnation of one entry VM.
class serial_attempts final : public attempt_source {
public:
    serial_attempts(vm_id entry, incarnation entryIncarnation)
        : m_entry(std::move(entry))
        , m_incarnation(entryIncarnation)
    {
    }
    attempt_id nextAttempt() override { return { m_entry, m_incarnation, ++m_serial }; }

private:
    const vm_id m_entry;
    const incarnation m_incarnation;
    std::uint64_t m_serial = 0;
};

// Converts the load that a worker daemon reports to the router's form.
load_report toLoadReport(const wire::load&);

// Represents the entry VM's HTTP service for callers.
class entry_service final : public service {
public:
    // Router and retry budget of one deployment.
    struct deployment_state {
        router routes;
        retry_budget retries;
    };

    entry_service(
        fiber_runtime&, const daemon_settings&, incarnation ownIncarnation, std::function<tls_context()> callerTls);
    ~entry_service() override;

    std::string_view name() const override { return "entry"; }
    result<void> start(kernel&) override;
    void leave(time_point deadline) override;
    void stop() override;

    const worker_directory& directory() const { return m_directory; }
    std::size_t inFlight() const { return m_running.size(); }
    bool isLeaving() const { return m_leaving; }
    // Returns the age of the oldest request that is neither answered nor refused; zero when there is none.
    duration oldestRequestAge() const;
    // Returns the peer address of a worker daemon, as announced or else as configured; none when it is unknown.
    std::optional<endpoint> addressOf(const vm_id&) const;

private:
    friend class caller_exchange;

    struct running_request {
        time_point startedAt {};
        std::shared_ptr<caller_exchange> exchange;
    };

    void handle(const http_request&, http_responder&);
    void serve(const http_request&, const caller_request&, http_responder&);
    http_response issueTickets(const http_request&);
    void onAnnounce(const wire::announce&);
    void refreshRouters();
    deployment_state& stateOf(const deployment_id&);
    void expireLoop();

    fiber_runtime& m_runtime;
    const daemon_settings& m_settings;
    const incarnation m_incarnation;
    const std::function<tls_context()> m_callerTls;
    peer_service* m_peers = nullptr;
    config_service* m_configuration = nullptr;
    metrics_service* m_metrics = nullptr;
    std::shared_ptr<listener> m_listener;
    worker_directory m_directory;
    serial_attempts m_attempts;
    std::map<deployment_id, std::unique_ptr<deployment_state>> m_deployments;
    std::map<std::uint64_t, running_request> m_running; // The requests in flight, by request number.
    std::uint64_t m_requests = 0;
    std::mt19937_64 m_random; // Chooses ticket holders and nonces.
    bool m_leaving = false;
    time_point m_answersUntil = time_point::max(); // In a planned stop all answers have ended by then.
    idle_connections m_idleConnections;
    bool m_stopped = false;
};

} // namespace coltsfootbend
