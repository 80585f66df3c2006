#include "coltsfootbend/net/datagram.h"

#include "coltsfootbend/net/use_fiber.h"

#include <boost/asio/ip/address.hpp>

namespace coltsfootbend {

namespace asio = boost::asio;
using udp = asio::ip::udp;

datagram_socket::datagram_socket(fiber_runtime& runtime)
    : m_socket(runtime.io())
{
}

result<std::unique_ptr<datagram_socket>> datagram_socket::open(fiber_runtime& runtime, const endpoint& address)
{
    std::unique_ptr<datagram_socket> opened(new datagram_socket(runtime));
    boost::system::error_code code;
    const udp::endpoint local(asio::ip::make_address(address.ip, code), address.port);
    if (!code)
        opened->m_socket.open(local.protocol(), code);
    if (!code)
        opened->m_socket.bind(local, code);
    if (!code)
        opened->m_socket.non_blocking(true, code);
    if (code) {
        return fail(error_kind::Unavailable, toString(address) + ": cannot take datagrams: " + code.message(),
            "Check that the address is this VM's and that no other process uses it");
    }
    return opened;
}

void datagram_socket::send(const endpoint& receiver, std::string_view bytes)
{
    boost::system::error_code code;
    const udp::endpoint target(asio::ip::make_address(receiver.ip, code), receiver.port);
    if (!code)
        m_socket.send_to(asio::buffer(bytes.data(), bytes.size()), target, 0, code);
}

std::optional<datagram> datagram_socket::receive()
{
    while (m_socket.is_open()) {
        udp::endpoint sender;
        const auto got = m_socket.async_receive_from(asio::buffer(m_buffer), sender, useFiber);
        if (got)
            return datagram { { sender.address().to_string(), sender.port() }, std::string(m_buffer.data(), *got) };
        if (got.error() == asio::error::operation_aborted)
            break;
        // The system may report the error of an earlier datagram here, such as an unreachable receiver. There is
        // nothing to read.
    }
    return std::nullopt;
}

void datagram_socket::close()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

} // namespace coltsfootbend
