#include "coltsfootbend/wire/peer.h"

#include "coltsfootbend/base/log_event.h"
#include "coltsfootbend/settings/process_limits.h"

#include <utility>

namespace coltsfootbend {

namespace {

constexpr std::size_t maxMessageBytes = std::size_t { 72 } * 1024 * 1024;
constexpr std::chrono::seconds firstMessageLimit { 10 };
constexpr std::chrono::milliseconds stopCheckInterval { 1 };
constexpr const char* streamPath = "/messages";

error streamEnded()
{
    return { error_kind::Lost, "the other process ended the stream", "What was asked is settled by asking again" };
}

} // namespace

wire::problem toProblem(const error& error)
{
    return { static_cast<std::uint32_t>(error.kind), error.message, error.remedy };
}

peer_stream::peer_stream(h2_stream_ptr stream, const peer_identity& identity)
    : m_stream(std::move(stream))
    , m_identity(identity)
    , m_decoder(maxMessageBytes)
{
}

result<void> peer_stream::send(wire::body body, bool last)
{
    const auto bytes = wire::encode({ .sender = m_identity.vm,
        .senderIncarnation = m_identity.processIncarnation,
        .version = m_identity.version(),
        .content = std::move(body) });
    return m_stream->send(bytes, last);
}

result<wire::message> peer_stream::receive(time_point deadline)
{
    while (true) {
        auto next = m_decoder.next();
        if (!next) {
            m_stream->reset();
            return tl::unexpected(next.error());
        }
        if (*next) {
            m_identity.onMessage(**next);
            return std::move(**next);
        }
        auto bytes = m_stream->receive(deadline);
        if (!bytes)
            return tl::unexpected(bytes.error());
        if (!*bytes)
            return tl::unexpected(streamEnded());
        m_decoder.feed(**bytes);
    }
}

peer_client::peer_client(fiber_runtime& runtime, const peer_identity& identity)
    : m_runtime(runtime)
    , m_identity(identity)
{
}

result<std::shared_ptr<h2_connection>> peer_client::connection(const endpoint& address, time_point deadline)
{
    if (const auto known = m_connections.find(address); known != m_connections.end()) {
        if (known->second->isOpen())
            return known->second;
        m_bytesOfClosed += known->second->bytesMoved();
        m_connections.erase(known);
    }
    auto opened = h2_connection::connect(m_runtime, address, m_tls ? m_tls() : tls_context {}, deadline);
    if (!opened)
        return opened;
    // Two fibers may have connected concurrently; they share the first connection.
    if (const auto known = m_connections.find(address); known != m_connections.end() && known->second->isOpen()) {
        (*opened)->close();
        return known->second;
    }
    m_connections[address] = *opened;
    return opened;
}

result<std::unique_ptr<peer_stream>> peer_client::open(
    const endpoint& address, wire::body first, bool last, time_point deadline)
{
    auto connected = connection(address, deadline);
    if (!connected)
        return tl::unexpected(connected.error());
    auto opened = (*connected)->open(streamPath);
    if (!opened)
        return tl::unexpected(opened.error());
    auto stream = std::make_unique<peer_stream>(*opened, m_identity);
    if (auto sent = stream->send(std::move(first), last); !sent)
        return tl::unexpected(sent.error());
    return stream;
}

result<wire::message> peer_client::ask(const endpoint& address, wire::body body, time_point deadline)
{
    auto stream = open(address, std::move(body), true, deadline);
    if (!stream)
        return tl::unexpected(stream.error());
    auto reply = (*stream)->receive(deadline);
    if (!reply)
        (*stream)->reset();
    return reply;
}

void peer_client::drop(const endpoint& address)
{
    if (const auto known = m_connections.find(address); known != m_connections.end())
        known->second->close();
}

std::uint64_t peer_client::bytesMoved() const
{
    auto bytes = m_bytesOfClosed;
    for (const auto& [address, connection] : m_connections)
        bytes += connection->bytesMoved();
    return bytes;
}

peer_service::peer_service(fiber_runtime& runtime, peer_identity identity, options options)
    : m_runtime(runtime)
    , m_identity(std::move(identity))
    , m_options(std::move(options))
    , m_client(runtime, m_identity)
{
    m_client.setTls(m_options.clientTls);
}

result<void> peer_service::start(kernel&)
{
    if (!m_options.address)
        return {};
    auto opened = listener::open(m_runtime,
        { .address = *m_options.address,
            .tls = m_options.serverTls,
            .budget = m_options.connections,
            .connectionCost = peerConnectionCost(),
            .keptFree = keptFreeByPeers,
            .onRefused =
                [](const std::string& why) {
                    logEvent(log_event::ConnectionRefused, "listener=peers why=\"" + why + "\"");
                } },
        [this](const byte_stream_ptr& connection) { serveConnection(connection); });
    if (!opened)
        return tl::unexpected(opened.error());
    m_listener = *opened;
    return {};
}

void peer_service::stop()
{
    if (!m_listener)
        return;
    m_listener->close();
    // Connections whose TLS handshake is not complete are not in `m_accepted` yet; the listener counts them.
    while (closeConnections() || m_listener->connections() > 0)
        m_runtime.sleepFor(stopCheckInterval);
}

void peer_service::serveConnection(const byte_stream_ptr& stream)
{
    std::erase_if(m_accepted, [](const auto& connection) { return connection.expired(); });
    const auto connection = std::make_shared<accepted_connection>(accepted_connection { stream });
    m_accepted.push_back(connection);
    h2_connection::serve(m_runtime, stream,
        // The handler exists as long as a fiber serves the connection or one of its streams, and so does `connection`.
        [this, connection](const std::string&, const h2_stream_ptr& opened) { serve(opened); });
}

bool peer_service::closeConnections()
{
    bool isServing = false;
    for (const auto& accepted : m_accepted) {
        if (const auto connection = accepted.lock()) {
            connection->stream->close();
            isServing = true;
        }
    }
    return isServing;
}

void peer_service::serve(const h2_stream_ptr& opened)
{
    peer_stream stream(opened, m_identity);
    const auto first = stream.receive(clock_type::now() + firstMessageLimit);
    if (!first) {
        if (first.error().kind == error_kind::BadInput)
            (void)stream.send(toProblem(first.error()), true);
        return;
    }
    const auto handler = m_handlers.find(first->content.index());
    if (handler == m_handlers.end()) {
        const error unknown { error_kind::BadInput, "this process does not answer that message",
            "Check that the address is that of the right kind of process" };
        (void)stream.send(toProblem(unknown), true);
        return;
    }
    handler->second(stream, *first);
}

} // namespace coltsfootbend
