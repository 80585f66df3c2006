#pragma once

// Turns a caller's HTTP request into what the entry VM decides on: who asks, which deployment answers, whether it may
// be repeated, by when, and how large it is. Pure; every refusal names its remedy. docs/API.md describes the headers.
//
//     auto parsed = parseCallerRequest(configuration, request, now, defaults);

#include "coltsfootbend/config/configuration.h"
#include "coltsfootbend/net/http.h"
#include "coltsfootbend/request/request_flow.h"
#include "coltsfootbend/routing/router.h"

namespace coltsfootbend {

struct caller_request {
    flow_request flow;
    deployment_id deployment;
    routing_request routing;
    priority_class priority = 0;
    double weight = 1;
    std::string contentType;
};

// Returns the customer whose key the request carries. Fails with `Denied`.
result<customer_id> authenticate(const configuration&, const http_request&);

// Returns the operator's name and role. Fails with `Denied`. While no operator is configured, everyone is an editor.
struct operator_identity {
    std::string name;
    operator_role role = operator_role::Viewer;
};
result<operator_identity> authenticateOperator(const configuration&, const http_request&);

// Reads a request. Fails with `Denied`, `NotFound` when no deployment answers it, or `BadInput`. O(body).
result<caller_request> parseCallerRequest(
    const configuration&, const http_request&, time_point now, duration defaultTimeout);

} // namespace coltsfootbend
