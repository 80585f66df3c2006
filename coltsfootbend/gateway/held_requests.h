#pragma once

// Blocks the fibers of requests that wait for a server at this gateway, and resumes each when it is its turn or its
// wait is over. Waits end when something changes: `onChanged` is called after reports, finished requests, permits,
// notices and changes of the list of servers. `gateway/deployment_queue.h` decides the order.
//
//     held_requests held(runtime, metrics, {});
//     const auto outcome = held.acquire(picker, request, isWithdrawn);
//     if (outcome && *outcome)
//         sendTo((*outcome)->server);

#include "coltsfootbend/gateway/deployment_queue.h"
#include "coltsfootbend/metrics/metrics.h"
#include "coltsfootbend/net/fiber_runtime.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace coltsfootbend {

// All requests that wait at this gateway.
class held_requests {
public:
    held_requests(fiber_runtime&, metrics_service&, const wait_order::options&);

    // Blocks until the request can be sent or no longer waits. Returns none once `isWithdrawn` returns true: the caller
    // has left, or the request must not be sent any more. `label`: fields that begin the log line of the wait. `picker`
    // must be the same in all calls and outlive the waits.
    std::optional<wait_outcome> acquire(backend_picker& picker, const queued_request&,
        const std::function<bool()>& isWithdrawn, const std::function<std::string()>& label);

    // Looks again for requests that can be sent.
    void onChanged();

    // Changes the part that is guaranteed to each class and customer.
    void setOptions(const wait_order::options&);

    // Returns the number of waiting requests of all deployments, or of one.
    std::size_t waiting() const;
    std::size_t waiting(const deployment_id&) const;

private:
    struct shared_state;

    fiber_runtime& m_runtime;
    metrics_service& m_metrics;
    std::shared_ptr<shared_state> m_state; // Shared with the fiber that updates the queues.
};

} // namespace coltsfootbend
