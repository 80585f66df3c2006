#include "coltsfootbend/net/h2.h"

#include "coltsfootbend/net/connection_reset.h"

#include <algorithm>
#include <array>
#include <nghttp2/nghttp2.h>
#include <utility>

namespace coltsfootbend {

namespace {

// Limit for the first bytes of a connection. One that never sends any would keep its memory for ever.
constexpr std::chrono::seconds prefaceLimit { 10 };
constexpr std::size_t maxQueuedBytes = std::size_t { 256 } * 1024;
constexpr std::size_t readBufferBytes = std::size_t { 32 } * 1024;
constexpr std::size_t maxWriteBytes = std::size_t { 64 } * 1024;
constexpr std::int32_t streamWindowBytes = 512 * 1024;
constexpr std::int32_t connectionWindowBytes = 16 * 1024 * 1024;
constexpr std::uint32_t maxConcurrentStreams = 4096;
// Acknowledgements of pings and settings that wait until the peer reads. A connection that makes more wait is closed.
constexpr std::size_t maxWaitingAcknowledgements = 32;

nghttp2_session* native(void* session) { return static_cast<nghttp2_session*>(session); }

nghttp2_nv header(std::string_view name, std::string_view value)
{
    const auto bytes = [](std::string_view text) {
        return const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(text.data()));
    };
    return { bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE };
}

error broken()
{
    return { error_kind::Lost, "the connection to the other process broke",
        "What was sent may have taken effect; it is settled by asking again" };
}

} // namespace

// The callbacks of the nghttp2 session. The user data of each is the connection. Exceptions must not pass through the
// library, which is written in C; the connection of a callback that fails is closed.
struct h2_connection::callbacks {
    static h2_connection& self(void* user) { return *static_cast<h2_connection*>(user); }

    template <typename Work> static int guarded(const Work& work)
    {
        return runLogged("http2", work) ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
    }

    static int onHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name, std::size_t nameLength,
        const std::uint8_t* value, std::size_t valueLength, std::uint8_t, void* user)
    {
        const std::string_view key(reinterpret_cast<const char*>(name), nameLength);
        if (key != ":path")
            return 0;
        return guarded(
            [&] { self(user).m_paths[frame->hd.stream_id].assign(reinterpret_cast<const char*>(value), valueLength); });
    }

    static int onFrame(nghttp2_session* session, const nghttp2_frame* frame, void* user)
    {
        return guarded([&] { receiveFrame(self(user), session, frame); });
    }

    static void receiveFrame(h2_connection& connection, nghttp2_session* session, const nghttp2_frame* frame)
    {
        const auto id = frame->hd.stream_id;
        if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST)
            acceptStream(connection, session, id);
        const bool ends = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
        if (ends && (frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA)) {
            if (const auto stream = connection.find(id)) {
                stream->m_incomingEnded = true;
                stream->m_incomingSignal.notify();
            }
        }
    }

    static void acceptStream(h2_connection& connection, nghttp2_session* session, std::int32_t id)
    {
        const auto stream = std::make_shared<h2_stream>(
            connection.m_runtime, connection.weak_from_this(), id, h2_stream::role::Accepted);
        connection.m_streams[id] = stream;
        const auto status = header(":status", "200");
        const auto provider = dataProvider();
        nghttp2_submit_response(session, id, &status, 1, &provider);
        auto path = std::move(connection.m_paths[id]);
        connection.m_paths.erase(id);
        auto owner = connection.shared_from_this();
        connection.m_runtime.spawn([owner, stream, path = std::move(path)] { owner->m_handler(path, stream); });
    }

    static int onData(
        nghttp2_session*, std::uint8_t, std::int32_t id, const std::uint8_t* data, std::size_t length, void* user)
    {
        return guarded([&] {
            auto& connection = self(user);
            if (const auto stream = connection.find(id)) {
                stream->m_incoming.append(reinterpret_cast<const char*>(data), length);
                stream->m_incomingSignal.notify();
            } else {
                connection.consumed(id, length);
            }
        });
    }

    static int onClose(nghttp2_session*, std::int32_t id, std::uint32_t code, void* user)
    {
        auto& connection = self(user);
        if (const auto stream = connection.find(id)) {
            if (code != NGHTTP2_NO_ERROR || !stream->m_incomingEnded)
                connection.breakStream(*stream);
            connection.m_streams.erase(id);
        }
        connection.m_paths.erase(id);
        return 0;
    }

    static ssize_t readOutgoing(nghttp2_session*, std::int32_t id, std::uint8_t* buffer, std::size_t length,
        std::uint32_t* flags, nghttp2_data_source*, void* user)
    {
        const auto stream = self(user).find(id);
        if (!stream)
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        const auto size = std::min(length, stream->m_outgoing.size());
        if (size == 0 && !stream->m_outgoingEnded)
            return NGHTTP2_ERR_DEFERRED;
        std::copy_n(stream->m_outgoing.begin(), size, buffer);
        stream->m_outgoing.erase(0, size);
        if (stream->m_outgoing.empty() && stream->m_outgoingEnded)
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        stream->m_changed.notify_all();
        return static_cast<ssize_t>(size);
    }

    static nghttp2_data_provider dataProvider()
    {
        nghttp2_data_provider provider {};
        provider.read_callback = readOutgoing;
        return provider;
    }
};

