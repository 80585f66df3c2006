#pragma once

// What is asked of `backend_picker` for a request, and what it answers: a server, or why there is none and when another
// try makes sense.
//
//     const pick_request asked { .deployment = id, .latencyTarget = 400ms, .deadline = deadline };

#include "coltsfootbend/gateway/backend_directory.h"
#include "coltsfootbend/limits/waiting_line.h"

#include <optional>
#include <vector>

namespace coltsfootbend {

// How a request that was sent to a backend server went.
enum class backend_outcome {
    Answered, // With a success.
    Failed, // With an error of its own.
    Busy, // It proved that it did not run the request.
    Replaced, // Another server answered at its address.
    Broken, // The connection failed or the answer was not whole.
    Silent, // Nothing came for too long.
    Abandoned, // The caller left, which says nothing of the server.
};

// Why a request is not sent.
// Callers keep to Retry-After up to this part of the time that they have left: a third.
constexpr int mostHonouredPart = 3;

enum class pick_refusal {
    NoServers, // None is registered, or all are leaving.
    GroupDown, // The engines' group is broken; nobody can run it now.
    GroupStanding, // The engines' group makes no passes, for a moment or because it is about to be found broken.
    Resting, // All servers have asked to be left alone for a while.
    Limited, // Servers take no more than they named, and that is in use.
    Overloaded, // It could not be served in time.
};

const char* toString(pick_refusal);
const char* toString(backend_outcome);

struct pick_request {
    deployment_id deployment;
    duration latencyTarget {};
    // The longest pause between two events; 0 where none is stated.
    duration gapTarget {};
    // When the caller gives up.
    time_point deadline {};
    // The caller was refused before, so it is late already and waits behind the others.
    bool isReturning = false;
    // Goes on with a stream that was begun, which has the first claim on a slot.
    bool isResumption = false;
    // 0 comes first.
    std::uint32_t priority = 0;
    // Where it stands among those that wait for limited servers; none while it does not wait.
    std::optional<waiting_line::place> place;
    // Servers that this request has been sent to.
    std::vector<backend_instance> excluded;
};

struct picked_backend {
    backend_server server;
    // Until the first event or the answer, as predicted.
    duration predicted {};
    // What the choice was made from, for the log.
    double load = 0;
    std::optional<duration> reportAge; // None while the server's load was never heard.
};

struct pick_refused {
    pick_refusal reason = pick_refusal::NoServers;
    // After which another try makes sense; jittered.
    duration retryAfter {};
    // For an overloaded or limited one: until the request could be sent.
    duration expectedWait {};
    // For a limited one: between two requests that this gateway may send.
    duration spacing {};
    // What the first event would take once a slot is free.
    duration startLatency {};
    // For a broken or standing group, and for resting servers: when the first is expected to take requests again.
    time_point expectedOpenAt {};
};

} // namespace coltsfootbend
