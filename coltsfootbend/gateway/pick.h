#pragma once

// Input and result of `backend_picker::pick`: the request, and either the chosen server or the reason for a refusal and
// when a retry makes sense. Plain data: the rules are in `gateway/backend_picker.h`.
//
//     const pick_request request { .deployment = id, .latencyTarget = 400ms, .deadline = deadline };

#include "coltsfootbend/gateway/backend_directory.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <set>
#include <vector>

namespace coltsfootbend {

// Result of a request that was sent to a backend server.
enum class backend_outcome {
    Answered, // The server answered with a success.
    Failed, // The server answered with an error.
    Busy, // The server proved that it did not run the request.
    Replaced, // Another server answered at its address.
    Broken, // The connection failed or the answer was incomplete.
    Unresponsive, // The server sent nothing for too long, so the request moved to another server.
    Abandoned, // The caller left, which does not indicate a fault of the server.
};

// Callers wait for a Retry-After up to the remaining time to their deadline, divided by this.
constexpr int retryAfterDivisor = 3;

// Why a request is not sent.
enum class refusal_reason {
    NoServers, // No server is registered, or all are leaving.
    NoHomeServers, // No server is in a region to which the request is restricted.
    Evacuated, // All servers are in evacuated data centres.
    GroupDown, // The engines' group is broken; no engine can run the request now.
    GroupStalled, // The engines' group makes no passes: briefly, or because it is about to be reported as broken.
    Cold, // All servers have just started, and this gateway's part of what they accept is used up.
    BackingOff, // All servers have asked for a backoff.
    Limited, // All servers have stated a limit, and it is used up.
    Overloaded, // The request could not be served in time.
};

const char* toString(refusal_reason);
const char* toString(backend_outcome);

// A request for which a server is to be chosen.
struct pick_request {
    deployment_id deployment;
    // Longest acceptable time to the first event or the answer.
    duration latencyTarget {};
    // Longest acceptable pause between two events; 0 if none is stated.
    duration gapTarget {};
    // When the caller gives up.
    time_point deadline {};
    // The caller was refused before and retries. It is late already, so it is served after new callers.
    bool isReturning = false;
    // Resumes a stream that has sent events already; goes before all other requests for a slot.
    bool isResumption = false;
    // 0 is the most urgent.
    std::uint32_t priority = 0;
    // Number of waiting requests that go before this one.
    std::size_t ahead = 0;
    // Those ahead were tried and cannot use what is free.
    bool hasTurn = false;
    // Rate at which requests of the deployment that go before this one arrive at this gateway; 0 where priorities do
    // not matter.
    double moreUrgentPerSecond = 0;
    // Regions whose servers may serve the request; none if all may.
    std::optional<std::set<region_id>> homeRegions;
    // Servers that this request was sent to already.
    std::vector<backend_instance> excluded;
    // Set if the request would move away from a server that has been silent since then. Only servers that have sent
    // something later, or from which nothing is awaited, can take it.
    std::optional<time_point> silentSince;
    // Set if the caller only inquires which server could take the request, and does not send it.
    bool isInquiry = false;
};

// Returns whether the request was sent to the server already.
inline bool isExcluded(const pick_request& request, const backend_server& server)
{
    return std::find(request.excluded.begin(), request.excluded.end(), server.instance()) != request.excluded.end();
}

// The server that a request is to be sent to.
struct picked_backend {
    backend_server server;
    // Expected time to the first event or the answer.
    duration predictedLatency {};
    // Load of the server in requests when it was chosen, for the log.
    double load = 0;
    // Age of the load report; none if no report was received.
    std::optional<duration> reportAge;
};

// A request for which no server was chosen.
struct refused_pick {
    refusal_reason reason = refusal_reason::NoServers;
    // Time after which a retry makes sense; jittered.
    duration retryAfter {};
    // If overloaded or limited: time until the request could be sent.
    duration expectedWait {};
    // Interval at which this gateway may send requests to limited servers, or have callers return; 0 if it is not
    // known.
    duration requestInterval {};
    // Time to the first event once a slot is free.
    duration startLatency {};
    // If a group is broken or stalled, or servers are cold or back off: when the first one is expected to accept
    // requests again.
    time_point expectedOpenAt {};
};

} // namespace coltsfootbend
