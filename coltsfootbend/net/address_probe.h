#pragma once

// Tells whether an address is free to listen at, without listening: no connection is accepted or refused meanwhile.
//
//     if (probeAddress({ .address = settings.peers, .transport = transport_kind::Tcp }))
//         // Another process uses it, or it is no address of this VM.

#include "coltsfootbend/net/byte_stream.h"

#include <boost/system/error_code.hpp>

namespace coltsfootbend {

enum class transport_kind { Tcp, Udp };

// An address that a process listens at.
struct listen_address {
    endpoint address;
    transport_kind transport = transport_kind::Tcp;
};

// Returns the address for logs, such as "tcp 10.1.0.40:8227".
std::string toString(const listen_address&);

// Returns the system's error if the address cannot be bound now, or no error.
boost::system::error_code probeAddress(const listen_address&);

} // namespace coltsfootbend
