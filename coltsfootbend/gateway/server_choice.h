#pragma once

// Which of several servers a gateway sends a request to, when other gateways send to the same ones and none sees what
// the others send. With the same reports each of them would choose the server that looks emptiest, and bury it before
// the next report says so. Deterministic. Not for what a server's score is made of: see `gateway/backend_picker.h`.
//
//     const auto chosen = chooseServer(scores, unseenRequests, drawnBelowOne);

#include <cstddef>
#include <vector>

namespace coltsfootbend {

// `scores`: higher ones are worse; must not be empty. `unseen`: what all gateways send before the next report, at least
// one. `draw`: from 0 to below 1. Returns an index. O(n log n).
std::size_t chooseServer(const std::vector<double>& scores, double unseen, double draw);

} // namespace coltsfootbend
