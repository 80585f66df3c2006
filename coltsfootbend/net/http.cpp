#include "coltsfootbend/net/http.h"

#include "coltsfootbend/net/connection_reset.h"
#include "coltsfootbend/net/fiber_signal.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfootbend {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t streamBufferBytes = std::size_t { 16 } * 1024;

template <typename Fields> std::vector<http_header> copyHeaders(const Fields& fields)
{
    std::vector<http_header> headers;
    for (const auto& field : fields)
        headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    return headers;
}

bool hasControlBytes(std::string_view text)
{
    return std::any_of(
        text.begin(), text.end(), [](char byte) { return static_cast<unsigned char>(byte) < 0x20 && byte != '\t'; });
}

template <typename Message> void setHeaders(Message& message, const std::vector<http_header>& headers)
{
    for (const auto& header : headers) {
        if (!hasControlBytes(header.value))
            message.insert(header.name, header.value);
    }
}

struct incomplete_end {
    incomplete_response reason = incomplete_response::Aborted;
    std::string why;
};

// Writes the response to one request to its connection.
class beast_responder final : public http_responder {
public:
    beast_responder(fiber_runtime& runtime, byte_stream_ptr stream, const http_server_options& options,
        unsigned version, bool keepAlive, const std::function<bool()>& isLeaving)
        : m_runtime(runtime)
        , m_stream(std::move(stream))
        , m_options(options)
        , m_version(version)
        , m_keepAlive(keepAlive)
        , m_isLeaving(isLeaving)
    {
    }

    io_result<void> send(const http_response& response) override
    {
        stopWatching();
        http::response<http::string_body> message(static_cast<http::status>(response.head.status), m_version);
        setHeaders(message, response.head.headers);
        m_keepAlive = m_keepAlive && !m_isLeaving();
        message.keep_alive(m_keepAlive);
        message.body() = response.body;
        message.prepare_payload();
        m_answered = true;
        extendDeadline();
        boost::system::error_code code;
        http::write(*m_stream, message, code);
        m_isComplete = !code;
        return finish(code);
    }

    io_result<void> begin(const http_head& head) override
    {
        m_message.emplace(static_cast<http::status>(head.status), m_version);
        setHeaders(*m_message, head.headers);
        m_keepAlive = m_keepAlive && !m_isLeaving();
        m_message->keep_alive(m_keepAlive);
        m_message->chunked(m_version >= 11);
        m_serializer.emplace(*m_message);
        m_answered = true;
        extendDeadline();
        boost::system::error_code code;
        http::write_header(*m_stream, *m_serializer, code);
        return finish(code);
    }

    io_result<void> write(std::string_view bytes) override
    {
        if (bytes.empty())
            return {};
        extendDeadline();
        boost::system::error_code code;
        if (m_version >= 11)
            boost::asio::write(*m_stream, http::make_chunk(boost::asio::buffer(bytes.data(), bytes.size())), code);
        else
            boost::asio::write(*m_stream, boost::asio::buffer(bytes.data(), bytes.size()), code);
        return finish(code);
    }

    io_result<void> end() override
    {
        stopWatching();
        extendDeadline();
        boost::system::error_code code;
        if (m_version >= 11)
            boost::asio::write(*m_stream, http::make_chunk_last(), code);
        else
            m_keepAlive = false;
        m_isComplete = !code;
        return finish(code);
    }

    void abort() override { abortBecause({ incomplete_response::Aborted, "the handler aborted it" }); }

    // Ends the response after an exception of its handler: with an error response if none was begun, else so that the
    // peer can detect that the response is incomplete.
    void endAfterFault()
    {
        if (!m_answered)
            (void)send(errorResponse(500,
                { error_kind::Internal, "handling the request failed",
                    "Look whether it took effect before repeating it; report this" }));
        else if (!m_isComplete && !m_incomplete)
            abortBecause({ incomplete_response::HandlerFault, "the handler ended with an exception" });
    }

