#include "coltsfootbend/net/address_probe.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace coltsfootbend {

namespace asio = boost::asio;

namespace {

template <typename Protocol> boost::system::error_code bindOnce(const endpoint& address, bool reusesAddress)
{
    boost::system::error_code code;
    const typename Protocol::endpoint local(asio::ip::make_address(address.ip, code), address.port);
    asio::io_context io;
    typename Protocol::socket socket(io);
    if (!code)
        socket.open(local.protocol(), code);
    if (!code && reusesAddress)
        socket.set_option(asio::socket_base::reuse_address(true), code);
    if (!code)
        socket.bind(local, code);
    return code;
}

} // namespace

std::string toString(const listen_address& listening)
{
    return (listening.transport == transport_kind::Tcp ? "tcp " : "udp ") + toString(listening.address);
}

boost::system::error_code probeAddress(const listen_address& listening)
{
    // The options are those of `listener` and `datagram_socket`.
    if (listening.transport == transport_kind::Tcp)
        return bindOnce<asio::ip::tcp>(listening.address, true);
    return bindOnce<asio::ip::udp>(listening.address, false);
}

} // namespace coltsfootbend
