#include "coltsfootbend/net/byte_stream.h"

#include "coltsfootbend/net/connection_reset.h"
#include "coltsfootbend/net/send_progress.h"
#include "coltsfootbend/net/use_fiber.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>
#include <charconv>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <utility>

namespace coltsfootbend {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::seconds tlsHandshakeLimit { 5 };

// A peer behind a network partition sends nothing, not even a reset. These probes end its idle connections at the limit
// below.
constexpr std::chrono::seconds keepAliveIdle { 1 };
constexpr std::chrono::seconds keepAliveInterval { 1 };
// Limits for bytes that are outstanding while the peer acknowledges none. They include the time for which the peer's
// receive window is closed. A caller may read slowly, and its window opens again only when a good part of its buffer is
// free, so what was accepted has the longer limit: that of a write to a caller (`http_server_options::writeLimit`).
constexpr std::chrono::seconds connectedUnacknowledgedLimit { 3 };
constexpr std::chrono::seconds acceptedUnacknowledgedLimit { 10 };
// The time between two looks at a connection with outstanding bytes. Shorter than the limits, so that the limit of the
// kernel is off before it can end a connection whose window has been closed.
constexpr std::chrono::seconds progressInterval { 1 };
// Closed connections that are kept because of bytes that are not acknowledged. They are in no connection budget;
// further ones are left to the kernel.
constexpr int maxHeldConnections = 64;
// What the kernel may hold of one connection until it is read. Without a bound it holds 108 KB from its start and up to
// megabytes later, which count as memory of the process. The kernel doubles the value, for its own records.
constexpr int receiveBufferBytes = 32 * 1024;

// Best effort: without it, the bound of the system holds.
void boundReceiveBuffer(int socket)
{
    (void)::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
}

// Best effort: without the option, a broken connection is detected later, at its deadline.
void setOption(int socket, int level, int name, int value)
{
    (void)::setsockopt(socket, level, name, &value, sizeof value);
}

void setKernelLimit(int socket, std::chrono::milliseconds limit)
{
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit.count()));
}

void enableKeepAliveProbes(int socket, std::chrono::seconds limit)
{
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(keepAliveIdle.count()));
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(keepAliveInterval.count()));
    // The number counts only while the limit of the kernel is off.
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, static_cast<int>((limit - keepAliveIdle) / keepAliveInterval));
}

// Represents a connection that its user has closed and whose descriptor stays open until its last bytes are
// acknowledged.
class held_connection {
public:
    held_connection() { ++heldCount; }
    ~held_connection() { --heldCount; }
    held_connection(const held_connection&) = delete;
    held_connection& operator=(const held_connection&) = delete;

    static bool hasRoom() { return heldCount < maxHeldConnections; }

private:
    inline static thread_local int heldCount = 0;
};

// A stream whose connection can be reset.
class resettable_stream : public byte_stream, public std::enable_shared_from_this<resettable_stream> {
public:
    virtual void reset() = 0;
    virtual void resetUnlessClosed() = 0;
};