void h2_connection::session_deleter::operator()(void* session) const { nghttp2_session_del(native(session)); }

h2_connection::h2_connection(fiber_runtime& runtime, byte_stream_ptr stream, bool isServer, stream_handler handler)
    : m_runtime(runtime)
    , m_stream(std::move(stream))
    , m_handler(std::move(handler))
{
    nghttp2_session_callbacks* table = nullptr;
    nghttp2_session_callbacks_new(&table);
    nghttp2_session_callbacks_set_on_header_callback(table, callbacks::onHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(table, callbacks::onFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(table, callbacks::onData);
    nghttp2_session_callbacks_set_on_stream_close_callback(table, callbacks::onClose);
    nghttp2_option* options = nullptr;
    nghttp2_option_new(&options);
    // The receive window is extended only when a fiber has consumed the bytes, which bounds the memory in use.
    nghttp2_option_set_no_auto_window_update(options, 1);
    nghttp2_option_set_peer_max_concurrent_streams(options, maxConcurrentStreams);
    nghttp2_option_set_max_outbound_ack(options, maxWaitingAcknowledgements);
    nghttp2_session* session = nullptr;
    if (isServer)
        nghttp2_session_server_new2(&session, table, this, options);
    else
        nghttp2_session_client_new2(&session, table, this, options);
    nghttp2_option_del(options);
    nghttp2_session_callbacks_del(table);
    m_session.reset(session);
    const std::array<nghttp2_settings_entry, 2> settings { {
        { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxConcurrentStreams },
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(streamWindowBytes) },
    } };
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
}

h2_connection::~h2_connection() = default;

result<std::shared_ptr<h2_connection>> h2_connection::connect(
    fiber_runtime& runtime, const endpoint& address, const tls_context& tls, time_point deadline)
{
    auto stream = connectTcp(runtime, address, deadline, tls);
    if (!stream)
        return tl::unexpected(stream.error());
    std::shared_ptr<h2_connection> connection(new h2_connection(runtime, *stream, false, {}));
    connection->start();
    runtime.spawn([connection] { connection->runLoop([&] { connection->readLoop(); }); });
    return connection;
}

void h2_connection::serve(fiber_runtime& runtime, byte_stream_ptr stream, const stream_handler& handler)
{
    std::shared_ptr<h2_connection> connection(new h2_connection(runtime, std::move(stream), true, handler));
    connection->start();
    connection->runLoop([&] { connection->readLoop(); });
}

void h2_connection::start()
{
    auto self = shared_from_this();
    m_runtime.spawn([self] { self->runLoop([&] { self->writeLoop(); }); });
    wakeWriter();
}

// Closes the connection when one of its loops ends, however it ends: the other one would wait for ever.
void h2_connection::runLoop(const std::function<void()>& loop)
{
    (void)runLogged("http2", loop);
    fail();
}

void h2_connection::readLoop()
{
    auto self = shared_from_this();
    std::string buffer(readBufferBytes, '\0');
    const auto prefaceDeadline = clock_type::now() + prefaceLimit;
    while (!m_closed) {
        const auto into = boost::asio::buffer(buffer);
        const auto got
            = m_bytesReceived == 0 ? m_stream->readSomeUntil(into, prefaceDeadline) : m_stream->readSome(into);
        if (!got)
            break;
        m_bytesReceived += *got;
        m_bytesMoved += *got;
        const auto used = nghttp2_session_mem_recv(
            native(m_session.get()), reinterpret_cast<const std::uint8_t*>(buffer.data()), *got);
        wakeWriter();
        if (used < 0)
            break;
        if (nghttp2_session_want_read(native(m_session.get())) == 0)
            break;
    }
}

void h2_connection::writeLoop()
{
    std::string batch;
    while (!m_closed) {
        batch.clear();
        while (batch.size() < maxWriteBytes) {
            const std::uint8_t* bytes = nullptr;
            const auto size = nghttp2_session_mem_send(native(m_session.get()), &bytes);
            if (size <= 0)
                break;
            batch.append(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size));
        }
        if (batch.empty()) {
            std::unique_lock lock(m_mutex);
            m_writable.wait(lock, [this] { return m_writePending || m_closed; });
            m_writePending = false;
            continue;
        }
        m_bytesMoved += batch.size();
        if (!m_stream->writeAll(batch))
            break;
    }
}

