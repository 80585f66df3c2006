#include "coltsfootbend/net/port_probe.h"

#include "coltsfootbend/net/use_fiber.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace coltsfootbend {

namespace {

// Time after the first of its connections has ended within which a terminating process ends all others.
constexpr std::chrono::milliseconds terminationTime { 20 };

} // namespace

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

bool keepsConnections(fiber_runtime& runtime, const endpoint& address, time_point deadline)
{
    const auto stream = connectTcp(runtime, address, deadline);
    if (!stream)
        return false;
    (*stream)->setDeadline(clock_type::now() + terminationTime);
    char byte = 0;
    const auto received = (*stream)->readSome(boost::asio::buffer(&byte, 1));
    (*stream)->close();
    return received.has_value() || received.error() == boost::beast::error::timeout;
}

} // namespace coltsfootbend
