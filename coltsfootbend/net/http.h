#pragma once

// HTTP/1.1 as the daemons use it: plain request and response values, and streamed bodies. The wire work is Beast's.
// Limits on sizes and deadlines are part of every call. Not for traffic between our own processes: see `net/h2.h`.
//
//     http_client client(runtime);
//     auto answer = client.send(address, { .method = "GET", .target = "/health" }, deadline);

#include "coltsfootbend/base/error.h"
#include "coltsfootbend/net/byte_stream.h"
#include "coltsfootbend/net/cancellation.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootbend {

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

// Returns the value of the header `name` (any case), or none. A header given twice counts as none: see `headerCount`.
std::optional<std::string> findHeader(const std::vector<http_header>&, std::string_view name);
std::size_t headerCount(const std::vector<http_header>&, std::string_view name);

// Returns the path of `target` without its query.
std::string_view pathOf(std::string_view target);
// Returns the value of `name` in the query of `target`, or none. No percent decoding.
std::optional<std::string> queryValue(std::string_view target, std::string_view name);

// How a handler answers one request: either `send` once, or `begin`, any number of `write`, and `end`.
class http_responder {
public:
    virtual ~http_responder() = default;
    virtual io_result<void> send(const http_response&) = 0;
    virtual io_result<void> begin(const http_head&) = 0;
    // Blocks until the caller's side has taken the bytes, so a slow caller slows its own answer only.
    virtual io_result<void> write(std::string_view bytes) = 0;
    virtual io_result<void> end() = 0;
    // Breaks the connection, so that the caller sees that a begun answer is not whole.
    virtual void abort() = 0;
    // Calls `gone` once if the caller goes away while the handler runs.
    virtual void watch(std::function<void()> gone) = 0;
    // Common name of the caller's certificate; empty without mutual TLS.
    virtual std::string peerName() const = 0;
};

// Read at the beginning of each request, so the owner may change them while connections are open.
struct http_server_options {
    std::size_t maxHeaderBytes = std::size_t { 16 } * 1024;
    std::size_t maxBodyBytes = std::size_t { 4 } * 1024 * 1024;
    // Without a byte of a request.
    duration idleLimit = std::chrono::seconds(60);
    // From the first byte of a request to the end of its head.
    duration headLimit = std::chrono::seconds(10);
    // Without a further byte of a body.
    duration readLimit = std::chrono::seconds(10);
    duration writeLimit = std::chrono::seconds(10);
};

// The connections that wait for a request, so that a process that leaves can close these and no other.
class idle_connections {
public:
    void add(const byte_stream_ptr& stream) { m_streams.insert(stream); }
    void remove(const byte_stream_ptr& stream) { m_streams.erase(stream); }
    std::size_t size() const { return m_streams.size(); }
    void closeAll()
    {
        for (const auto& stream : m_streams)
            stream->close();
    }

private:
    std::set<byte_stream_ptr> m_streams;
};

using http_handler = std::function<void(const http_request&, http_responder&)>;

// Serves requests from one connection, one after the other, until it closes. Malformed or oversize requests are
// answered with a typed error and end the connection. `isLeaving` makes every answer the connection's last. `idle`,
// when given, lists the connection while it waits for a request.
void serveHttp(fiber_runtime&, const byte_stream_ptr&, const http_server_options&, const http_handler&,
    const std::function<bool()>& isLeaving, idle_connections* idle = nullptr);

// Listens on `address` without TLS and serves what comes, for inner interfaces that are never asked to leave. Fails
// with `Unavailable` when the address cannot be had.
result<std::shared_ptr<listener>> listenHttp(
    fiber_runtime&, const endpoint& address, const http_server_options&, http_handler);

// Sends requests, and keeps connections for later ones.
class http_client {
public:
    struct options {
        std::size_t maxBodyBytes = std::size_t { 64 } * 1024 * 1024;
        std::size_t keptPerEndpoint = 64;
        // An opening packet that was lost is sent again only after seconds, so a call with a late deadline would still
        // wait for it long after the other side can be reached again.
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

    // Sends and waits for the whole answer. Fails with `Unavailable` when nothing was sent, with `Lost` when the
    // answer never came whole or `call` was cancelled, with `BadInput` when it cannot be understood.
    result<http_response> send(const endpoint&, const http_request&, time_point deadline, cancellation* call = nullptr);

    // As `send`, but hands over the head and then the body as it comes. Returning false from `onBytes` fails it as
    // `Lost`.
    struct streaming {
        std::function<void(const http_head&)> onHead;
        std::function<bool(std::string_view)> onBytes;
    };
    result<void> stream(
        const endpoint&, const http_request&, time_point deadline, const streaming&, cancellation* call = nullptr);

private:
    result<void> exchange(byte_stream&, const endpoint&, const http_request&, const streaming&, bool& keepsAlive);
    result<byte_stream_ptr> obtain(const endpoint&, time_point deadline, bool& reused);
    void keep(const endpoint&, byte_stream_ptr);

    fiber_runtime& m_runtime;
    const options m_options;
    std::map<endpoint, std::vector<byte_stream_ptr>> m_idle;
};

// The body of every error answer: {"error":{"kind":…,"message":…,"remedy":…}}.
http_response errorResponse(int status, const error&);

} // namespace coltsfootbend
