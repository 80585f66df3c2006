#pragma once

// Support for tests that listen on fixed ports: each process that runs tests has a loopback host of its own, so that
// tests in several processes do not compete for the same addresses.
//
//     auto& gateway = start(runtime, processes, testAddress(27340), {});

#include "coltsfootbend/net/byte_stream.h"

#include <string>
#include <unistd.h>

namespace coltsfootbend {

// Returns the address of `port` on the loopback host of this process. Two processes have the same host only if their
// ids are equal in the lower 22 bits, and Linux gives out no larger ids by default.
inline endpoint testAddress(std::uint16_t port)
{
    constexpr unsigned firstNetwork = 64; // Networks 127.64 to 127.127.
    constexpr unsigned networks = 64;
    const auto id = static_cast<unsigned>(getpid());
    const auto network = firstNetwork + id / (256 * 256) % networks;
    return { "127." + std::to_string(network) + "." + std::to_string(id / 256 % 256) + "." + std::to_string(id % 256),
        port };
}

} // namespace coltsfootbend
