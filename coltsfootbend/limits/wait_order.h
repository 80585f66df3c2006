#pragma once

// Orders the requests of one deployment that wait at a gateway while capacity is short: by priority, then those that
// can still be served in time, then the customer that has received least for its share, then by arrival. No priority
// class and no customer starves. Deterministic; reads no clock. Blocks no fiber and chooses no server: see
// `gateway/held_requests.h`.
//
//     wait_order order({ .guaranteedPart = 0.6 });
//     const auto ticket = order.join(request, now);
//     if (order.next(now) == ticket) // it is its turn
//         order.grant(ticket, now);

#include "coltsfootbend/base/id.h"
#include "coltsfootbend/base/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace coltsfootbend {

// A request that waits, or is about to.
struct waiting_request {
    // 0 is the most urgent.
    std::uint32_t priority = 0;
    customer_id customer;
    time_point arrivedAt {};
    // Latest time of a grant with which the caller is still served in time.
    time_point timelyUntil {};
    // The caller was refused before and retries, so it is late already.
    bool isReturning = false;
    // Continues a stream that the caller has begun to receive; goes before all other requests.
    bool isResumption = false;
};

// Identifies a request in one `wait_order`.
enum class wait_ticket : std::uint64_t {};

// Number of requests that wait in one priority class, as the callers' configuration states it.
struct waiting_class {
    std::uint32_t priority = 0;
    std::size_t waiting = 0;
    time_point oldestArrivedAt {};
};

// The order of the waiting requests of one deployment.
class wait_order {
public:
    struct options {
        // Each priority class and each customer with waiting requests gets at least this fraction of what it would get
        // in proportion to its share of the arrivals.
        double guaranteedPart = 0.6;
    };

    explicit wait_order(const options&);
    ~wait_order();
    wait_order(wait_order&&) noexcept;
    wait_order& operator=(wait_order&&) noexcept;

    void setOptions(const options&);

    // Adds a request. The caller must remove it with `leave` or `grant`. O(log n).
    wait_ticket join(const waiting_request&, time_point now);
    // Removes a request that got nothing. Does nothing if the request is not in the order. O(log n).
    void leave(wait_ticket);
    // Removes a request that was sent, and counts it towards the shares of its class and customer. O(log n).
    void grant(wait_ticket, time_point now);

    // Returns the request whose turn it is, or none if no request waits. O(classes + customers), and O(n) if a grant is
    // owed.
    std::optional<wait_ticket> next(time_point now);
    // Returns the first requests in order, at most `limit`: those after the first one get their turn if the first one
    // cannot use what is free. O(limit log n).
    std::vector<wait_ticket> firstInOrder(time_point now, std::size_t limit);
    // Returns the request that goes next because its class or customer is owed a grant, or none. O(n).
    std::optional<wait_ticket> guaranteed(time_point now);
    // Returns how many waiting requests go before a new one. O(classes + customers).
    std::size_t ahead(const waiting_request&, time_point now);
    // Returns the rate of grants over the last second in which requests waited, or none if that is unknown.
    std::optional<double> grantsPerSecond(time_point now) const;

    std::size_t size() const;
    // Returns the classes with waiting requests, most urgent first. O(n).
    std::vector<waiting_class> classes() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace coltsfootbend
