#pragma once

// HTTP/1.1 server and client for the daemons, over Beast: plain request and response values, and streamed bodies.
// Every call has size limits and a deadline. Not for traffic between the system's own processes: see `net/h2.h`.
//
//     http_client client(runtime);
//     auto answer = client.send(address, { .method = "GET", .target = "/health" }, deadline);

#include "coltsfootbend/base/buffer_budget.h"
#include "coltsfootbend/base/error.h"
#include "coltsfootbend/net/byte_stream.h"
#include "coltsfootbend/net/cancellation.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootbend {

// Bytes beyond the limit of its heads that an HTTP/1.1 connection buffers. Also bounds each chunk header and all
// trailers of a message, which are buffered until their end and count neither as head nor as body.
constexpr std::size_t httpReadAheadBytes = std::size_t { 32 } * 1024;

struct http_header {
    std::string name;
    std::string value;
};

struct http_request {
    std::string method;
    std::string target;
    std::vector<http_header> headers;
    std::string body;
};

struct http_head {
    int status = 200;
    std::vector<http_header> headers;
};

struct http_response {
    http_head head;
    std::string body;
};

// Returns the value of the header `name` (case-insensitive), or none. Returns none for a header that occurs more than
// once: see `headerCount`.
std::optional<std::string> findHeader(const std::vector<http_header>&, std::string_view name);
std::size_t headerCount(const std::vector<http_header>&, std::string_view name);

// Returns the path of `target` without its query.
std::string_view pathOf(std::string_view target);
// Returns the value of `name` in the query of `target`, or none. No percent decoding.
std::optional<std::string> queryValue(std::string_view target, std::string_view name);

// Sends the response to one request: either `send` once, or `begin`, any number of `write`, and `end`.
class http_responder {
public:
    virtual ~http_responder() = default;
    virtual io_result<void> send(const http_response&) = 0;
    virtual io_result<void> begin(const http_head&) = 0;
    // Blocks until the bytes are written to the caller's connection, so a slow caller delays only its own response.
    virtual io_result<void> write(std::string_view bytes) = 0;
    virtual io_result<void> end() = 0;
    // Closes the connection, so that the caller can detect that a started response is incomplete.
    virtual void abort() = 0;
    // Calls `onDisconnect` once if the caller disconnects while the handler runs.
    virtual void watch(std::function<void()> onDisconnect) = 0;
    // Returns the common name in the caller's certificate; empty without mutual TLS.
    virtual std::string peerName() const = 0;
};

// Why a connection ended although a request on it has no complete response.
enum class incomplete_response {
    RequestUnfinished, // The request did not arrive completely, or not in time.
    Unwritable, // The peer disconnected, or did not read the response in time.
    Aborted, // The handler aborted the response.
    HandlerFault, // The handler ended with an exception after it had begun the response.
};

const char* toString(incomplete_response);

// Limits of a server. They are read at the beginning of each request, so the owner may change them while connections
// are open.
struct http_server_options {
    std::size_t maxHeaderBytes = std::size_t { 16 } * 1024;
    std::size_t maxBodyBytes = std::size_t { 4 } * 1024 * 1024;
    // Bounds the bodies of all requests that are received or handled; null if only each body is bounded. Must outlive
    // the connections. A request whose body finds no room gets 503.
    buffer_budget* bodies = nullptr;
    // Called for each request that is refused because its body finds no room; may be empty.
    std::function<void()> onBodyRefused;
    // Maximum wait for the first byte of a request.
    duration idleLimit = std::chrono::seconds(60);
    // Maximum time from the first byte of a request to the end of its head.
    duration headLimit = std::chrono::seconds(10);
    // Maximum time to read a request body.
    duration readLimit = std::chrono::seconds(10);
    duration writeLimit = std::chrono::seconds(10);
    // Called once for each connection that ends without a complete response to a request on it; may be empty.
    std::function<void(incomplete_response, const std::string& why)> onIncomplete;
    // Called when the handler of a request ends with an exception; may be empty. The request gets a response with
    // status 500, or is aborted if a response was begun.
    std::function<void(const http_request&, const std::string& why)> onFault;
};

