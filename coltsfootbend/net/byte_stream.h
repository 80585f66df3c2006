#pragma once

// A connection for use by fibers: reads and writes block the calling fiber, and a deadline ends them. Plain TCP and TLS
// have the same interface. It also satisfies Beast's and Asio's synchronous stream requirements, so their parsers work
// on it unchanged. Not for files.
//
//     auto stream = connectTcp(runtime, { "127.0.0.1", 8080 }, deadline);
//     if (stream)
//         (*stream)->writeAll("hello");

#include "coltsfootbend/base/error.h"
#include "coltsfootbend/base/time.h"
#include "coltsfootbend/net/connection_budget.h"
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

// An IP address and a port, as written in settings.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

// Parses "127.0.0.1:8080" or "[::1]:8080". Fails with `BadInput` for anything else, including host names.
result<endpoint> parseEndpoint(std::string_view text);
std::string toString(const endpoint&);

using tls_context = std::shared_ptr<boost::asio::ssl::context>;

// A bidirectional connection over plain TCP or TLS.
class byte_stream {
public:
    virtual ~byte_stream() = default;

    // Reads at least one byte. Fails with end-of-file when the peer has closed the connection.
    virtual io_result<std::size_t> readSome(boost::asio::mutable_buffer) = 0;
    virtual io_result<std::size_t> writeSome(boost::asio::const_buffer) = 0;
    // Reads at least one byte as `readSome` does, but without the deadline. TCP and TLS connections stay open at
    // `until` and after `cancelWait`: the call then fails with "operation aborted" without having read anything.
    virtual io_result<std::size_t> readSomeUntil(boost::asio::mutable_buffer buffer, time_point until)
    {
        setDeadline(until);
        return readSome(buffer);
    }

    // Sets the time at which operations in progress fail.
    virtual void setDeadline(time_point deadline) = 0;

    // Blocks until bytes can be read or the peer has disconnected. Returns whether it has disconnected.
    virtual bool waitForClose() = 0;
    // Ends a `waitForClose` or `readSomeUntil` in progress.
    virtual void cancelWait() = 0;
    // Closes the connection in order: the peer receives all bytes that were written before. `connection_reset.h` has
    // the other way.
    virtual void close() = 0;
    // Returns whether the peer has neither closed the connection nor sent any unread bytes. Does not block.
    virtual bool isOpenAndIdle() = 0;
    // Returns the common name in the subject of the peer's verified certificate; empty without a certificate.
    virtual std::string peerName() const { return {}; }

    io_result<void> writeAll(std::string_view bytes);

    // Beast and Asio require the names below.
    template <typename Buffers> std::size_t read_some(const Buffers& buffers, boost::system::error_code& code) // NOLINT
    {
        return take(readSome(firstBuffer(buffers)), code);
    }
    template <typename Buffers>
    std::size_t write_some(const Buffers& buffers, boost::system::error_code& code) // NOLINT
    {
        // Small buffers, such as a head and a short body, are sent together to save system calls and packets.
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

    // Returns the first buffer that is not empty. Partial reads and writes are allowed; the callers loop.
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

// Connects by `deadline`, with TLS when `tls` is given. Fails with `Unavailable`. The connection is reset if the
// process ends, or the stream is destroyed, without a call of `close`.
result<byte_stream_ptr> connectTcp(fiber_runtime&, const endpoint&, time_point deadline, const tls_context& tls = {});

// Listens on one address and passes each connection to `handler` on a separate fiber.
class listener : public std::enable_shared_from_this<listener> {
public:
    using handler = std::function<void(byte_stream_ptr)>;

    struct options {
        endpoint address;
        // Called for each connection, so that new connections use a reloaded certificate; none for plain TCP.
        std::function<tls_context()> tls;
        std::size_t maxConnections = 4096;
        // Bounds the connections of all listeners of the process; null if only `maxConnections` counts. Must outlive
        // the connections.
        connection_budget* budget = nullptr;
        connection_resources connectionCost = {};
        // Part of the budget that this listener leaves to others, from 0 to 1.
        double keptFree = 0;
        // Called for each connection that is closed because there are too many, and after each failure to accept one;
        // may be empty.
        std::function<void(const std::string& why)> onRefused = {};
    };

    // Starts to listen. Fails with `Unavailable` when the address cannot be bound.
    static result<std::shared_ptr<listener>> open(fiber_runtime&, options, handler);

    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    // Stops accepting connections; open connections are not affected. Connections that clients have opened, but that
    // are not accepted yet, are reset.
    void close();
    // Accepts the connections that clients have opened, and closes.
    void acceptPendingAndClose();
    std::uint16_t port() const;
    std::size_t connections() const { return m_connections; }

private:
    listener(fiber_runtime&, options, handler);
    void acceptLoop();
    // Serves a connection on a fiber of its own, unless there are too many.
    void admit(boost::asio::ip::tcp::socket);
    void serve(boost::asio::ip::tcp::socket);
    void reportRefused(const std::string& why) const;

    fiber_runtime& m_runtime;
    const options m_options;
    const handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::size_t m_connections = 0;
};

} // namespace coltsfootbend
