#pragma once

// Drives one `request_flow`: performs its actions over the network, feeds the results back as events, and writes the
// answer to the caller. Each request has its own exchange, which runs on the fiber of the caller's connection. All
// decisions are made by the flow.
//
//     auto exchange = std::make_shared<caller_exchange>(entry, request, parsed);
//     exchange->run(responder);

#include "coltsfootbend/entry/entry_service.h"
#include "coltsfootbend/net/fiber_signal.h"

#include <memory>

namespace coltsfootbend {

class caller_exchange final : public std::enable_shared_from_this<caller_exchange>, private worker_chooser {
public:
    caller_exchange(entry_service&, const http_request&, const caller_request&);

    // Blocks until the caller has its final answer.
    void run(http_responder&);

    // Ends the request by `limit`, because the process stops. The caller gets an answer if none was begun.
    void endBy(time_point limit);

    // Returns the outcome that was reported to the caller. Valid after `run`.
    const finish_request& conclusion() const { return m_conclusion; }

private:
    std::optional<run_place> choose(time_point now, const std::vector<vm_id>& tried) override;

    void perform(const flow_action&, http_responder&);
    void begin(const send_claim&);
    void begin(const send_dispatch&);
    void begin(const send_revoke&);
    void begin(const send_join&);
    void begin(const send_close&);
    void begin(const send_cancel&);
    void conclude(const finish_request&, http_responder&);

    template <typename Work> void spawn(Work);
    void sendRequest(std::uint64_t operation, const vm_id& worker, wire::body requestMessage, bool isClose = false);
    void streamAnswer(std::uint64_t operation, const vm_id& worker, wire::body requestMessage, bool isDispatch);
    void push(std::uint64_t operation, decltype(flow_event::payload) payload);
    void resetStream();
    void recordEvent(const flow_event&);
    void recordAttemptEnd(std::optional<duration> served);

    entry_service& m_entry;
    const http_request& m_request; // Used on the caller's fiber only.
    const caller_request m_parsed; // A copy, because operations may outlive the caller's connection.
    entry_service::deployment_state& m_deployment;
    mailbox<flow_event> m_events;
    fiber_signal m_eventConsumed;
    request_flow m_flow;
    std::shared_ptr<peer_stream> m_stream;
    bool m_headSent = false;
    bool m_done = false;
    finish_request m_conclusion;
    // The attempt that the router counts as in flight, if any.
    std::optional<send_dispatch> m_routed;
    time_point m_routedAt {};
};

// Returns the error response for a request that ended without an answer: status, outcome header, reason and remedy.
http_response outcomeResponse(const finish_request&);

} // namespace coltsfootbend
