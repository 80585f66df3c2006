#pragma once

// Ends a connection with a TCP reset. The end of a response that has neither a length nor chunks is the end of its
// connection, so only a reset shows that such a response is incomplete. Only a reset withdraws a request that was given
// up: the kernel drops what it has not delivered yet, and the peer can tell the end from that of a complete request.
//
//     resetConnection(*stream);

#include "coltsfootbend/net/byte_stream.h"

namespace coltsfootbend {

// Closes the connection with a reset: the peer's reads fail. Bytes that the peer has not read yet may be lost.
void resetConnection(byte_stream&);

} // namespace coltsfootbend
