#pragma once

// Resolves a caller's request against the configuration: its route, customer, deployment and deadline, or the error to
// answer with. Deterministic. Does not check whether a server can run the request: see `gateway/backend_picker.h`.
//
//     const auto admitted = admitRequest(*catalogue, request, facts, patience, now);
//     if (!admitted) // answer admitted.error()

#include "coltsfootbend/gateway/catalogue.h"
#include "coltsfootbend/gateway/header_codec.h"
#include "coltsfootbend/limits/patience_tracker.h"

#include <tl/expected.hpp>

namespace coltsfootbend {

// What the configuration says of a request. Points into the catalogue that admitted it.
struct admitted_request {
    const route* matched = nullptr;
    const customer* caller = nullptr; // Null for a request without a key on a public route.
    deployment_id deployment;
    // Regions whose servers may serve the request; none if all may.
    std::optional<std::set<region_id>> homeRegions;
    // When the caller gives up.
    time_point deadline {};
    // The caller was refused before and retries, as estimated from the time it has left.
    bool isReturning = false;
};

// What a request has that the configuration does not know.
enum class unknown_part { Route, Key };

const char* toString(unknown_part);

// The HTTP status and error to answer with.
struct refused_request {
    int status = 0;
    error why;
    unknown_part unknown = unknown_part::Route;
};

// Returns the admitted request, or the error to answer with. `arrivedAt`: start of the request's timeout.
tl::expected<admitted_request, refused_request> admitRequest(
    const catalogue&, const http_request&, const request_metadata&, patience_tracker&, time_point arrivedAt);

} // namespace coltsfootbend
