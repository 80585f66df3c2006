#pragma once

// HTTP/1.1 connections to backend servers, and a pool that reuses idle ones. Servers may be faulty: they may send
// responses to earlier requests late, send bytes after a response, or end a response anywhere. Data that does not
// belong to the current request is dropped or ends the connection. Boost.Beast does the HTTP parsing and serialisation.
//
//     auto connection = pool.acquire(server, deadline, mustBeFresh);
//     (*connection)->send(request, deadline);
//     auto head = (*connection)->readHead(deadline, matchesRequest);
//     while (auto bytes = (*connection)->readBody(deadline)) ...
//     pool.release(server, *connection, keepAliveTimeout);

#include "coltsfootbend/gateway/backend_directory.h"
#include "coltsfootbend/net/http.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace coltsfootbend {

// One connection to a backend server. Carries one request at a time.
class backend_connection {
public:
    explicit backend_connection(byte_stream_ptr stream)
        : m_stream(std::move(stream))
    {
    }
    ~backend_connection() { close(); }
    backend_connection(const backend_connection&) = delete;
    backend_connection& operator=(const backend_connection&) = delete;

    // Sends a request. Fails with `TimedOut` at `deadline` and with `Lost` when the connection breaks; in both cases
    // the server may have received part of the request.
    result<void> send(const http_request&, time_point deadline);

    // Returns the head of the first response for which `matchesRequest` is true. Drops the responses before it: they
    // are late responses to earlier requests. Fails with `TimedOut` at `deadline`, with `Lost` when the connection
    // breaks, and with `BadInput` when the received bytes are not an HTTP response.
    result<http_head> readHead(time_point deadline, const std::function<bool(const http_head&)>& matchesRequest);

    // Returns the next bytes of the body, or none at its end. Fails like `readHead`.
    result<std::optional<std::string>> readBody(time_point deadline);

    // Returns true when the response is complete, the server keeps the connection open, and no bytes follow the
    // response.
    bool isReusable() const;
    // Returns true if the response has neither a length nor chunks, so that its body ends with the connection. The end
    // of the connection does not prove that such a response is complete: a crash of the server looks the same.
    bool endsWithConnection() const { return m_parser && m_parser->need_eof(); }
    // Returns true while an idle connection is open and the server has sent nothing on it.
    bool isOpenAndIdle() const { return m_buffer.size() == 0 && m_stream->isOpenAndIdle(); }
    // Ends the connection. Resets it if a request on it has no complete response, so that a server that has not read
    // the request yet does not run it later; else closes it in order. A call that is in progress in another fiber
    // fails.
    void close();

    // Returns the number of requests that were sent on this connection.
    std::uint32_t requestCount() const { return m_requestCount; }

private:
    using response_parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    // Returns true from the start of `send` until the response to that request is complete.
    bool isAwaitingResponse() const { return m_requestCount > 0 && !(m_hasMatchingHead && m_parser->is_done()); }
    result<http_head> readOneHead(time_point deadline);
    // Drops the body of the current response. Fails like `readHead`, and with `BadInput` if it is too long.
    result<void> skipBody(time_point deadline);
    error toError(boost::system::error_code) const;

    static constexpr std::uint32_t maxHeaderBytes = 32 * 1024;

    byte_stream_ptr m_stream;
    boost::beast::flat_buffer m_buffer { maxHeaderBytes + httpReadAheadBytes };
    std::optional<response_parser> m_parser;
    std::string m_method;
    std::uint32_t m_requestCount = 0;
    bool m_hasMatchingHead = false; // The head of the response to the last request has arrived.
};

using backend_connection_ptr = std::shared_ptr<backend_connection>;

// Idle connections to each backend server, for reuse by later requests.
class backend_connection_pool {
public:
    struct options {
        // Keep-alive timeout assumed for servers that state none.
        duration defaultKeepAlive = std::chrono::seconds(5);
        // Connections are closed this long before the server's keep-alive timeout, because the timeout may expire
        // while a request is in transit.
        duration keepAliveMargin = std::chrono::milliseconds(1000);
        // Some servers drop idle connections early without closing them. Requests that must not run twice use only new
        // connections and those that were used within this time.
        duration freshFor = std::chrono::milliseconds(1000);
        // Limit for establishing a connection: several round trips between the most distant data centres. TCP repeats
        // a lost SYN packet only after seconds, so a longer wait does not help.
        duration connectTimeout = std::chrono::milliseconds(300);
        // Number of idle connections that are kept for each server.
        std::size_t maxIdlePerServer = 32;
    };

    explicit backend_connection_pool(fiber_runtime& runtime)
        : backend_connection_pool(runtime, options {})
    {
    }
    backend_connection_pool(fiber_runtime& runtime, const options& options)
        : m_runtime(runtime)
        , m_options(options)
    {
    }

    // Returns an idle connection or opens a new one. With `mustBeFresh`, reuses only connections that were used within
    // `freshFor`. Fails with `Unavailable`; nothing was sent then.
    result<backend_connection_ptr> acquire(const backend_server&, time_point deadline, bool mustBeFresh);

    // Returns a reusable connection to the pool after a response. `keepAliveTimeout` is what the server stated; without
    // it `defaultKeepAlive` applies.
    void release(const backend_server&, backend_connection_ptr, std::optional<duration> keepAliveTimeout);

    // Closes connections that were idle for too long, and all connections to servers for which `isInService` is false.
    void sweep(const std::function<bool(const backend_id&)>& isInService);

private:
    struct idle_connection {
        backend_connection_ptr connection;
        // Incarnation of the server to which the connection was opened. A restarted server does not know the
        // connection.
        backend_incarnation incarnation;
        time_point freshUntil {};
        time_point usableUntil {};
    };

    fiber_runtime& m_runtime;
    const options m_options;
    std::map<backend_id, std::vector<idle_connection>> m_idle;
};

} // namespace coltsfootbend
