#pragma once

// The requests of one deployment that wait at this gateway: for a slot, a permit of a limited server, a cold server, or
// a group. Decides after each change which of them are sent, in which order, and which no longer wait. Where the routes
// of a deployment state different priorities, the order is that of `limits/wait_order.h`; elsewhere requests go by
// arrival, those of returning callers last. Deterministic. Blocks no fiber: see `gateway/held_requests.h`.
//
//     deployment_queue queue(picker, {});
//     const auto ticket = queue.join(request, now);
//     for (const auto& ended : queue.update(now))
//         resume(ended.ticket, ended.outcome);

#include "coltsfootbend/gateway/backend_picker.h"
#include "coltsfootbend/gateway/waiting_policy.h"
#include "coltsfootbend/limits/arrival_rates.h"
#include "coltsfootbend/limits/wait_order.h"

#include <map>
#include <optional>
#include <vector>

namespace coltsfootbend {

// A request that needs a server.
struct queued_request {
    pick_request pick;
    held_request held;
    // Priority that the configuration states, without a penalty for late requests.
    std::uint32_t priority = 0;
    customer_id customer;
    // The deployment serves requests in the order of their priorities.
    bool isOrdered = false;
    // The request has waited before, so it does not count as a new arrival.
    bool isRepeated = false;
    // Until when a resumed stream may wait: its caller leaves when no event comes.
    std::optional<time_point> resumableUntil;
};

// The server that a request is sent to, or why it gets none. The request counts as sent at the server from now on, and
// has used up a permit if the server is limited.
using wait_outcome = tl::expected<picked_backend, refused_pick>;

// A wait that has ended.
struct ended_wait {
    wait_ticket ticket {};
    wait_outcome outcome;
};

class deployment_queue {
public:
    // Interval at which all requests are tried at least: some conditions change with time alone.
    static constexpr std::chrono::milliseconds maxUpdateInterval { 30 };

    // `picker` must outlive the queue.
    deployment_queue(backend_picker& picker, const wait_order::options& options);

    void setOptions(const wait_order::options& options)
    {
        m_guaranteedPart = options.guaranteedPart;
        m_order.setOptions(options);
    }

    // Adds a request. It waits until `update` returns it or `leave` removes it. O(customers).
    wait_ticket join(const queued_request&, time_point now);
    void leave(wait_ticket);
    // Returns the waits that have ended: requests that can be sent now, and those that no longer wait. Tries all
    // requests once in `maxUpdateInterval`, and in between only the first few. O(n * servers).
    std::vector<ended_wait> update(time_point now);
    // Returns when `update` must be called next at the latest.
    time_point nextUpdateAt() const { return m_nextReviewAt; }

    // Returns how many requests were ahead of the request when it joined. Precondition: it waits.
    std::size_t aheadAtJoin(wait_ticket ticket) const { return m_waiting.at(ticket).ahead; }
    std::size_t size() const { return m_waiting.size(); }
    std::vector<waiting_class> classes() const { return m_order.classes(); }

private:
    struct entry {
        queued_request request;
        std::size_t ahead = 0;
        std::optional<duration> queueWait; // Expected at its arrival.
        bool isHeld = false; // It was decided at least once to hold it.
        std::optional<refused_pick> refused; // Why it could not be sent when it was last tried.
    };

    // Returns the expected time until a new request is sent, with `ahead` requests before it; none if it is not known.
    std::optional<duration> expectedWait(const queued_request&, std::size_t ahead, time_point now) const;
    // Tries all requests in order, and ends the waits that have become pointless.
    void review(time_point now, std::vector<ended_wait>&);
    // Tries the first requests in order. Returns whether one was sent.
    bool sendFirst(time_point now, std::vector<ended_wait>&);
    // Sends a request if a server can take it. `ahead`: requests before it that could not be sent.
    bool trySend(wait_ticket, std::size_t ahead, time_point now, std::vector<ended_wait>&);
    std::optional<time_point> limitOf(const entry&, time_point now) const;
    pick_request pickRequestOf(const entry&, time_point now) const;

    backend_picker& m_picker;
    wait_order m_order;
    double m_guaranteedPart;
    arrival_rates m_arrivals;
    std::map<wait_ticket, entry> m_waiting;
    time_point m_nextReviewAt {};
    // Time to the first event once a slot is free, by the last refusal.
    duration m_startLatency {};
};

} // namespace coltsfootbend