    void watch(std::function<void()> onDisconnect) override
    {
        const auto watch = std::make_shared<watch_state>(m_runtime);
        m_runtime.spawn([stream = m_stream, watch, onDisconnect = std::move(onDisconnect)] {
            const watch_end end(*watch);
            // `cancelWait` cannot end a wait that begins after it. Such a wait would last until the caller sends or
            // disconnects, and `stopWatching` would delay the response until then.
            const bool closed = !watch->stopped && stream->waitForClose();
            if (closed && !watch->stopped)
                onDisconnect();
        });
        m_watch = watch;
    }

    std::string peerName() const override { return m_stream->peerName(); }

    // Ends the watching fiber. It must have ended before the connection is read again.
    void stopWatching()
    {
        if (!m_watch)
            return;
        m_watch->stopped = true;
        m_stream->cancelWait();
        while (!m_watch->ended)
            (void)m_watch->changed.waitUntil(time_point::max());
        m_watch.reset();
    }

    bool isAnswered() const { return m_answered; }
    bool keepsAlive() const { return m_keepAlive; }
    // Returns why the response is incomplete, or none if it is complete.
    const std::optional<incomplete_end>& incomplete() const { return m_incomplete; }

private:
    struct watch_state {
        explicit watch_state(fiber_runtime& runtime)
            : changed(runtime)
        {
        }
        bool stopped = false;
        bool ended = false;
        fiber_signal changed;
    };

    // Tells `stopWatching` that the watching fiber has ended, however it ends.
    class watch_end {
    public:
        explicit watch_end(watch_state& watch)
            : m_watch(watch)
        {
        }
        ~watch_end()
        {
            m_watch.ended = true;
            m_watch.changed.notify();
        }
        watch_end(const watch_end&) = delete;
        watch_end& operator=(const watch_end&) = delete;

    private:
        watch_state& m_watch;
    };

    void abortBecause(incomplete_end end)
    {
        stopWatching();
        m_keepAlive = false;
        m_incomplete = std::move(end);
        if (m_version >= 11)
            m_stream->close(); // The last chunk is missing.
        else
            resetConnection(*m_stream);
    }

    void extendDeadline() { m_stream->setDeadline(clock_type::now() + m_options.writeLimit); }

    io_result<void> finish(boost::system::error_code code)
    {
        if (!code)
            return {};
        m_keepAlive = false;
        m_incomplete = incomplete_end { incomplete_response::Unwritable, code.message() };
        return tl::unexpected(code);
    }

    fiber_runtime& m_runtime;
    byte_stream_ptr m_stream;
    const http_server_options& m_options;
    const unsigned m_version;
    bool m_keepAlive;
    const std::function<bool()>& m_isLeaving;
    bool m_answered = false;
    bool m_isComplete = false; // The whole response is written.
    std::optional<incomplete_end> m_incomplete;
    std::optional<http::response<http::empty_body>> m_message;
    std::optional<http::response_serializer<http::empty_body>> m_serializer;
    std::shared_ptr<watch_state> m_watch;
};

http_response parseFailure(boost::system::error_code code)
{
    if (code == http::error::body_limit)
        return errorResponse(
            413, { error_kind::BadInput, "the body is larger than this server takes", "Send a smaller body" });
    if (code == http::error::header_limit)
        return errorResponse(431,
            { error_kind::BadInput, "the headers are larger than this server takes", "Send fewer or shorter headers" });
    return errorResponse(
        400, { error_kind::BadInput, "not a valid HTTP/1.1 request: " + code.message(), "Check the client" });
}

bool isParseError(boost::system::error_code code)
{
    return code.category() == http::make_error_code(http::error::bad_method).category()
        && code != http::error::end_of_stream && code != http::error::partial_message;
}

// Reads the first bytes of a request. Fails when the connection has ended, has been idle for too long, or is to be
// closed; never when bytes have arrived before.
io_result<std::size_t> readFirstBytes(const byte_stream_ptr& stream, boost::asio::mutable_buffer buffer,
    const http_server_options& options, const idle_connections* idle)
{
    const auto idleSince = clock_type::now();
    while (true) {
        auto got = stream->readSomeUntil(buffer, idleSince + options.idleLimit);
        if (got || got.error() != boost::asio::error::operation_aborted)
            return got;
        // The limit may have been raised during the wait.
        const bool isEnding = clock_type::now() >= idleSince + options.idleLimit || (idle && idle->isClosing(stream));
        if (isEnding && stream->isOpenAndIdle())
            return got;
    }
}