// The connections that wait for a request. A leaving process closes these without cutting off requests in progress.
class idle_connections {
public:
    void add(const byte_stream_ptr& stream) { m_isClosing.emplace(stream, false); }
    void remove(const byte_stream_ptr& stream) { m_isClosing.erase(stream); }
    std::size_t size() const { return m_isClosing.size(); }
    // Ends the waits of all connections. The fiber that serves a connection closes it, unless bytes have arrived.
    void closeAll()
    {
        for (auto& [stream, isClosing] : m_isClosing) {
            isClosing = true;
            stream->cancelWait();
        }
    }
    bool isClosing(const byte_stream_ptr& stream) const
    {
        const auto found = m_isClosing.find(stream);
        return found != m_isClosing.end() && found->second;
    }

private:
    std::map<byte_stream_ptr, bool> m_isClosing;
};

using http_handler = std::function<void(const http_request&, http_responder&)>;

// Serves the requests of one connection sequentially until it closes. Malformed and oversize requests receive an error
// response, after which the connection is closed. A response that begins while `isLeaving` returns true announces the
// close of its connection, and is the last one on it. `idle`, when given, contains the connection while it waits for a
// request.
void serveHttp(fiber_runtime&, const byte_stream_ptr&, const http_server_options&, const http_handler&,
    const std::function<bool()>& isLeaving, idle_connections* idle = nullptr);

// Listens on `address` without TLS and serves its requests, for internal interfaces that need no graceful shutdown.
// Fails with `Unavailable` when the address cannot be bound.
result<std::shared_ptr<listener>> listenHttp(
    fiber_runtime&, const endpoint& address, const http_server_options&, http_handler);

// Sends requests, and keeps idle connections for reuse.
class http_client {
public:
    struct options {
        std::size_t maxHeaderBytes = std::size_t { 8 } * 1024; // Of a response.
        std::size_t maxBodyBytes = std::size_t { 64 } * 1024 * 1024; // Of a response.
        std::size_t maxIdlePerEndpoint = 64; // Idle connections that are kept for reuse.
        // Maximum time to connect. TCP retransmits a lost SYN only after seconds, so without this limit a call with a
        // late deadline would keep waiting long after the server is reachable again.
        duration connectLimit = std::chrono::milliseconds(500);
        tls_context tls;
    };

    explicit http_client(fiber_runtime& runtime)
        : http_client(runtime, options {})
    {
    }
    http_client(fiber_runtime& runtime, options options)
        : m_runtime(runtime)
        , m_options(std::move(options))
    {
    }

    // Sends a request and waits for the complete response. Fails with `Unavailable` when nothing was sent, and with
    // `Lost` when the response is incomplete, malformed or too large, or when `call` was cancelled.
    result<http_response> send(const endpoint&, const http_request&, time_point deadline, cancellation* call = nullptr);

    // Receives the head and then the body of a response as they arrive. The call fails with `Lost` when `onBytes`
    // returns false.
    struct streaming {
        std::function<void(const http_head&)> onHead;
        std::function<bool(std::string_view)> onBytes;
    };
    // Sends a request and passes the response to `streaming` as it arrives. Fails as `send` does.
    result<void> stream(
        const endpoint&, const http_request&, time_point deadline, const streaming&, cancellation* call = nullptr);

private:
    result<void> exchange(byte_stream&, const endpoint&, const http_request&, const streaming&, bool& keepsAlive);
    result<byte_stream_ptr> acquireConnection(const endpoint&, time_point deadline, bool& reused);
    void keep(const endpoint&, byte_stream_ptr);

    fiber_runtime& m_runtime;
    const options m_options;
    std::map<endpoint, std::vector<byte_stream_ptr>> m_idle;
};

// Returns an error response with the body {"error":{"kind":…,"message":…,"remedy":…}}.
http_response errorResponse(int status, const error&);

} // namespace coltsfootbend
