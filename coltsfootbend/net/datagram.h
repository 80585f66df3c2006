#pragma once

// UDP datagrams between the system's own processes, for updates that each supersede the previous one, so that a loss
// is harmless. Not for messages that must arrive.
//
//     auto socket = datagram_socket::open(runtime, { "127.0.0.1", 7340 });
//     (*socket)->send(peer, bytes);
//     while (auto got = (*socket)->receive()) ...

#include "coltsfootbend/base/error.h"
#include "coltsfootbend/net/byte_stream.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfootbend {

struct datagram {
    endpoint sender;
    std::string bytes;
};

// A UDP socket bound to one address.
class datagram_socket {
public:
    // Opens a socket. Fails with `Unavailable` when the address cannot be bound.
    static result<std::unique_ptr<datagram_socket>> open(fiber_runtime&, const endpoint&);

    // Sends without blocking. Drops the datagram when the system's buffer is full; a later update supersedes it.
    void send(const endpoint& receiver, std::string_view bytes);

    // Blocks the calling fiber until the next datagram arrives. Returns none once the socket is closed.
    std::optional<datagram> receive();

    void close();

private:
    explicit datagram_socket(fiber_runtime&);

    static constexpr std::size_t maxBytes = 2048;

    boost::asio::ip::udp::socket m_socket;
    std::array<char, maxBytes> m_buffer {};
};

} // namespace coltsfootbend
