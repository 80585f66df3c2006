#pragma once

// Serves one request of a caller from its head to the final response: admits it, sends it to a backend server, relays
// the response, and decides whether it may be sent to another server after a failure. Runs on the fiber of the caller's
// connection. `gateway/backend_picker.h` chooses the servers and `gateway/header_codec.h` interprets headers.
//
//     exchange(context, request, responder).run();

#include "coltsfootbend/gateway/backend_connection.h"
#include "coltsfootbend/gateway/backend_picker.h"
#include "coltsfootbend/gateway/body_relay.h"
#include "coltsfootbend/gateway/catalogue.h"
#include "coltsfootbend/gateway/event_stream.h"
#include "coltsfootbend/gateway/held_requests.h"
#include "coltsfootbend/gateway/outdated_monitor.h"
#include "coltsfootbend/gateway/request_admission.h"
#include "coltsfootbend/gateway/request_quarantine.h"
#include "coltsfootbend/gateway/response_watchdog.h"
#include "coltsfootbend/gateway/second_attempt.h"
#include "coltsfootbend/gateway/serving_monitor.h"
#include "coltsfootbend/gateway/stop_admission.h"
#include "coltsfootbend/limits/patience_tracker.h"
#include "coltsfootbend/limits/retry_budgets.h"
#include "coltsfootbend/metrics/metrics.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace coltsfootbend {

class exchange;

// State that all exchanges of a process share.
struct gateway_context {
    fiber_runtime& runtime;
    const header_codec& codec;
    metrics_service& metrics;
    backend_picker picker;
    held_requests held;
    backend_connection_pool connections;
    response_watchdog watchdog;
    buffer_budget buffers;
    // Bound the share of requests that are sent again.
    retry_budgets retryBudgets;
    patience_tracker patience;
    request_quarantine& quarantine;
    catalogue_ptr catalogue;
    // Which requests are accepted during a planned stop.
    stop_admission stop = {};
    // Whether any request of a deployment is served.
    serving_monitor serving = {};
    // The exchanges that have been admitted and have not ended.
    std::set<exchange*> running = {};
    // Whether the configuration in force may have been behind for long.
    outdated_monitor outdated = {};
    // Returns whether the configuration in force is known to be the latest one; empty if it always is.
    std::function<bool()> isConfigurationCurrent;
    // Called after a server's response has changed the notices of that server (limit, backoff, leaving); may be empty.
    std::function<void(const backend_server&)> onNotice;
};

// Why a request gets no further attempt.
enum class final_reason {
    Deadline, // The caller's time is used up.
    NotRepeatable, // A server may have run the request, and it must not run again.
    AttemptsUsed, // The route allows no more servers.
    RetryBudgetUsed, // The deployment's retry budget is used up.
    NoServer, // No server can take the request.
    Unreachable, // Several servers could not be connected to.
    Quarantined, // The request, or a part of it, is suspected to crash servers.
    Stopping, // The process ends.
    UnusableResponse, // The server's response cannot continue the stream that the caller has begun to receive.
};

const char* toString(final_reason);

// Whether another server could take a request over when that was last considered.
enum class takeover_state {
    NotDue, // The response has never been overdue.
    NotAllowed, // The request must not be sent to another server.
    NoRetry, // The deployment's retry budget is used up.
    NoServer, // No other server has room and sends.
    Considered, // Another server has room; the request is sent if that is still so after a moment.
    Sent,
};

const char* toString(takeover_state);

// One request of a caller and the attempts to have it served. Used for one call of `run`.
class exchange {
public:
    exchange(gateway_context&, const http_request&, http_responder&);

    // Serves the request and returns once the caller has the final response or has disconnected.
    void run();
    // Withdraws the request from its server because the process ends. The caller gets a response if none was begun.
    void endForStop();

private:
    // Result of one attempt.
    enum class next_step {
        Finished, // The caller has the final response.
        TryAgain, // Another attempt may be made; `runAttempts` checks first whether the caller is still connected.
    };

