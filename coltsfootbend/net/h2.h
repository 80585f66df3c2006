#pragma once

// HTTP/2 streams between the system's own processes, over nghttp2. One connection carries many streams; each stream
// carries bytes in both directions and has its own flow control, so that a slow reader does not delay other streams.
// Not for callers and backend servers, which use HTTP/1.1.
//
//     auto connection = h2_connection::connect(runtime, address, {}, deadline);
//     auto stream = (*connection)->open("/messages");
//     stream->send(bytes, true);
//     auto reply = stream->receive(deadline);

#include "coltsfootbend/base/error.h"
#include "coltsfootbend/net/byte_stream.h"
#include "coltsfootbend/net/fiber_signal.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfootbend {

class h2_connection;

// A bidirectional stream. It ends when both peers have ended it, when either peer resets it, or with its connection.
class h2_stream {
public:
    // The peer that opens a stream sends a request on it, and the one that accepts it answers.
    enum class role { Opened, Accepted };

    h2_stream(fiber_runtime& runtime, std::weak_ptr<h2_connection> connection, std::int32_t id, role role)
        : m_connection(std::move(connection))
        , m_id(id)
        , m_role(role)
        , m_incomingSignal(runtime)
    {
    }

    // Queues `bytes`, and blocks the calling fiber while the send queue is full. `last` ends the sending direction.
    // Fails with `Lost` once the stream is broken.
    result<void> send(std::string_view bytes, bool last);

    // Returns the next bytes, or none when the peer has ended its direction. Fails with `Lost` when the stream is
    // broken and with `TimedOut` at `deadline`. Bytes that arrived before the stream broke are still returned to the
    // peer that opened it, as they may be a complete answer; to the other one they are a request that was given up.
    result<std::optional<std::string>> receive(time_point deadline);

    // Resets the stream in both directions.
    void reset();

private:
    friend class h2_connection;

    std::weak_ptr<h2_connection> m_connection;
    const std::int32_t m_id;
    const role m_role;
    std::string m_outgoing;
    bool m_outgoingEnded = false;
    std::string m_incoming;
    bool m_incomingEnded = false;
    bool m_broken = false;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_changed;
    fiber_signal m_incomingSignal; // Notified when bytes arrive, or when no more can arrive.
};

using h2_stream_ptr = std::shared_ptr<h2_stream>;

// An HTTP/2 connection of either role, with its streams.
class h2_connection : public std::enable_shared_from_this<h2_connection> {
public:
    // Called on a separate fiber for each stream that the peer opens.
    using stream_handler = std::function<void(const std::string& path, h2_stream_ptr)>;

    // Connects to a server. Fails with `Unavailable`, in which case nothing was sent.
    static result<std::shared_ptr<h2_connection>> connect(
        fiber_runtime&, const endpoint&, const tls_context&, time_point deadline);

    // Serves streams on an accepted connection until it closes.
    static void serve(fiber_runtime&, byte_stream_ptr, const stream_handler&);

    ~h2_connection();
    h2_connection(const h2_connection&) = delete;
    h2_connection& operator=(const h2_connection&) = delete;

    // Opens a stream. Fails with `Unavailable` when the connection is closing, in which case nothing was sent.
    result<h2_stream_ptr> open(const std::string& path);

    bool isOpen() const { return !m_closed; }
    // Ends the connection and breaks its streams. Resets it if this side has opened one of them, so that the peer does
    // not serve it later.
    void close();
    std::size_t streams() const { return m_streams.size(); }
    // Returns the number of bytes sent and received on this connection, including framing.
    std::uint64_t bytesMoved() const { return m_bytesMoved; }

private:
    friend class h2_stream;
    struct callbacks;
    struct session_deleter {
        void operator()(void* session) const;
    };

    h2_connection(fiber_runtime&, byte_stream_ptr, bool isServer, stream_handler);
    void start();
    void runLoop(const std::function<void()>& loop);
    void readLoop();
    void writeLoop();
    void wakeWriter();
    void fail();
    bool hasOpenedStream() const;
    void breakStream(h2_stream&);
    void consumed(std::int32_t stream, std::size_t bytes);
    h2_stream_ptr find(std::int32_t) const;

    fiber_runtime& m_runtime;
    byte_stream_ptr m_stream;
    stream_handler m_handler;
    std::unique_ptr<void, session_deleter> m_session;
    std::map<std::int32_t, h2_stream_ptr> m_streams;
    std::map<std::int32_t, std::string> m_paths;
    bool m_closed = false;
    bool m_writePending = false;
    std::uint64_t m_bytesMoved = 0;
    std::uint64_t m_bytesReceived = 0;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_writable;
};

} // namespace coltsfootbend
