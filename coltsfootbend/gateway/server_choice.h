#pragma once

// Chooses one of several servers when other gateways send to the same ones at the same time. All gateways have the same
// reports, so if each chose the server that looks least loaded, that server would be overloaded before the next report
// shows it. Deterministic. Does not compute the scores: see `gateway/backend_picker.h`.
//
//     const auto chosen = chooseServer(scores, unreportedRequests, randomBelowOne);

#include <cstddef>
#include <vector>

namespace coltsfootbend {

// Returns the index of the chosen server. `scores`: one per server in requests, lower is better; must not be empty.
// `unreported`: requests that all gateways send before the next report, at least 1. `uniform`: a random number in
// [0, 1). O(n log n).
std::size_t chooseServer(const std::vector<double>& scores, double unreported, double uniform);

} // namespace coltsfootbend
