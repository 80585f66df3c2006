#pragma once

// Checks whether a process listens at an address. Distinguishes a terminated process, whose port refuses connections,
// from a process that aborted a single exchange. Not a health check.
//
//     if (probePort(runtime, address, clock_type::now() + 300ms) == port_state::Refused) // terminated

#include "coltsfootbend/net/byte_stream.h"

namespace coltsfootbend {

// The outcome of a probe.
enum class port_state {
    Open, // A process accepted the connection.
    Refused, // The VM is reachable, and no process listens at the port.
    Unknown, // No response by the deadline, or another error: the state of the process cannot be inferred.
};

// Connects to `address` and closes the connection. Blocks the calling fiber until `deadline` at most.
port_state probePort(fiber_runtime&, const endpoint&, time_point deadline);

// Returns true if a process at `address` accepts a connection by `deadline` and keeps it open for a moment. False for a
// process that is terminating: its port may accept connections until shortly after its connections have ended. Blocks
// the calling fiber.
bool keepsConnections(fiber_runtime&, const endpoint&, time_point deadline);

} // namespace coltsfootbend