    // Matches the request to a route, a customer and a deployment. Returns false after sending an error response.
    bool admit();
    // Picks servers and makes attempts until one is final, the deadline passes, or the caller disconnects.
    void runAttempts();
    // Handles a request that gets no server and no longer waits for one: sends an error response.
    next_step handleRefusal(const refused_pick&);
    // Returns the end of this request's quarantine, or none for a request that is not known to crash servers.
    std::optional<time_point> quarantinedUntil(time_point now);
    void refuseQuarantined(time_point now, time_point until);
    // Refuses a request that has not run because the process ends; its caller may turn to another one at once.
    void refuseStopping();
    // Refuses a request that the configuration does not allow.
    void refuseUnknown(const refused_request&);
    // Returns true if the process stops and would probably end before a server that gets the request now had answered
    // it. A stream that has begun is continued as long as possible.
    bool isTooLateInStop(time_point now) const;
    // Sends the request to one server and relays the response.
    next_step attemptOnServer(const picked_backend&);
    // Reads the head of the response and relays the rest.
    next_step receiveResponse(const picked_backend&, backend_connection&, time_point sentAt);
    // Relays the rest of a response according to its kind.
    next_step relayResponse(
        const picked_backend&, backend_connection&, const http_head&, watched_response&, time_point sentAt);
    // Records what the head states about its server.
    void receiveServerState(const backend_server&, const response_metadata&, time_point sentAt);
    // Sends the request to a second server if the route, the attempts, the retry budget and the quarantine allow it and
    // a server that is not silent itself can take it. The first server is awaited all the while. Called repeatedly
    // while the response is overdue.
    void prepareSecondAttempt();
    // Does so without a check of what is in progress. Returns what came of it.
    takeover_state tryTakeover(time_point now);
    // Returns whether the request may be sent to a second server now.
    bool mayUseSecondAttempt(time_point now);
    // Called when the connection to the second server is open. Returns the request to send to it, if still needed.
    std::optional<http_request> beginSecondAttempt();
    // Called when the second server has begun to respond, or has failed.
    void onSecondAttemptEnded();
    // Returns true if the response of a second server has begun: a stream with its first complete event, any other
    // response with its head. `received`: the part of the body that has arrived.
    bool hasBegunAnswer(const http_head&, const std::string& received) const;
    // Gives back the retry that was taken for a second server to which the request was not sent.
    void returnUnusedRetry();
    // Returns true if the second server has begun a response that can be passed on, so that the first one was given up.
    bool isSecondAttemptReady() const;
    // Returns true if the request was sent to the second server and that has not failed.
    bool mayAdoptSecondAttempt() const;
    // Records the failure of the second server; the first one is still awaited.
    void recordFailedSecondAttempt();
    // Ends the attempt at the second server, if there is one, because the first one goes on.
    void cancelSecondAttempt();
    // Gives up the silent server and continues with the second one.
    next_step moveToSecondAttempt(const picked_backend& silent);
    // Continues with the second server's response, which it waits for if necessary.
    next_step adoptSecondAttempt();
    // Records that the server has sent something.
    void onDataReceived(const picked_backend&);
    // Records that the request is sent to a server.
    void recordSent(const picked_backend&);
    // Returns the request in the form in which it is sent to a server.
    http_request requestTo(const backend_server&, time_point now) const;
    // Returns the next bytes of a stream: first those that arrived before it was relayed.
    result<std::optional<std::string>> readStream(backend_connection&);
    // Reports an exchange that broke to the quarantine, unless the request cannot be the cause.
    void reportBroken(const picked_backend&, const error& why, time_point sentAt, std::optional<time_point> begunAt);
    // Returns whether a response belongs to this request. Servers may send responses to earlier requests late.
    bool matchesRequest(const http_head&) const;
    // Records the limit, backoff or leaving that the response states. Ignores a response that another server sent.
    void receiveNotice(const backend_server&, const response_metadata&, time_point sentAt);
    // Relays a response with a body: whole, or as it arrives if it is large.
    next_step relayBody(const picked_backend&, backend_connection&, const http_head&, time_point sentAt);
    // Handles the complete body of an error response of the server.
    next_step handleServerError(http_response);
    // Returns an error if the incomplete event of a stream has grown too large.
    result<void> checkPendingEvent();
    // Forwards complete events to the caller as they arrive.
    next_step relayStream(
        const picked_backend&, backend_connection&, const http_head&, watched_response&, time_point sentAt);
    // Handles a response that proves that the server did not run the request.
    next_step handleNotRun(const picked_backend&, const http_head&, const response_metadata&);
    // Handles an attempt that failed: the connection broke, the response was invalid, or the server was unresponsive.
    next_step handleFailure(const picked_backend&, const error&);
    // Returns an error if the response ended with its connection and the server is not seen to live on.
    result<void> checkUnframedEnd(const picked_backend&, const backend_connection&);
    // Closes the connection to the server if the request is refused by now, the server has not begun its response, and
    // the request may run again elsewhere.
    void recallIfRefused(time_point now);
    // Ends a request that was recalled from a server, which may have begun to run it.
    next_step finishRecalled(const picked_backend&);
    // Releases what the exchange still holds of the shared state. An exception may end it at any point.
    void release();
    // Returns why no other server may be tried after a failure, or none if one may be. `mayHaveRun`: the request may
    // have run at the last server.
    std::optional<final_reason> reasonAgainstRetry(bool mayHaveRun) const;
    // Sends the final response when no server gave one that can be passed on, or cuts a started stream.
    void finishWithoutServer(final_reason);
    void cutStream(final_reason);
    void sendError(int status, const error&, std::optional<duration> retryAfter = std::nullopt);
    // Ends an attempt whose caller has disconnected.
    void abandon(const picked_backend&);
    // Returns the request as it waits for a server.
    queued_request queuedRequest() const;
    // Gives back the place at a server to which the request is not sent after all.
    void releasePlace(const backend_instance&);
    // Counts this request as in flight at a server until `recordOutcome`.
    void countInFlight(const backend_instance&, time_point now);
    void recordOutcome(const picked_backend&, backend_outcome, std::optional<duration> latency = std::nullopt);
    pick_request pickRequest() const;
    // Returns the priority of the next attempt; 0 comes first.
    std::uint32_t priority() const;
    // Records that a server has answered the request, which took until now.
    void recordServed();
    // Records that the request ended without an answer of a server.
    void recordUnserved(const std::string& reason);
    // Notifies the quarantine that this request was served without a crash.
    void clearSuspicion();
    // Returns the fingerprint by which the quarantine recognises a repetition of this request. Computed on first use.
    const request_fingerprint& fingerprint();
    // Returns what may be the cause if a server crashes under this request: the request and the parts of its prompt.
    const std::set<crash_suspect>& suspects();
    // Returns the fields that begin each log line of this request.
    std::string logFields() const;