// Waits until the first bytes of a request are in `buffer`. Returns false when none arrive within the idle limit.
bool waitForRequest(const byte_stream_ptr& stream, beast::flat_buffer& buffer, const http_server_options& options,
    idle_connections* idle)
{
    if (buffer.size() > 0)
        return true;
    if (idle)
        idle->add(stream);
    const auto got = readFirstBytes(stream, buffer.prepare(streamBufferBytes), options, idle);
    if (idle)
        idle->remove(stream);
    if (got)
        buffer.commit(*got);
    return got.has_value();
}

// Returns whether the end of the body is ambiguous: with a transfer coding other than "chunked", with several codings
// or lengths, or with both. Bytes of the body could then be parsed as another request (request smuggling).
bool hasUnknownFraming(const http::request<http::string_body>& message)
{
    if (message.count(http::field::transfer_encoding) == 0)
        return message.count(http::field::content_length) > 1;
    return message.count(http::field::transfer_encoding) > 1 || message.count(http::field::content_length) > 0
        || !boost::algorithm::iequals(message[http::field::transfer_encoding], "chunked");
}

void report(const http_server_options& options, incomplete_response incomplete, const std::string& why)
{
    if (options.onIncomplete)
        options.onIncomplete(incomplete, why);
}

void reportFault(const http_server_options& options, const http_request& request, const std::string& why)
{
    if (!options.onFault)
        return;
    try {
        options.onFault(request, why);
    } catch (const std::exception&) { // NOLINT(bugprone-empty-catch)
        // A fault in the report has no other effect, as the fault that it reports.
    }
}

// Calls the handler and ends the response if the handler throws: a fault in one request must not end others.
void callHandler(const http_handler& handler, const http_request& request, beast_responder& responder,
    const http_server_options& options)
{
    try {
        handler(request, responder);
    } catch (const std::exception& fault) {
        reportFault(options, request, fault.what());
        responder.endAfterFault();
    }
}

// Reads the body that follows the head in `parser`. Fails with `not_enough_memory` if `share` cannot hold it.
boost::system::error_code readBody(byte_stream& stream, beast::flat_buffer& buffer,
    http::request_parser<http::string_body>& parser, std::optional<buffer_share>& share)
{
    const auto fits = [&share](std::size_t size) { return !share || share->resize(size); };
    const auto outOfBuffers = make_error_code(boost::system::errc::not_enough_memory);
    if (!fits(static_cast<std::size_t>(parser.content_length().value_or(0))))
        return outOfBuffers;
    if (boost::algorithm::iequals(parser.get()[http::field::expect], "100-continue"))
        (void)stream.writeAll("HTTP/1.1 100 Continue\r\n\r\n");
    parser.eager(true);
    boost::system::error_code code;
    while (!code && !parser.is_done()) {
        http::read_some(stream, buffer, parser, code);
        if (!fits(parser.get().body().capacity()))
            return outOfBuffers;
    }
    return code;
}

http_response bodiesUsedUp()
{
    auto response = errorResponse(503,
        { error_kind::Overloaded, "not run: the buffers for the bodies of requests are used up",
            "Come back after the time in Retry-After" });
    response.head.headers.push_back({ "Retry-After", "1" });
    return response;
}

