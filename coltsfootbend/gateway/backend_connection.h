#pragma once

// One HTTP/1.1 connection to a backend server, and the connections that are kept for later requests. Servers may be
// faulty: answers to earlier requests may come late, bytes may follow an answer, an answer may end anywhere. Whatever
// does not belong to the request under way is dropped or ends the connection. The wire work is Beast's.
//
//     auto connection = pool.obtain(server, now, deadline, mustBeFresh);
//     (*connection)->send(request, deadline);
//     auto head = (*connection)->readHead(deadline, isMine);
//     while (auto bytes = (*connection)->readBody(deadline)) ...

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

class backend_connection {
public:
    explicit backend_connection(byte_stream_ptr stream)
        : m_stream(std::move(stream))
    {
    }

    // Fails with `Lost`: some of the request may have arrived.
    result<void> send(const http_request&, time_point deadline);

    // Returns the head of the answer for which `isMine` holds; others before it are late answers to earlier requests
    // and are dropped. Fails with `TimedOut` at `deadline`, with `Lost` when the connection broke, with `BadInput` when
    // what came is no answer.
    result<http_head> readHead(time_point deadline, const std::function<bool(const http_head&)>& isMine);

    // Returns the next bytes of the body, none at its end. Fails as `readHead`.
    result<std::optional<std::string>> readBody(time_point deadline);

    // True when the answer has ended, the server keeps the connection, and nothing follows the answer.
    bool isReusable() const;
    bool isOpenAndQuiet() const { return m_buffer.size() == 0 && m_stream->isOpenAndQuiet(); }
    // Ends whatever is under way, also in another fiber.
    void close() { m_stream->close(); }

    // Requests that were sent on it.
    std::uint32_t requests() const { return m_requests; }

private:
    using response_parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    result<http_head> readOneHead(time_point deadline);
    error broken(boost::system::error_code) const;

    byte_stream_ptr m_stream;
    boost::beast::flat_buffer m_buffer;
    std::optional<response_parser> m_parser;
    std::string m_method;
    std::uint32_t m_requests = 0;
};

using backend_connection_ptr = std::shared_ptr<backend_connection>;

class backend_connections {
public:
    struct options {
        // Servers that do not say for how long they keep a connection.
        duration defaultIdle = std::chrono::seconds(5);
        // A server's own timer may run out while a request is on its way: connections are given up this much sooner.
        duration idleMargin = std::chrono::milliseconds(1000);
        // Some servers drop idle connections early and silently. What must not run twice is sent on connections that
        // were used this recently, or on new ones.
        duration freshFor = std::chrono::milliseconds(1000);
        // Several round trips between the farthest data centres; a lost opening packet is sent again only after
        // seconds.
        duration connectLimit = std::chrono::milliseconds(300);
        std::size_t keptPerServer = 32;
    };

    explicit backend_connections(fiber_runtime& runtime)
        : backend_connections(runtime, options {})
    {
    }
    backend_connections(fiber_runtime& runtime, const options& options)
        : m_runtime(runtime)
        , m_options(options)
    {
    }

    // Returns a kept connection, or a new one. Fails with `Unavailable`: nothing was sent.
    result<backend_connection_ptr> obtain(const backend_server&, time_point deadline, bool mustBeFresh);

    // Keeps a connection after an answer, for what the server said or the default.
    void keep(const backend_server&, backend_connection_ptr, std::optional<duration> keptFor);

    // Closes what was idle for too long, and all to servers for which `isKnown` is false.
    void sweep(const std::function<bool(const backend_id&)>& isKnown);

private:
    struct idle_connection {
        backend_connection_ptr connection;
        backend_life life; // Of the server when it was made; a restarted server knows nothing of it.
        time_point freshUntil {};
        time_point usableUntil {};
    };

    fiber_runtime& m_runtime;
    const options m_options;
    std::map<backend_id, std::vector<idle_connection>> m_idle;
};

} // namespace coltsfootbend
