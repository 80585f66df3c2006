#pragma once

// Datagrams between the system's own processes: for news that the next one replaces, so that a lost one does not
// matter. Not for anything that must arrive.
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

class datagram_socket {
public:
    // Fails with `Unavailable` when the address cannot be had.
    static result<std::unique_ptr<datagram_socket>> open(fiber_runtime&, const endpoint&);

    // Sends at once, or not at all when the system's buffer is full; news are sent again anyway.
    void send(const endpoint& receiver, std::string_view bytes);

    // Blocks the calling fiber until the next one; none once the socket is closed.
    std::optional<datagram> receive();

    void close();

private:
    explicit datagram_socket(fiber_runtime&);

    static constexpr std::size_t maxBytes = 2048;

    boost::asio::ip::udp::socket m_socket;
    std::array<char, maxBytes> m_buffer {};
};

} // namespace coltsfootbend