// Reads one request, and sends the response. Returns whether the connection can be used for another request.
bool serveOne(fiber_runtime& runtime, const byte_stream_ptr& stream, beast::flat_buffer& buffer,
    const http_server_options& options, const http_handler& handler, const std::function<bool()>& isLeaving,
    idle_connections* idle)
{
    buffer.max_size(std::max(buffer.size(), options.maxHeaderBytes + httpReadAheadBytes));
    if (!waitForRequest(stream, buffer, options, idle))
        return false;
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(options.maxHeaderBytes));
    parser.body_limit(options.maxBodyBytes);
    boost::system::error_code code;
    stream->setDeadline(clock_type::now() + options.headLimit);
    http::read_header(*stream, buffer, parser, code);
    if (!code && hasUnknownFraming(parser.get())) {
        beast_responder responder(runtime, stream, options, 11, false, isLeaving);
        (void)responder.send(errorResponse(400,
            { error_kind::BadInput, "the framing of the body is not understood",
                "Send either one Content-Length or 'Transfer-Encoding: chunked'" }));
        return false;
    }
    std::optional<buffer_share> share;
    if (options.bodies)
        share.emplace(*options.bodies);
    if (!code) {
        stream->setDeadline(clock_type::now() + options.readLimit);
        code = readBody(*stream, buffer, parser, share);
    }
    if (code) {
        if (code == boost::system::errc::not_enough_memory) {
            beast_responder responder(runtime, stream, options, 11, false, isLeaving);
            (void)responder.send(bodiesUsedUp());
            if (options.onBodyRefused)
                options.onBodyRefused();
        } else if (isParseError(code)) {
            beast_responder responder(runtime, stream, options, 11, false, isLeaving);
            (void)responder.send(parseFailure(code));
        } else {
            report(options, incomplete_response::RequestUnfinished, code.message());
        }
        return false;
    }
    auto& message = parser.get();
    http_request request { std::string(message.method_string()), std::string(message.target()), copyHeaders(message),
        std::move(message.body()) };
    beast_responder responder(runtime, stream, options, message.version(), message.keep_alive(), isLeaving);
    callHandler(handler, request, responder, options);
    responder.stopWatching();
    if (!responder.isAnswered()) {
        (void)responder.send(
            errorResponse(500, { error_kind::Internal, "the request was not answered", "Report this" }));
    }
    if (const auto& incomplete = responder.incomplete())
        report(options, incomplete->reason, incomplete->why);
    return responder.keepsAlive();
}

http::request<http::string_body> toBeast(const endpoint& address, const http_request& request)
{
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    setHeaders(message, request.headers);
    message.set(http::field::host, toString(address));
    message.keep_alive(true);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

error lost(const endpoint& address, boost::system::error_code code)
{
    return { error_kind::Lost, toString(address) + ": " + code.message(),
        "The request may have taken effect; look before repeating it" };
}

} // namespace

const char* toString(incomplete_response reason)
{
    switch (reason) {
    case incomplete_response::RequestUnfinished:
        return "request_unfinished";
    case incomplete_response::Unwritable:
        return "unwritable";
    case incomplete_response::Aborted:
        return "aborted";
    case incomplete_response::HandlerFault:
        return "fault";
    }
    return "unknown";
}

std::optional<std::string> findHeader(const std::vector<http_header>& headers, std::string_view name)
{
    std::optional<std::string> found;
    for (const auto& header : headers) {
        if (!boost::algorithm::iequals(header.name, name))
            continue;
        if (found)
            return std::nullopt;
        found = header.value;
    }
    return found;
}

std::size_t headerCount(const std::vector<http_header>& headers, std::string_view name)
{
    return static_cast<std::size_t>(std::count_if(headers.begin(), headers.end(),
        [&](const http_header& header) { return boost::algorithm::iequals(header.name, name); }));
}

std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

