#include "coltsfootbend/gateway/backend_connection.h"

#include "coltsfootbend/net/connection_reset.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

namespace coltsfootbend {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t readBufferSize = std::size_t { 8 } * 1024;
// Effectively unlimited, because the length of a stream is not known in advance. Code that buffers a whole body applies
// its own limit.
constexpr std::uint64_t maxBodyBytes = std::uint64_t { 1 } << 40U;
// Limit in bytes for the body of a late response to an earlier request, which is dropped.
constexpr std::size_t maxStaleBodyBytes = std::size_t { 1024 } * 1024;
// Number of interim responses before the final one. A server may send them without end.
constexpr int maxInterimResponses = 16;
// Number of late responses to earlier requests that are dropped before the connection is given up.
constexpr int maxStaleAnswers = 3;
// Statuses of HTTP. The parser accepts any three digits.
constexpr int firstInterimStatus = 100;
constexpr int statusSwitchingProtocols = 101;
constexpr int firstFinalStatus = 200;
constexpr int lastStatus = 599;

// Returns a message that refers to the body of `request`.
http::request<http::span_body<const char>> toBeast(const http_request& request)
{
    http::request<http::span_body<const char>> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    for (const auto& header : request.headers)
        message.insert(header.name, header.value);
    message.body() = { request.body.data(), request.body.size() };
    message.prepare_payload();
    return message;
}

// Returns whether a head with `status` can belong to a response. No request asks for another protocol.
bool isResponseStatus(int status)
{
    return status >= firstInterimStatus && status <= lastStatus && status != statusSwitchingProtocols;
}

} // namespace

error backend_connection::toError(boost::system::error_code code) const
{
    if (code == beast::error::timeout)
        return { error_kind::TimedOut, "the server sent nothing before the deadline",
            "Try another server, or allow more time" };
    const bool isParseError = code.category() == http::make_error_code(http::error::bad_method).category()
        && code != http::error::end_of_stream && code != http::error::partial_message;
    return { isParseError ? error_kind::BadInput : error_kind::Lost, code.message(), "Check the backend server's log" };
}

result<void> backend_connection::send(const http_request& request, time_point deadline)
{
    const auto message = toBeast(request);
    m_method = request.method;
    m_hasMatchingHead = false;
    ++m_requestCount;
    m_stream->setDeadline(deadline);
    boost::system::error_code code;
    http::write(*m_stream, message, code);
    if (code)
        return tl::unexpected(toError(code));
    return {};
}

result<http_head> backend_connection::readOneHead(time_point deadline)
{
    m_parser.emplace();
    m_parser->header_limit(maxHeaderBytes);
    m_parser->body_limit(maxBodyBytes);
    m_parser->skip(m_method == "HEAD");
    m_stream->setDeadline(deadline);
    boost::system::error_code code;
    http::read_header(*m_stream, m_buffer, *m_parser, code);
    if (code)
        return tl::unexpected(toError(code));
    http_head head { static_cast<int>(m_parser->get().result_int()), {} };
    if (!isResponseStatus(head.status)) {
        return fail(error_kind::BadInput, "the server sent the status " + std::to_string(head.status),
            "Check the backend server's log");
    }
    for (const auto& field : m_parser->get())
        head.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    return head;
}

result<http_head> backend_connection::readHead(
    time_point deadline, const std::function<bool(const http_head&)>& matchesRequest)
{
    int interimResponses = 0;
    for (int staleAnswers = 0; staleAnswers <= maxStaleAnswers && interimResponses <= maxInterimResponses;) {
        auto head = readOneHead(deadline);
        if (!head)
            return head;
        if (head->status < firstFinalStatus) {
            ++interimResponses; // An interim (1xx) response has no body, and the final response follows.
            continue;
        }
        if (matchesRequest(*head)) {
            m_hasMatchingHead = true;
            return head;
        }
        ++staleAnswers;
        if (const auto skipped = skipBody(deadline); !skipped)
            return tl::unexpected(skipped.error());
    }
    return fail(
        error_kind::BadInput, "the server keeps sending responses to other requests", "Check the backend server's log");
}

result<void> backend_connection::skipBody(time_point deadline)
{
    std::size_t skipped = 0;
    while (skipped <= maxStaleBodyBytes) {
        const auto bytes = readBody(deadline);
        if (!bytes)
            return tl::unexpected(bytes.error());
        if (!*bytes)
            return {};
        skipped += (*bytes)->size();
    }
    return fail(error_kind::BadInput, "a late response does not end", "Check the backend server's log");
}

result<std::optional<std::string>> backend_connection::readBody(time_point deadline)
{
    std::array<char, readBufferSize> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init)
    m_stream->setDeadline(deadline);
    while (!m_parser->is_done()) {
        m_parser->get().body().data = bytes.data();
        m_parser->get().body().size = bytes.size();
        boost::system::error_code code;
        http::read_some(*m_stream, m_buffer, *m_parser, code);
        if (code == http::error::need_buffer)
            code = {};
        const auto readSize = bytes.size() - m_parser->get().body().size;
        if (code)
            return tl::unexpected(toError(code));
        if (readSize > 0)
            return std::string(bytes.data(), readSize);
    }
    return std::optional<std::string>();
}

// After an orderly close the kernel still delivers the whole request: a server that was suspended, or is reached again
// after a network partition, would then run a request that its caller has given up.
void backend_connection::close()
{
    if (isAwaitingResponse())
        resetConnection(*m_stream);
    else
        m_stream->close();
}

bool backend_connection::isReusable() const
{
    return m_parser && m_parser->is_done() && m_parser->get().keep_alive() && !m_parser->need_eof()
        && m_buffer.size() == 0;
}

result<backend_connection_ptr> backend_connection_pool::acquire(
    const backend_server& server, time_point deadline, bool mustBeFresh)
{
    auto& idle = m_idle[server.id];
    // Starts with the connection that was used last, because the server keeps that one open longest.
    while (!idle.empty()) {
        const auto candidate = idle.back();
        const auto now = clock_type::now();
        if (mustBeFresh && now >= candidate.freshUntil)
            break;
        idle.pop_back();
        if (candidate.incarnation == server.incarnation && now < candidate.usableUntil
            && candidate.connection->isOpenAndIdle())
            return candidate.connection;
        candidate.connection->close();
    }
    auto stream
        = connectTcp(m_runtime, server.address, std::min(deadline, clock_type::now() + m_options.connectTimeout));
    if (!stream)
        return tl::unexpected(stream.error());
    return std::make_shared<backend_connection>(*stream);
}

void backend_connection_pool::release(
    const backend_server& server, backend_connection_ptr connection, std::optional<duration> keepAliveTimeout)
{
    auto& idle = m_idle[server.id];
    const auto now = clock_type::now();
    const auto usableFor = keepAliveTimeout.value_or(m_options.defaultKeepAlive) - m_options.keepAliveMargin;
    if (usableFor <= duration::zero() || idle.size() >= m_options.maxIdlePerServer) {
        connection->close();
        return;
    }
    idle.push_back({ .connection = std::move(connection),
        .incarnation = server.incarnation,
        .freshUntil = now + std::min(usableFor, m_options.freshFor),
        .usableUntil = now + usableFor });
}

void backend_connection_pool::sweep(const std::function<bool(const backend_id&)>& isInService)
{
    const auto now = clock_type::now();
    for (auto& [id, idle] : m_idle) {
        const bool inService = isInService(id);
        std::erase_if(idle, [&](const idle_connection& candidate) {
            if (inService && now < candidate.usableUntil)
                return false;
            candidate.connection->close();
            return true;
        });
    }
    std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace coltsfootbend
