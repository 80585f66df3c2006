#pragma once

// The state of an engine as its rank agent reports it to gateways. `group/rank_engine.h` has the interface by which the
// agent controls its engine.
//
//     picker.receiveReport(address, { .running = 3, .group = "g", .epoch = 1, .step = 812, .ranks = 12 }, now);

#include "coltsfootbend/gateway/backend_directory.h"

#include <cstdint>
#include <string>

namespace coltsfootbend {

// One report of an engine's load and of the state of its group.
struct engine_report {
    backend_incarnation incarnation; // None when the engine does not report it.
    std::uint32_t running = 0; // Number of requests that run.
    std::uint32_t waiting = 0; // Number of requests that wait for a slot.
    double pace = 1; // Slowdown of the engine: 1 at normal speed, higher when it is slow.
    std::string group; // Group of engines that make passes in lock-step; empty for an engine without one.
    std::uint64_t epoch = 0; // Epoch of the group, raised each time it is formed.
    std::uint64_t step = 0; // Number of the last pass that was started.
    std::uint32_t ranks = 0; // Number of ranks of the group; 0 without a group.
    bool isOpen = true; // The engine accepts requests.
};

} // namespace coltsfootbend
