#pragma once

// Parses a caller's HTTP request into the data that the entry VM decides on: the customer, the deployment, whether the
// request may be repeated, its deadline and its expected cost. Has no side effects; every refusal names its remedy.
// docs/API.md describes the headers.
//
//     auto parsed = parseCallerRequest(configuration, request, now, defaults);

#include "coltsfootbend/config/configuration.h"
#include "coltsfootbend/net/http.h"
#include "coltsfootbend/request/request_flow.h"
#include "coltsfootbend/routing/router.h"

namespace coltsfootbend {

// Represents a parsed request of a caller.
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

// Represents an authenticated operator.
struct operator_identity {
    std::string name;
    operator_role role = operator_role::Viewer;
};
// Returns the operator's name and role. Fails with `Denied`. While no operator is configured, every request has the
// role of an editor.
result<operator_identity> authenticateOperator(const configuration&, const http_request&);

// Parses a request. Fails with `Denied`, `NotFound` when no deployment serves it, or `BadInput`. O(body).
result<caller_request> parseCallerRequest(
    const configuration&, const http_request&, time_point now, duration defaultTimeout);

} // namespace coltsfootbend
