#include "coltsfootbend/store/http_platform.h"

#include <charconv>
#include <utility>

namespace coltsfootbend {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotModified = 304;
constexpr int statusNotFound = 404;
constexpr int statusPreconditionFailed = 412;

std::string rowTarget(const row_name& name) { return "/tables/" + name.table + "/rows/" + name.row; }

std::uint64_t revisionOf(const http_head& head)
{
    const auto text = findHeader(head.headers, "ETag").value_or("0");
    std::uint64_t revision = 0;
    std::from_chars(text.data(), text.data() + text.size(), revision);
    return revision;
}

tl::unexpected<error> unexpectedStatus(const http_head& head, bool mayHaveTakenEffect)
{
    return fail(mayHaveTakenEffect ? error_kind::Lost : error_kind::Unavailable,
        "the platform answered " + std::to_string(head.status), "Look at the platform's own status");
}

} // namespace

http_platform::http_platform(fiber_runtime& runtime, endpoint address, const options& options)
    : m_runtime(runtime)
    , m_client(runtime)
    , m_address(std::move(address))
    , m_options(options)
    , m_random(options.seed)
{
}

void http_platform::pause(int attempt, time_point deadline)
{
    // Full jitter, so that the VMs do not retry at the same moment after an outage.
    const auto most = std::chrono::duration_cast<std::chrono::microseconds>(m_options.firstPause).count() << attempt;
    const std::chrono::microseconds wait(std::uniform_int_distribution<std::int64_t>(0, most)(m_random));
    m_runtime.sleepUntil(std::min(deadline, clock_type::now() + wait));
}

result<http_response> http_platform::sendRead(const http_request& request, time_point deadline)
{
    for (int attempt = 1;; ++attempt) {
        auto response = m_client.send(m_address, request, deadline);
        const bool answered = response && response->head.status < 500;
        if (answered || attempt >= m_options.readTries || clock_type::now() >= deadline)
            return response;
        pause(attempt, deadline);
    }
}

result<table_row> http_platform::read(const row_name& name, time_point deadline, std::uint64_t known)
{
    http_request request { .method = "GET", .target = rowTarget(name), .headers = {}, .body = {} };
    if (known != 0)
        request.headers.push_back({ "If-None-Match", std::to_string(known) });
    auto response = sendRead(request, deadline);
    if (!response)
        return tl::unexpected(response.error());
    if (response->head.status == statusNotModified)
        return table_row { known, {} };
    if (response->head.status == statusNotFound)
        return table_row {};
    if (response->head.status != statusOk)
        return unexpectedStatus(response->head, false);
    return table_row { revisionOf(response->head), std::move(response->body) };
}

result<std::uint64_t> http_platform::write(
    const row_name& name, const std::string& value, std::uint64_t expected, time_point deadline)
{
    const http_request request { .method = "PUT",
        .target = rowTarget(name),
        .headers = { { "If-Match", std::to_string(expected) } },
        .body = value };
    const auto response = m_client.send(m_address, request, deadline);
    if (!response)
        return tl::unexpected(response.error());
    if (response->head.status == statusPreconditionFailed)
        return fail(error_kind::Stale, "the row has changed", "Read it again");
    if (response->head.status != statusOk)
        return unexpectedStatus(response->head, true);
    return revisionOf(response->head);
}

result<std::string> http_platform::get(const std::string& name, time_point deadline)
{
    auto response = sendRead({ .method = "GET", .target = "/objects/" + name, .headers = {}, .body = {} }, deadline);
    if (!response)
        return tl::unexpected(response.error());
    if (response->head.status == statusNotFound)
        return fail(error_kind::NotFound, "there is no object '" + name + "'", "Check its name");
    if (response->head.status != statusOk)
        return unexpectedStatus(response->head, false);
    return std::move(response->body);
}

result<void> http_platform::put(const std::string& name, const std::string& bytes, time_point deadline)
{
    const auto response = m_client.send(
        m_address, { .method = "PUT", .target = "/objects/" + name, .headers = {}, .body = bytes }, deadline);
    if (!response)
        return tl::unexpected(response.error());
    if (response->head.status != statusOk)
        return unexpectedStatus(response->head, true);
    return {};
}

} // namespace coltsfootbend