// The common part of plain TCP and TLS streams. `Stream` is the layer that bytes are read from and written to.
template <typename Stream> class stream_base : public resettable_stream {
public:
    template <typename... Args>
    explicit stream_base(std::chrono::seconds unacknowledgedLimit, Args&&... args)
        : m_stream(std::forward<Args>(args)...)
        , m_unacknowledgedLimit(unacknowledgedLimit)
        , m_progressTimer(socket().get_executor())
    {
        enableKeepAliveProbes(socket().native_handle(), unacknowledgedLimit);
        setKernelLimit(socket().native_handle(), unacknowledgedLimit);
    }

    io_result<std::size_t> readSome(asio::mutable_buffer buffer) override
    {
        if (m_held)
            return tl::unexpected(boost::system::error_code(asio::error::bad_descriptor));
        return orLost(m_stream.async_read_some(buffer, useFiber));
    }

    io_result<std::size_t> writeSome(asio::const_buffer buffer) override
    {
        if (!m_isProgressWatched) {
            m_progress.begin(clock_type::now());
            reviewProgressLater();
        }
        return orLost(m_stream.async_write_some(buffer, useFiber));
    }

    io_result<std::size_t> readSomeUntil(asio::mutable_buffer buffer, time_point until) override
    {
        if (m_held)
            return tl::unexpected(boost::system::error_code(asio::error::bad_descriptor));
        lowest().expires_never();
        const auto hasEnded = std::make_shared<bool>(false);
        asio::steady_timer timer(socket().get_executor(), until);
        timer.async_wait([this, hasEnded](boost::system::error_code code) {
            if (!code && !*hasEnded)
                cancelWait();
        });
        auto got = m_stream.async_read_some(buffer, useFiber);
        *hasEnded = true;
        return orLost(std::move(got));
    }

    void setDeadline(time_point deadline) override { lowest().expires_at(deadline); }

    bool waitForClose() override
    {
        const auto ready = socket().async_wait(tcp::socket::wait_read, useFiber);
        if (!ready)
            return ready.error() != asio::error::operation_aborted;
        return m_isLost || m_held || peek() == peek_result::Closed;
    }

    bool isOpenAndIdle() override { return peek() == peek_result::Nothing; }

    void cancelWait() override
    {
        boost::system::error_code ignored;
        socket().cancel(ignored);
    }

    // Makes the kernel reset the connection unless `close` is called: also when the process ends, however it ends.
    void resetUnlessClosed() override
    {
        m_isResetUnlessClosed = true;
        setLinger(true);
    }

    void close() override
    {
        if (std::exchange(m_isResetUnlessClosed, false) && !m_isLost)
            setLinger(false);
        boost::system::error_code ignored;
        socket().shutdown(tcp::socket::shutdown_both, ignored);
        if (holdUntilAcknowledged())
            return;
        // The process no longer looks at the connection.
        if (!std::exchange(m_hasKernelLimit, true))
            setKernelLimit(socket().native_handle(), m_unacknowledgedLimit);
        closeSocket();
    }

    void reset() override
    {
        if (m_held)
            return; // It was closed in order.
        setLinger(true);
        closeSocket();
    }

protected:
    enum class peek_result { Nothing, Bytes, Closed };

    peek_result peek()
    {
        char byte = 0;
        boost::system::error_code code;
        socket().non_blocking(true, code);
        const auto got = socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, code);
        if (code == asio::error::would_block)
            return peek_result::Nothing;
        return code || got == 0 ? peek_result::Closed : peek_result::Bytes;
    }

    // A socket that lingers for no time is reset when it is closed. The option is not set through Asio, because Asio's
    // destructor of a socket would then turn it off.
    void setLinger(bool isReset)
    {
        const ::linger option { .l_onoff = isReset ? 1 : 0, .l_linger = 0 };
        (void)::setsockopt(socket().native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }

    beast::tcp_stream& lowest() { return beast::get_lowest_layer(m_stream); }
    tcp::socket& socket() { return lowest().socket(); }

    Stream m_stream;

private:
    // Looks at the connection again and again until nothing that was sent is outstanding.
    void reviewProgressLater()
    {
        const auto next = clock_type::now() + progressInterval;
        m_progressTimer.expires_at(m_hasKernelLimit ? next : std::min(next, lossAt()));
        m_progressTimer.async_wait(
            [weak = weak_from_this(), held = m_held ? shared_from_this() : nullptr](boost::system::error_code code) {
                if (const auto self = weak.lock(); self && !code)
                    static_cast<stream_base&>(*self).reviewProgress();
            });
        m_isProgressWatched = true;
    }

    void reviewProgress()
    {
        m_isProgressWatched = false;
        if (!socket().is_open())
            return;
        const auto state = sendStateOf(socket().native_handle());
        if (state.wasWindowClosed && std::exchange(m_hasKernelLimit, false)) {
            setKernelLimit(socket().native_handle(), {});
            // The bytes of a connection that ends by its deadline would otherwise stay until the kernel drops them.
            if (!m_held)
                resetUnlessClosed();
        }
        const auto now = clock_type::now();
        m_progress.update(state, now);
        if (!m_hasKernelLimit && now >= lossAt())
            lose();
        else if (state.isOutstanding)
            reviewProgressLater();
        else if (m_held)
            closeSocket();
    }

    // Keeps a connection that was closed in order until the peer has acknowledged all, or nothing for the limit. The
    // kernel would count from the first time that the window was closed, or send the bytes again for minutes. Returns
    // false if there is no need or no room.
    bool holdUntilAcknowledged()
    {
        if (m_held)
            return true;
        if (m_isLost || !socket().is_open() || !held_connection::hasRoom())
            return false;
        const auto state = sendStateOf(socket().native_handle());
        if (m_hasKernelLimit ? !state.isWaiting : !state.isOutstanding)
            return false;
        m_held.emplace();
        cancelWait();
        if (!m_isProgressWatched)
            m_progress.begin(clock_type::now());
        reviewProgressLater();
        return true;
    }

    void closeSocket()
    {
        m_held.reset();
        m_progressTimer.cancel();
        boost::system::error_code ignored;
        socket().close(ignored);
    }

    time_point lossAt() const { return m_progress.progressAt() + m_unacknowledgedLimit; }

    // Ends the operations in progress. The error is that of the kernel's limit.
    void lose()
    {
        m_isLost = true;
        setLinger(true);
        boost::system::error_code ignored;
        socket().shutdown(tcp::socket::shutdown_both, ignored);
        if (m_held)
            closeSocket();
    }

    io_result<std::size_t> orLost(io_result<std::size_t> done) const
    {
        if (!done && m_isLost)
            return tl::unexpected(boost::system::error_code(asio::error::timed_out));
        return done;
    }

    const std::chrono::seconds m_unacknowledgedLimit;
    send_progress m_progress;
    asio::steady_timer m_progressTimer;
    bool m_isProgressWatched = false;
    bool m_hasKernelLimit = true; // The kernel ends the connection at the limit: until the window has been closed.
    bool m_isLost = false;
    std::optional<held_connection> m_held;
    bool m_isResetUnlessClosed = false;
};