    gateway_context& m_context;
    const http_request& m_request;
    http_responder& m_responder;
    const catalogue_ptr m_catalogue;
    const time_point m_arrivedAt;
    request_metadata m_callerMetadata;
    const route* m_route = nullptr;
    const customer* m_customer = nullptr;
    deployment_id m_deployment;
    std::optional<std::set<region_id>> m_homeRegions; // Regions whose servers may serve the request; none if all may.
    std::shared_ptr<retry_budget> m_retryBudget; // Of the deployment; kept if that leaves the configuration.
    time_point m_deadline {};
    request_fingerprint m_fingerprint;
    std::set<crash_suspect> m_suspects; // Empty until first used.
    std::vector<backend_instance> m_inFlightAt; // The servers at which the picker counts this request as in flight.

    // Shared with the watcher of the caller's connection, which may outlive this exchange.
    struct caller_state {
        bool isDisconnected = false;
        backend_connection_ptr connection; // Connection of the current attempt, closed when the caller disconnects.
    };
    std::shared_ptr<caller_state> m_caller = std::make_shared<caller_state>();

    std::uint32_t m_sentCount = 0; // Number of servers to which this request was sent.
    std::uint32_t m_unreachableCount = 0; // Number of servers to which no connection could be made.
    time_point m_unreachableLimit {}; // From then on another such server ends the request.
    std::vector<backend_instance> m_excludedServers; // Servers that were tried already.
    std::optional<duration> m_retryAfter; // Retry-After of the last refusal by the picker.
    std::optional<http_response> m_serverErrorResponse; // A server's 5xx, passed on if no other attempt succeeds.
    event_splitter m_events;
    buffer_share m_pendingEvent; // The part of the event that is incomplete.
    std::unique_ptr<second_attempt> m_secondAttempt; // Attempt at a second server while the first one is silent.
    time_point m_awaitingSince {}; // When the wait for the next data of the server began.
    std::string m_receivedBeforehand; // Beginning of the stream of a second server that has taken the request over.
    time_point m_sentAt {}; // When the request was sent to the server whose response is awaited or relayed.
    std::optional<time_point> m_begunAt; // When that server began its response.
    time_point m_lastEventAt {}; // When the caller last received an event.
    // Since when another server could take the request over from the silent one; none if it cannot.
    std::optional<time_point> m_takeoverPossibleSince;
    takeover_state m_takeover = takeover_state::NotDue;
    bool m_isReturning = false;
    bool m_wasHeld = false; // The request has waited at this gateway for a server.
    bool m_mayHaveRun = false; // A server may have run the request, so the final response must not claim that none did.
    bool m_holdsUnusedRetry = false; // A retry was taken for a second server, and the request is not sent to it yet.
    bool m_isAwaitingSecondAttempt = false; // The first server has failed, so the request depends on the second one.
    bool m_isStopped = false; // The process ends.
    bool m_isRecalled = false; // The request was recalled from the last server before that began its response.
    bool m_hasBegunStream = false; // The caller has received the head of a stream.
    bool m_hasBegunBody = false; // The caller has received the head of a response that is forwarded as it arrives.
};

} // namespace coltsfootbend
