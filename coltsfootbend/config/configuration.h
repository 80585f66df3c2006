#pragma once

// The versioned configuration as the daemons use it: customers, deployments, backend servers, holders of claims,
// operators and live events. It is written as one JSON document, changed by merge patches (RFC 7386), and checked as a
// whole before it is accepted. The start settings of a single process are in `settings/settings.h`.
//
//     auto configuration = parseConfiguration(config_version(7), document);

#include "coltsfootbend/base/error.h"
#include "coltsfootbend/base/id.h"
#include "coltsfootbend/limits/admission_queue.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootbend {

struct customer_config {
    // Lower-case hexadecimal SHA-256 of the customer's key; the key itself is not stored.
    std::string keySha256;
    priority_class priority = 0;
    double weight = 1;
};

enum class deployment_kind { Engine, Plain };

struct deployment_config {
    deployment_kind kind = deployment_kind::Engine;
    // Engines are selected by the model that a request names, plain services by a path prefix.
    std::string model;
    std::string pathPrefix;
    // Whether a request without a key may be run again. GET, HEAD, PUT and DELETE always may.
    bool idempotent = false;
    // Expected time of one request, or of one token for engines.
    std::chrono::microseconds expectedService {};
    std::vector<vm_id> workers;
};

struct worker_config {
    std::string address;
    data_centre_id dataCentre;
    // Whether the engine itself refuses orders with an old fencing number.
    bool checksOrders = false;
};

enum class operator_role { Viewer, Editor };

struct operator_config {
    std::string keySha256;
    operator_role role = operator_role::Viewer;
};

// A live event: between start and end, planned changes to its deployment wait or are refused.
struct event_config {
    deployment_id deployment;
    std::chrono::system_clock::time_point start;
    std::chrono::system_clock::time_point end;
};

struct configuration {
    config_version version;
    std::map<customer_id, customer_config> customers;
    std::map<deployment_id, deployment_config> deployments;
    std::map<vm_id, worker_config> workers;
    // Worker daemons that store claims. Cannot be changed once set, because a change would move keys to other homes;
    // see docs/design/AT-MOST-ONCE.md.
    std::vector<vm_id> holders;
    std::map<std::string, operator_config> operators;
    std::map<std::string, event_config> events;
};

// Parses and validates a whole document. The error names the path of the first invalid value. O(length).
result<configuration> parseConfiguration(config_version, std::string_view document);

// Returns the document after one merge patch. Fails with `BadInput` when either is not a JSON object.
result<std::string> applyMergePatch(std::string_view document, std::string_view patch);

// Returns the merge patch that turns `before` into `after`. Precondition: both are JSON objects.
std::string differenceBetween(std::string_view before, std::string_view after);

// Returns the lower-case hexadecimal SHA-256 of `text`.
std::string sha256Hex(std::string_view text);

// Returns whether two hashes are equal, in time that does not depend on where they differ.
bool equalHashes(std::string_view left, std::string_view right);

} // namespace coltsfootbend