void h2_connection::wakeWriter()
{
    m_writePending = true;
    m_writable.notify_all();
}

void h2_connection::breakStream(h2_stream& stream)
{
    stream.m_broken = true;
    stream.m_changed.notify_all();
    stream.m_incomingSignal.notify();
}

void h2_connection::fail()
{
    if (m_closed)
        return;
    m_closed = true;
    if (hasOpenedStream())
        resetConnection(*m_stream);
    else
        m_stream->close();
    for (const auto& [id, stream] : m_streams)
        breakStream(*stream);
    m_streams.clear();
    wakeWriter();
}

bool h2_connection::hasOpenedStream() const
{
    return std::any_of(m_streams.begin(), m_streams.end(),
        [](const auto& entry) { return entry.second->m_role == h2_stream::role::Opened; });
}

void h2_connection::close() { fail(); }

h2_stream_ptr h2_connection::find(std::int32_t id) const
{
    const auto found = m_streams.find(id);
    return found == m_streams.end() ? nullptr : found->second;
}

void h2_connection::consumed(std::int32_t stream, std::size_t bytes)
{
    if (m_closed)
        return;
    nghttp2_session_consume(native(m_session.get()), stream, bytes);
    wakeWriter();
}

result<h2_stream_ptr> h2_connection::open(const std::string& path)
{
    const std::array<nghttp2_nv, 4> headers { { header(":method", "POST"), header(":scheme", "http"),
        header(":authority", "coltsfootbend"), header(":path", path) } };
    const auto provider = callbacks::dataProvider();
    const auto id = m_closed
        ? -1
        : nghttp2_submit_request(native(m_session.get()), nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (id < 0)
        return coltsfootbend::fail(error_kind::Unavailable, "the connection is closing", "Connect again");
    auto stream = std::make_shared<h2_stream>(m_runtime, weak_from_this(), id, h2_stream::role::Opened);
    m_streams[id] = stream;
    wakeWriter();
    return stream;
}

result<void> h2_stream::send(std::string_view bytes, bool last)
{
    const auto connection = m_connection.lock();
    if (!connection || m_broken)
        return tl::unexpected(broken());
    m_outgoing.append(bytes);
    m_outgoingEnded = m_outgoingEnded || last;
    nghttp2_session_resume_data(native(connection->m_session.get()), m_id);
    connection->wakeWriter();
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_outgoing.size() < maxQueuedBytes || m_broken; });
    if (m_broken)
        return tl::unexpected(broken());
    return {};
}

result<std::optional<std::string>> h2_stream::receive(time_point deadline)
{
    while (m_incoming.empty() && !m_incomingEnded && !m_broken) {
        if (!m_incomingSignal.waitUntil(deadline))
            break;
    }
    const bool isGivenUp = m_broken && m_role == role::Accepted;
    if (!m_incoming.empty() && !isGivenUp) {
        auto bytes = std::exchange(m_incoming, {});
        if (const auto connection = m_connection.lock())
            connection->consumed(m_id, bytes.size());
        return std::optional<std::string>(std::move(bytes));
    }
    if (m_broken)
        return tl::unexpected(broken());
    if (m_incomingEnded)
        return std::optional<std::string>();
    return fail(error_kind::TimedOut, "the other process did not answer in time", "Ask again");
}

void h2_stream::reset()
{
    const auto connection = m_connection.lock();
    if (!connection || m_broken || connection->m_closed)
        return;
    m_broken = true;
    nghttp2_submit_rst_stream(native(connection->m_session.get()), NGHTTP2_FLAG_NONE, m_id, NGHTTP2_CANCEL);
    connection->wakeWriter();
}

} // namespace coltsfootbend
