#pragma once

// A connection as fibers see it: reads and writes block the calling fiber, and a deadline ends them. Plain TCP and TLS
// look the same. It also satisfies Beast's and Asio's synchronous stream requirements, so their parsers run on it
// unchanged. Not for files.
//
//     auto stream = connectTcp(runtime, { "127.0.0.1", 8080 }, deadline);
//     if (stream)
//         (*stream)->writeAll("hello");

#include "coltsfootbend/base/error.h"
#include "coltsfootbend/base/time.h"
#include "coltsfootbend/net/fiber_runtime.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <cstdint>
#include <functional>
#include <iterator>
#include <memory>
#include <string>
#include <string_view>

namespace coltsfootbend {

// An address as settings give it: an IP number and a port.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

// Reads "127.0.0.1:8080" or "[::1]:8080". Fails with `BadInput` for anything else, host names among it.
result<endpoint> parseEndpoint(std::string_view text);
std::string toString(const endpoint&);

using tls_context = std::shared_ptr<boost::asio::ssl::context>;

class byte_stream {
public:
    virtual ~byte_stream() = default;

    // Reads at least one byte. Fails with end-of-file when the other side has closed.
    virtual io_result<std::size_t> readSome(boost::asio::mutable_buffer) = 0;
    virtual io_result<std::size_t> writeSome(boost::asio::const_buffer) = 0;

    // Operations that are under way at `deadline` fail.
    virtual void setDeadline(time_point deadline) = 0;

    // Waits until there is something to read or the other side is gone, and returns whether it is gone.
    virtual bool waitForClose() = 0;
    // Ends a `waitForClose` that is under way.
    virtual void cancelWait() = 0;
    virtual void close() = 0;
    // True when the other side has neither closed nor sent anything. Does not block.
    virtual bool isOpenAndQuiet() = 0;
    // The subject's common name of the other side's verified certificate; empty without one.
    virtual std::string peerName() const { return {}; }

    io_result<void> writeAll(std::string_view bytes);

    // The names below are those that Beast and Asio look for.
    template <typename Buffers> std::size_t read_some(const Buffers& buffers, boost::system::error_code& code) // NOLINT
    {
        return take(readSome(firstBuffer(buffers)), code);
    }
    template <typename Buffers>
    std::size_t write_some(const Buffers& buffers, boost::system::error_code& code) // NOLINT
    {
        // Small pieces, such as a head and a short body, leave together: fewer calls, fewer packets.
        std::array<char, gatherBytes> gathered; // NOLINT(cppcoreguidelines-pro-type-member-init)
        const auto total = boost::asio::buffer_size(buffers);
        if (total > gatherBytes)
            return take(writeSome(firstBuffer(buffers)), code);
        boost::asio::buffer_copy(boost::asio::buffer(gathered), buffers);
        return take(writeSome(boost::asio::buffer(gathered.data(), total)), code);
    }
    template <typename Buffers> std::size_t read_some(const Buffers& buffers) // NOLINT
    {
        boost::system::error_code code;
        return read_some(buffers, code);
    }
    template <typename Buffers> std::size_t write_some(const Buffers& buffers) // NOLINT
    {
        boost::system::error_code code;
        return write_some(buffers, code);
    }

private:
    static constexpr std::size_t gatherBytes = std::size_t { 4 } * 1024;

    // Reading or writing less than all buffers is allowed; the callers loop.
    template <typename Buffers> static auto firstBuffer(const Buffers& buffers)
    {
        auto position = boost::asio::buffer_sequence_begin(buffers);
        const auto end = boost::asio::buffer_sequence_end(buffers);
        while (std::next(position) != end && boost::asio::buffer_size(*position) == 0)
            ++position;
        return *position;
    }
    static std::size_t take(const io_result<std::size_t>& done, boost::system::error_code& code)
    {
        code = done ? boost::system::error_code {} : done.error();
        return done ? *done : 0;
    }
};

using byte_stream_ptr = std::shared_ptr<byte_stream>;

// Connects by `deadline`, with TLS when `tls` is given. Fails with `Unavailable`.
result<byte_stream_ptr> connectTcp(fiber_runtime&, const endpoint&, time_point deadline, const tls_context& tls = {});

// Listens on one address and hands each connection to `handler` on a fiber of its own.
class listener {
public:
    using handler = std::function<void(byte_stream_ptr)>;

    struct options {
        endpoint address;
        // Asked for at each connection, so that a reloaded certificate is used from then on; none for plain TCP.
        std::function<tls_context()> tls;
        std::size_t maxConnections = 4096;
    };

    // Fails with `Unavailable` when the address cannot be had.
    static result<std::shared_ptr<listener>> open(fiber_runtime&, options, handler);

    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    // Takes no new connection from now on; those that are open go on.
    void close();
    std::uint16_t port() const;
    std::size_t connections() const { return m_connections; }

private:
    listener(fiber_runtime&, options, handler);
    void acceptLoop(const std::shared_ptr<listener>& self);
    void serve(const std::shared_ptr<listener>& self, boost::asio::ip::tcp::socket);

    fiber_runtime& m_runtime;
    const options m_options;
    const handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::size_t m_connections = 0;
};

} // namespace coltsfootbend
