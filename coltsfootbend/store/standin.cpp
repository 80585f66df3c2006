#include "coltsfootbend/store/standin.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfootbend {

namespace {

tl::unexpected<error> downError()
{
    return fail(error_kind::Unavailable, "the platform is down", "Wait until it is back");
}

tl::unexpected<error> lostError()
{
    return fail(error_kind::Lost, "the answer was lost", "Read back whether the write took effect");
}

std::uint64_t numberHeader(const http_request& request, std::string_view name)
{
    const auto text = findHeader(request.headers, name).value_or("0");
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

http_response plain(int status, std::string body = {}) { return { { status, {} }, std::move(body) }; }

http_response withRevision(std::uint64_t revision, std::string body)
{
    return { { 200, { { "ETag", std::to_string(revision) } } }, std::move(body) };
}

int statusOf(const error& error)
{
    switch (error.kind) {
    case error_kind::Stale:
        return 412;
    case error_kind::NotFound:
        return 404;
    default:
        return 503;
    }
}

} // namespace

bool memory_platform::loseAnswer()
{
    if (m_faults.loseNextAnswers == 0)
        return false;
    --m_faults.loseNextAnswers;
    return true;
}

result<table_row> memory_platform::read(const row_name& name, time_point, std::uint64_t known)
{
    ++m_reads;
    if (m_faults.down)
        return downError();
    const auto found = m_rows.find(name);
    if (found == m_rows.end())
        return table_row {};
    if (known != 0 && found->second.revision == known)
        return table_row { known, {} };
    return found->second;
}

result<std::uint64_t> memory_platform::write(
    const row_name& name, const std::string& value, std::uint64_t expected, time_point)
{
    ++m_writes;
    if (m_faults.down)
        return downError();
    auto& row = m_rows[name];
    if (row.revision != expected)
        return fail(error_kind::Stale, "the row has changed", "Read it again");
    ++row.revision;
    row.value = value;
    if (loseAnswer())
        return lostError();
    return row.revision;
}

result<std::string> memory_platform::get(const std::string& name, time_point)
{
    ++m_reads;
    if (m_faults.down)
        return downError();
    const auto found = m_objects.find(name);
    if (found == m_objects.end())
        return fail(error_kind::NotFound, "there is no object '" + name + "'", "Check its name");
    return found->second;
}

result<void> memory_platform::put(const std::string& name, const std::string& bytes, time_point)
{
    ++m_writes;
    if (m_faults.down)
        return downError();
    m_objects[name] = bytes;
    if (loseAnswer())
        return lostError();
    return {};
}

platform_standin::platform_standin(fiber_runtime& runtime, endpoint address)
    : m_runtime(runtime)
    , m_address(std::move(address))
{
}

result<void> platform_standin::start(kernel&)
{
    auto opened = listenHttp(m_runtime, m_address, { .maxBodyBytes = std::size_t { 64 } * 1024 * 1024 },
        [this](const http_request& request, http_responder& responder) { handle(request, responder); });
    if (!opened)
        return tl::unexpected(opened.error());
    m_listener = *opened;
    return {};
}

void platform_standin::stop() { m_listener->close(); }

void platform_standin::handle(const http_request& request, http_responder& responder)
{
    if (m_platform.faults().delay > duration::zero())
        m_runtime.sleepFor(m_platform.faults().delay);
    const auto response = respond(request);
    // Simulates a lost answer by closing the connection.
    if (response.head.status == 0)
        responder.abort();
    else
        (void)responder.send(response);
}

http_response platform_standin::respond(const http_request& request)
{
    constexpr std::string_view tables = "/tables/";
    constexpr std::string_view rows = "/rows/";
    constexpr std::string_view objects = "/objects/";
    const auto path = std::string(pathOf(request.target));
    const time_point noDeadline {};
    const auto failed = [](const error& error) {
        return error.kind == error_kind::Lost ? plain(0) : errorResponse(statusOf(error), error);
    };
    if (path == "/faults" && request.method == "PUT")
        return setFaults(request);
    if (path.starts_with(objects)) {
        const auto name = path.substr(objects.size());
        if (request.method == "PUT") {
            const auto done = m_platform.put(name, request.body, noDeadline);
            return done ? plain(200) : failed(done.error());
        }
        auto got = m_platform.get(name, noDeadline);
        return got ? plain(200, std::move(*got)) : failed(got.error());
    }
    const auto split = path.find(rows);
    if (!path.starts_with(tables) || split == std::string::npos || split <= tables.size())
        return errorResponse(404, { error_kind::NotFound, "no such resource", "See docs/PLATFORM.md" });
    const row_name name { path.substr(tables.size(), split - tables.size()), path.substr(split + rows.size()) };
    if (request.method == "PUT") {
        const auto written = m_platform.write(name, request.body, numberHeader(request, "If-Match"), noDeadline);
        return written ? withRevision(*written, {}) : failed(written.error());
    }
    const auto known = numberHeader(request, "If-None-Match");
    auto row = m_platform.read(name, noDeadline, known);
    if (!row)
        return failed(row.error());
    if (row->revision == 0)
        return plain(404);
    if (row->revision == known)
        return plain(304);
    return withRevision(row->revision, std::move(row->value));
}

http_response platform_standin::setFaults(const http_request& request)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return errorResponse(400, { error_kind::BadInput, "the body is no JSON object", "Send {\"down\": true}" });
    m_platform.setFaults({ .down = body.value("down", false),
        .loseNextAnswers = body.value("lose_next_answers", 0),
        .delay = std::chrono::milliseconds(body.value("delay_ms", 0)) });
    return plain(200);
}

} // namespace coltsfootbend