std::optional<std::string> queryValue(std::string_view target, std::string_view name)
{
    auto rest = target.substr(std::min(target.find('?'), target.size()));
    while (!rest.empty()) {
        rest.remove_prefix(1); // '?' or '&'
        const auto part = rest.substr(0, rest.find('&'));
        rest.remove_prefix(part.size());
        const auto equals = part.find('=');
        if (part.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string() : std::string(part.substr(equals + 1));
    }
    return std::nullopt;
}

void serveHttp(fiber_runtime& runtime, const byte_stream_ptr& stream, const http_server_options& options,
    const http_handler& handler, const std::function<bool()>& isLeaving, idle_connections* idle)
{
    beast::flat_buffer buffer;
    while (serveOne(runtime, stream, buffer, options, handler, isLeaving, idle)) { }
    stream->close();
}

result<std::shared_ptr<listener>> listenHttp(
    fiber_runtime& runtime, const endpoint& address, const http_server_options& options, http_handler handler)
{
    return listener::open(runtime, { .address = address, .tls = {} },
        [&runtime, options, handler = std::move(handler)](
            const byte_stream_ptr& stream) { serveHttp(runtime, stream, options, handler, [] { return false; }); });
}

result<byte_stream_ptr> http_client::acquireConnection(const endpoint& address, time_point deadline, bool& reused)
{
    auto& idle = m_idle[address];
    reused = !idle.empty();
    if (!reused)
        return connectTcp(
            m_runtime, address, std::min(deadline, clock_type::now() + m_options.connectLimit), m_options.tls);
    auto stream = std::move(idle.back());
    idle.pop_back();
    return stream;
}

void http_client::keep(const endpoint& address, byte_stream_ptr stream)
{
    auto& idle = m_idle[address];
    if (idle.size() < m_options.maxIdlePerEndpoint)
        idle.push_back(std::move(stream));
    else
        stream->close();
}

result<http_response> http_client::send(
    const endpoint& address, const http_request& request, time_point deadline, cancellation* call)
{
    http_response response;
    const auto done = stream(address, request, deadline,
        { .onHead = [&](const http_head& head) { response.head = head; },
            .onBytes =
                [&](std::string_view bytes) {
                    response.body.append(bytes);
                    return response.body.size() <= m_options.maxBodyBytes;
                } },
        call);
    if (!done)
        return tl::unexpected(done.error());
    return response;
}

result<void> http_client::stream(const endpoint& address, const http_request& request, time_point deadline,
    const streaming& streaming, cancellation* call)
{
    bool reused = false;
    auto connection = acquireConnection(address, deadline, reused);
    // Discard idle connections that the server has closed, before anything is sent on them.
    while (connection && reused && !(*connection)->isOpenAndIdle()) {
        (*connection)->close();
        connection = acquireConnection(address, deadline, reused);
    }
    if (!connection)
        return tl::unexpected(connection.error());
    (*connection)->setDeadline(deadline);
    if (call)
        call->attach([stream = *connection] { resetConnection(*stream); });
    bool keepsAlive = false;
    auto done = exchange(**connection, address, request, streaming, keepsAlive);
    if (call)
        call->detach();
    // A call that was given up must not take effect later, when a server that was suspended reads it.
    if (!done)
        resetConnection(**connection);
    else if (keepsAlive)
        keep(address, *connection);
    else
        (*connection)->close();
    // When a reused connection is unresponsive, the other idle connections to this server may be as well: drop them.
    const bool wasUnresponsive = clock_type::now() >= deadline || (call && call->isCancelled());
    if (!done && reused && wasUnresponsive)
        m_idle.erase(address);
    return done;
}

// Sends a request and reads the complete response on one connection.
result<void> http_client::exchange(byte_stream& stream, const endpoint& address, const http_request& request,
    const streaming& streaming, bool& keepsAlive)
{
    auto message = toBeast(address, request);
    boost::system::error_code code;
    http::write(stream, message, code);
    if (code)
        return tl::unexpected(lost(address, code));

    beast::flat_buffer buffer(m_options.maxHeaderBytes + httpReadAheadBytes);
    http::response_parser<http::buffer_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(m_options.maxHeaderBytes));
    parser.body_limit(m_options.maxBodyBytes);
    parser.skip(request.method == "HEAD");
    http::read_header(stream, buffer, parser, code);
    if (code)
        return tl::unexpected(lost(address, code));
    streaming.onHead({ static_cast<int>(parser.get().result_int()), copyHeaders(parser.get()) });
    std::array<char, streamBufferBytes> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init)
    while (!parser.is_done()) {
        parser.get().body().data = bytes.data();
        parser.get().body().size = bytes.size();
        http::read_some(stream, buffer, parser, code);
        if (code == http::error::need_buffer)
            code = {};
        if (code)
            return tl::unexpected(lost(address, code));
        const auto got = bytes.size() - parser.get().body().size;
        if (got > 0 && !streaming.onBytes({ bytes.data(), got }))
            return fail(error_kind::Lost, "cancelled", "Ask again if the answer is still wanted");
    }
    keepsAlive = parser.get().keep_alive();
    return {};
}

http_response errorResponse(int status, const error& error)
{
    const nlohmann::json body { { "error",
        { { "kind", toString(error.kind) }, { "message", error.message }, { "remedy", error.remedy } } } };
    return { { status, { { "Content-Type", "application/json" } } },
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n" };
}

} // namespace coltsfootbend
