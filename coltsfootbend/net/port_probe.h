#pragma once

// Whether anybody listens at an address. For telling a process that has ended from one that broke off one exchange: the
// first one's port refuses connections. Not for whether a process is well.
//
//     if (probePort(runtime, address, clock_type::now() + 300ms) == port_state::Refused) // nobody is there

#include "coltsfootbend/net/byte_stream.h"

namespace coltsfootbend {

enum class port_state {
    Open,
    Refused, // The VM is there and nobody listens.
    Unknown, // No answer by the deadline, or another error: nothing follows from it.
};

// Connects and closes at once. Blocks the calling fiber until `deadline` at most.
port_state probePort(fiber_runtime&, const endpoint&, time_point deadline);

} // namespace coltsfootbend
