#pragma once

// What an engine told of itself, as gateways know it. Not for a rank's part in map changes: see `group/rank_engine.h`.
//
//     picker.receiveReport(address, { .running = 3, .group = "g", .epoch = 1, .step = 812, .ranks = 12 }, now);

#include "coltsfootbend/gateway/backend_directory.h"

#include <cstdint>
#include <string>

namespace coltsfootbend {

struct engine_report {
    backend_life life; // None where it was not told.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    double pace = 1; // Above 1 it is slow.
    std::string group;
    std::uint64_t epoch = 0;
    std::uint64_t step = 0; // The last pass that was begun.
    std::uint32_t ranks = 0; // Of the group; 0 without one.
    bool isOpen = true;
};

} // namespace coltsfootbend
