#include "coltsfootbend/net/port_probe.h"

#include "coltsfootbend/net/use_fiber.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace coltsfootbend {

port_state probePort(fiber_runtime& runtime, const endpoint& address, time_point deadline)
{
    boost::system::error_code code;
    const boost::asio::ip::tcp::endpoint target(boost::asio::ip::make_address(address.ip, code), address.port);
    if (code)
        return port_state::Unknown;
    boost::beast::tcp_stream connecting(runtime.io());
    connecting.expires_at(deadline);
    const auto done = connecting.async_connect(target, useFiber);
    if (done)
        return port_state::Open;
    return done.error() == boost::asio::error::connection_refused ? port_state::Refused : port_state::Unknown;
}

} // namespace coltsfootbend