using tcp_byte_stream = stream_base<beast::tcp_stream>;

class tls_byte_stream final : public stream_base<beast::ssl_stream<beast::tcp_stream>> {
public:
    tls_byte_stream(std::chrono::seconds unacknowledgedLimit, tcp::socket socket, tls_context context)
        : stream_base(unacknowledgedLimit, beast::tcp_stream(std::move(socket)), *context)
        , m_context(std::move(context))
    {
    }

    io_result<void> handshake(asio::ssl::stream_base::handshake_type type)
    {
        setDeadline(clock_type::now() + tlsHandshakeLimit);
        auto done = m_stream.async_handshake(type, useFiber);
        lowest().expires_never();
        return done;
    }

    std::string peerName() const override
    {
        auto* native = const_cast<tls_byte_stream*>(this)->m_stream.native_handle();
        X509* certificate = SSL_get_peer_certificate(native);
        if (!certificate)
            return {};
        std::string name(256, '\0');
        const int length = X509_NAME_get_text_by_NID(
            X509_get_subject_name(certificate), NID_commonName, name.data(), static_cast<int>(name.size()));
        X509_free(certificate);
        name.resize(static_cast<std::size_t>(std::max(length, 0)));
        return name;
    }

private:
    tls_context m_context;
};

// What this side has sent as a client is a request. It is withdrawn if the stream is not closed in order.
template <typename Stream> byte_stream_ptr finishWrapping(std::shared_ptr<Stream> stream, bool isClient)
{
    if (isClient)
        stream->resetUnlessClosed();
    return stream;
}

io_result<byte_stream_ptr> wrap(tcp::socket socket, const tls_context& tls, asio::ssl::stream_base::handshake_type type)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const bool isClient = type == asio::ssl::stream_base::client;
    const auto limit = isClient ? connectedUnacknowledgedLimit : acceptedUnacknowledgedLimit;
    if (!tls)
        return finishWrapping(std::make_shared<tcp_byte_stream>(limit, std::move(socket)), isClient);
    auto stream = std::make_shared<tls_byte_stream>(limit, std::move(socket), tls);
    if (auto done = stream->handshake(type); !done)
        return tl::unexpected(done.error());
    return finishWrapping(std::move(stream), isClient);
}

error unavailable(const endpoint& address, const std::string& what)
{
    return { error_kind::Unavailable, toString(address) + ": " + what,
        "Check that the address is right and that the process there runs" };
}

} // namespace

result<endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    const auto bad = [&] {
        return fail(error_kind::BadInput, "'" + std::string(text) + "' is no address",
            "Write an IP number and a port, such as 127.0.0.1:8080 or [::1]:8080");
    };
    if (colon == std::string_view::npos)
        return bad();
    auto ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, code] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    boost::system::error_code addressCode;
    asio::ip::make_address(std::string(ip), addressCode);
    if (code != std::errc {} || end != digits.data() + digits.size() || addressCode)
        return bad();
    return endpoint { std::string(ip), port };
}

std::string toString(const endpoint& address)
{
    const bool isV6 = address.ip.find(':') != std::string::npos;
    return (isV6 ? "[" + address.ip + "]" : address.ip) + ":" + std::to_string(address.port);
}

io_result<void> byte_stream::writeAll(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto written = writeSome(asio::buffer(bytes.data(), bytes.size()));
        if (!written)
            return tl::unexpected(written.error());
        bytes.remove_prefix(*written);
    }
    return {};
}

result<byte_stream_ptr> connectTcp(
    fiber_runtime& runtime, const endpoint& address, time_point deadline, const tls_context& tls)
{
    boost::system::error_code code;
    const tcp::endpoint target(asio::ip::make_address(address.ip, code), address.port);
    if (code)
        return tl::unexpected(unavailable(address, "not an IP number"));
    beast::tcp_stream connecting(runtime.io());
    connecting.socket().open(target.protocol(), code);
    if (code)
        return tl::unexpected(unavailable(address, code.message()));
    boundReceiveBuffer(connecting.socket().native_handle());
    connecting.expires_at(deadline);
    if (const auto done = connecting.async_connect(target, useFiber); !done)
        return tl::unexpected(unavailable(address, done.error().message()));
    connecting.expires_never();
    auto stream = wrap(connecting.release_socket(), tls, asio::ssl::stream_base::client);
    if (!stream)
        return tl::unexpected(unavailable(address, "TLS: " + stream.error().message()));
    return *stream;
}

