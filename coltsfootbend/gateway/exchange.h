#pragma once

// One request of a caller from its head to its final answer: which route and customer it is, which backend server runs
// it, what is sent again and what is not. Lives on the fiber of the caller's connection. Not for choosing a server
// (`gateway/backend_picker.h`) or for what headers mean (`gateway/request_dialect.h`).
//
//     exchange(context, request, responder).run();

#include "coltsfootbend/gateway/backend_connection.h"
#include "coltsfootbend/gateway/backend_picker.h"
#include "coltsfootbend/gateway/catalogue.h"
#include "coltsfootbend/gateway/event_stream.h"
#include "coltsfootbend/gateway/request_admission.h"
#include "coltsfootbend/gateway/request_quarantine.h"
#include "coltsfootbend/gateway/response_watchdog.h"
#include "coltsfootbend/gateway/waiting_policy.h"
#include "coltsfootbend/limits/patience_tracker.h"
#include "coltsfootbend/limits/retry_budget.h"
#include "coltsfootbend/metrics/metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace coltsfootbend {

// What all exchanges of a process share.
struct gateway_context {
    fiber_runtime& runtime;
    const request_dialect& dialect;
    metrics_service& metrics;
    backend_picker picker;
    backend_connection_pool connections;
    response_watchdog guard;
    // One for each deployment: what may be sent again.
    std::map<deployment_id, retry_budget> budgets;
    patience_tracker patience;
    request_quarantine& quarantine;
    catalogue_ptr catalogue;
    // Is told of a server whose answer asked for something new; may be empty.
    std::function<void(const backend_server&)> onNotice;
};

class exchange {
public:
    exchange(gateway_context&, const http_request&, http_responder&);

    void run();

private:
    // What an attempt leaves to be done.
    enum class next_step {
        Finished, // The caller has its final answer, or is gone.
        TryAgain, // Another server may be asked.
    };

    bool admit();
    void loop();
    next_step refuse(const refused_pick&);
    // Until when this request is kept from servers, which it crashes; none for almost all.
    std::optional<time_point> quarantinedUntil(time_point now);
    void refuseQuarantined(time_point now, time_point until);
    next_step attempt(const picked_backend&);
    next_step receive(const picked_backend&, backend_connection&, time_point sentAt);
    // Takes what the server's answer asks for.
    void hearNotice(const backend_server&, const backend_facts&, time_point sentAt);
    next_step relayWhole(const picked_backend&, backend_connection&, const http_head&, time_point sentAt);
    next_step relayStream(
        const picked_backend&, backend_connection&, const http_head&, watched_response&, time_point sentAt);
    // A server's proof that it did not run the request.
    next_step notRun(const picked_backend&, const http_head&, const backend_facts&);
    // The server broke the exchange, or was silent for too long.
    next_step broke(const picked_backend&, const error&);
    // Leaves the line of those that wait for limited servers.
    void leaveLine();
    bool mayTryAgain();
    // Waits a moment, no longer than until `limit`. Returns whether it makes sense to look for a server again.
    bool lookAgainBefore(time_point limit);
    bool awaitOpenGroup();
    void finishWithoutServer();
    void answer(int status, const error&, std::optional<duration> retryAfter = std::nullopt);
    void abandon(const picked_backend&);
    void settle(const picked_backend&, backend_outcome, std::optional<duration> latency = std::nullopt);
    pick_request pickRequest() const;
    // From when on the head of an answer is looked for elsewhere; never where that may not be.
    time_point headPatience(const picked_backend&, time_point now) const;
    time_point standingPatience(time_point lastSignOfLife) const;
    std::uint32_t priority() const;
    retry_budget& budget();
    void clearSuspicion();
    // What makes a repetition of this request the same one. Worked out when first asked for.
    const request_fingerprint& fingerprint();
    std::string label() const;

    gateway_context& m_context;
    const http_request& m_request;
    http_responder& m_responder;
    const catalogue_ptr m_catalogue;
    const time_point m_arrivedAt;
    caller_facts m_facts;
    const route* m_route = nullptr;
    const customer* m_customer = nullptr;
    deployment_id m_deployment;
    time_point m_deadline {};
    bool m_returning = false;
    request_fingerprint m_fingerprint;
    bool m_held = false; // Here, for a slot or for its group.
    std::optional<waiting_line::place> m_place; // Among those that wait for limited servers.

    // Shared with the watcher of the caller's connection, which may outlive this.
    struct caller_state {
        bool gone = false;
        backend_connection_ptr connection;
    };
    std::shared_ptr<caller_state> m_caller = std::make_shared<caller_state>();

    std::uint32_t m_sent = 0; // Servers that this request was sent to.
    std::uint32_t m_unreachable = 0; // Servers that could not even be connected to.
    std::vector<backend_instance> m_excluded;
    bool m_mayHaveRun = false;
    std::optional<duration> m_retryAfter; // Of the last refusal by the picker.
    std::optional<http_response> m_serverFailure; // A server's own error, passed on when nobody else can do better.
    event_splitter m_events;
    time_point m_sentAt {}; // To the last server.
    bool m_begun = false; // The caller has the head of a stream.
    time_point m_lastEventAt {};
};

} // namespace coltsfootbend
