#pragma once

// What a caller's request is by the configuration: its route, its customer, the deployment that is to answer it and
// until when; or why it is none. Deterministic. Not for whether a server can take it: see `gateway/backend_picker.h`.
//
//     const auto admitted = admitRequest(*catalogue, request, facts, patience, now);
//     if (!admitted) // answer admitted.error()

#include "coltsfootbend/gateway/catalogue.h"
#include "coltsfootbend/gateway/request_dialect.h"
#include "coltsfootbend/limits/patience_tracker.h"

#include <tl/expected.hpp>

namespace coltsfootbend {

// Points into the catalogue by which it was admitted.
struct admitted_request {
    const route* matched = nullptr;
    const customer* caller = nullptr; // Null without one, on open routes.
    deployment_id deployment;
    time_point deadline {};
    // The caller was refused before, as far as its patience tells.
    bool isReturning = false;
};

struct refused_request {
    int status = 0;
    error why;
};

// `arrivedAt`: from when on its time counts.
tl::expected<admitted_request, refused_request> admitRequest(
    const catalogue&, const http_request&, const caller_facts&, patience_tracker&, time_point arrivedAt);

} // namespace coltsfootbend