listener::listener(fiber_runtime& runtime, options options, handler handler)
    : m_runtime(runtime)
    , m_options(std::move(options))
    , m_handler(std::move(handler))
    , m_acceptor(runtime.io())
{
}

listener::~listener() = default;

result<std::shared_ptr<listener>> listener::open(fiber_runtime& runtime, options options, handler handler)
{
    std::shared_ptr<listener> self(new listener(runtime, std::move(options), std::move(handler)));
    boost::system::error_code code;
    const tcp::endpoint address(asio::ip::make_address(self->m_options.address.ip, code), self->m_options.address.port);
    if (!code)
        self->m_acceptor.open(address.protocol(), code);
    if (!code)
        self->m_acceptor.set_option(tcp::acceptor::reuse_address(true), code);
    if (!code)
        self->m_acceptor.bind(address, code);
    if (!code)
        boundReceiveBuffer(self->m_acceptor.native_handle()); // Accepted connections inherit it.
    if (!code)
        self->m_acceptor.listen(asio::socket_base::max_listen_connections, code);
    if (code)
        return tl::unexpected(unavailable(self->m_options.address, "cannot listen: " + code.message()));
    runtime.spawnLoop("accept", [self] { self->acceptLoop(); });
    return self;
}

void listener::acceptLoop()
{
    while (m_acceptor.is_open()) {
        tcp::socket socket(m_runtime.io());
        if (const auto done = m_acceptor.async_accept(socket, useFiber); !done) {
            // The process may be out of file descriptors: back off, because an immediate retry would spin.
            if (m_acceptor.is_open()) {
                reportRefused(done.error().message());
                m_runtime.sleepFor(std::chrono::milliseconds(20));
            }
            continue;
        }
        admit(std::move(socket));
    }
}

namespace {

// Counts one connection of a listener until the connection ends, however it ends.
class counted_connection {
public:
    counted_connection(std::size_t& count, const listener::options& options)
        : m_count(count)
        , m_options(options)
    {
        ++m_count;
    }
    ~counted_connection()
    {
        --m_count;
        if (m_isCharged)
            m_options.budget->release(m_options.connectionCost);
    }
    counted_connection(const counted_connection&) = delete;
    counted_connection& operator=(const counted_connection&) = delete;

    // Takes the cost of the connection from the budget of the process. Returns false if there is no room.
    bool charge()
    {
        m_isCharged = m_options.budget && m_options.budget->admit(m_options.connectionCost, m_options.keptFree);
        return m_isCharged || !m_options.budget;
    }

private:
    std::size_t& m_count;
    const listener::options& m_options;
    bool m_isCharged = false;
};

} // namespace

// A connection that is refused closes, and the client's load balancer tries another VM.
void listener::admit(tcp::socket socket)
{
    if (m_connections >= m_options.maxConnections) {
        reportRefused("too many connections");
        return;
    }
    auto counted = std::make_shared<counted_connection>(m_connections, m_options);
    if (!counted->charge()) {
        reportRefused("no room for another connection");
        return;
    }
    const auto shared = std::make_shared<tcp::socket>(std::move(socket));
    m_runtime.spawn([self = shared_from_this(), shared, counted = std::move(counted)]() mutable {
        const auto untilTheEnd = std::move(counted);
        self->serve(std::move(*shared));
    });
}

void listener::serve(tcp::socket socket)
{
    const auto tls = m_options.tls ? m_options.tls() : tls_context {};
    if (auto stream = wrap(std::move(socket), tls, asio::ssl::stream_base::server))
        m_handler(*stream);
}

void listener::reportRefused(const std::string& why) const
{
    if (m_options.onRefused)
        m_options.onRefused(why);
}

void listener::close()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

void listener::acceptPendingAndClose()
{
    boost::system::error_code code;
    m_acceptor.non_blocking(true, code);
    while (!code) {
        tcp::socket socket(m_runtime.io());
        m_acceptor.accept(socket, code);
        if (!code)
            admit(std::move(socket));
    }
    close();
}

std::uint16_t listener::port() const
{
    boost::system::error_code code;
    return m_acceptor.local_endpoint(code).port();
}

void resetConnection(byte_stream& stream)
{
    if (auto* resettable = dynamic_cast<resettable_stream*>(&stream))
        resettable->reset();
    else
        stream.close();
}

} // namespace coltsfootbend
