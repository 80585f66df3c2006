#pragma once

// Streams of messages between the processes of the system, opened by one side and answered by the other. `peer_client`
// keeps one connection to each address; `peer_service` passes each incoming stream to the handler that is registered
// for the type of its first message. Not for callers, operators or backend servers.
//
//     peers->on<wire::revoke>([](peer_stream& stream, const wire::message&, const wire::revoke& asked) {
//         stream.send(wire::revoke_reply { verdict }, true);
//     });
//     auto reply = peers->client().ask(address, wire::revoke { ... }, deadline);

#include "coltsfootbend/kernel/kernel.h"
#include "coltsfootbend/net/h2.h"
#include "coltsfootbend/wire/codec.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace coltsfootbend {

// Identity that a process sends in each message, and the callback for each message that it receives.
struct peer_identity {
    vm_id vm;
    incarnation processIncarnation;
    std::function<config_version()> version = [] { return config_version(); };
    std::function<void(const wire::message&)> onMessage = [](const wire::message&) {};
};

// One stream of messages.
class peer_stream {
public:
    peer_stream(h2_stream_ptr, const peer_identity&);

    // Sends a message; `last` ends this side of the stream. Fails with `Lost` once the other side has disconnected.
    result<void> send(wire::body, bool last);

    // Returns the next message. Fails with `Lost` when the stream has ended or broken, with `TimedOut` at `deadline`,
    // and with `BadInput` when the received bytes are not a message.
    result<wire::message> receive(time_point deadline);

    void reset() { m_stream->reset(); }

private:
    h2_stream_ptr m_stream;
    const peer_identity& m_identity;
    wire::message_decoder m_decoder;
};

// Opens streams to other processes, over one connection to each address.
class peer_client {
public:
    peer_client(fiber_runtime&, const peer_identity&);

    // Sets the source of the TLS context, called for each new connection; none for plain TCP.
    void setTls(std::function<tls_context()> tls) { m_tls = std::move(tls); }

    // Opens a stream and sends its first message. Fails with `Unavailable` when nothing was sent.
    result<std::unique_ptr<peer_stream>> open(const endpoint&, wire::body first, bool last, time_point deadline);

    // Sends one message and waits for one reply. Fails as `open` and `peer_stream::receive` do.
    result<wire::message> ask(const endpoint&, wire::body, time_point deadline);

    // Closes the connection to `address`, which may be unresponsive; the next use opens a new one.
    void drop(const endpoint& address);

    std::uint64_t bytesMoved() const;
    std::size_t connections() const { return m_connections.size(); }

private:
    result<std::shared_ptr<h2_connection>> connection(const endpoint&, time_point deadline);

    fiber_runtime& m_runtime;
    const peer_identity& m_identity;
    std::function<tls_context()> m_tls;
    std::map<endpoint, std::shared_ptr<h2_connection>> m_connections;
    std::uint64_t m_bytesOfClosed = 0;
};

// Accepts streams from other processes and dispatches them to the registered handlers. Must be stopped before it is
// destroyed, because the fibers that serve streams refer to it.
class peer_service final : public service {
public:
    struct options {
        std::optional<endpoint> address;
        std::function<tls_context()> serverTls;
        std::function<tls_context()> clientTls;
        // Bounds the connections of all listeners of the process; may be null. Must outlive the service.
        connection_budget* connections = nullptr;
    };

    peer_service(fiber_runtime&, peer_identity, options);

    std::string_view name() const override { return "peers"; }
    result<void> start(kernel&) override;
    // Closes the listener and all accepted connections, and blocks the calling fiber until no handler runs.
    void stop() override;

    // Registers the handler of streams that begin with a `Message`. Call before `start` of the process ends.
    template <typename Message> void on(std::function<void(peer_stream&, const wire::message&, const Message&)> handler)
    {
        const auto index = wire::body(Message {}).index();
        m_handlers[index] = [handler = std::move(handler)](peer_stream& stream, const wire::message& message) {
            handler(stream, message, std::get<Message>(message.content));
        };
    }

    peer_client& client() { return m_client; }
    peer_identity& identity() { return m_identity; }

private:
    // An accepted connection, owned by the fibers that serve it.
    struct accepted_connection {
        byte_stream_ptr stream;
    };

    void serveConnection(const byte_stream_ptr&);
    void serve(const h2_stream_ptr&);
    // Closes the accepted connections. Returns whether a fiber still serves one of them.
    bool closeConnections();

    fiber_runtime& m_runtime;
    peer_identity m_identity;
    const options m_options;
    peer_client m_client;
    std::unordered_map<std::size_t, std::function<void(peer_stream&, const wire::message&)>> m_handlers;
    std::shared_ptr<listener> m_listener;
    std::vector<std::weak_ptr<accepted_connection>> m_accepted;
};

// Returns the message that reports `error` to a peer.
wire::problem toProblem(const error&);

} // namespace coltsfootbend
