#include "coltsfootbend/engine/standin.h"

#include "coltsfootbend/base/hash.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace coltsfootbend {

namespace {

using json = nlohmann::json;

constexpr int defaultTokens = 16;
constexpr int maxTokens = 100'000;

// Returns the token at `index` of the answer to `prompt`. The first token contains the hash of the prompt, so that
// callers can verify that the answer belongs to their request.
std::string tokenAt(const std::string& prompt, int index)
{
    if (index == 0)
        return "answer-to-" + std::to_string(stableHash(prompt));
    return " t" + std::to_string(index);
}

std::string toServerSentEvent(const json& data) { return "data: " + data.dump() + "\n\n"; }

http_response jsonResponse(int status, const json& body)
{
    return { { status, { { "Content-Type", "application/json" } } }, body.dump() };
}

} // namespace

engine_standin::engine_standin(fiber_runtime& runtime, const engine_standin_settings& settings)
    : m_runtime(runtime)
    , m_settings(settings)
{
}

result<void> engine_standin::start(kernel&)
{
    auto opened = listenHttp(m_runtime, m_settings.address, {},
        [this](const http_request& request, http_responder& responder) { handle(request, responder); });
    if (!opened)
        return tl::unexpected(opened.error());
    m_listener = *opened;
    return {};
}

void engine_standin::stop() { m_listener->close(); }

void engine_standin::handle(const http_request& request, http_responder& responder)
{
    const std::string path(pathOf(request.target));
    if (path == "/v1/chat/completions")
        complete(request, responder);
    else if (path.starts_with("/streams/"))
        controlStream(path, responder);
    else if (path == "/standin/runs")
        (void)responder.send(jsonResponse(200, m_runs));
    else
        echo(request, responder);
}

void engine_standin::waitForStep(const std::string& stream)
{
    do
        m_runtime.sleepFor(m_settings.step);
    while (m_paused.contains(stream));
}

void engine_standin::complete(const http_request& request, http_responder& responder)
{
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("messages")) {
        (void)responder.send(errorResponse(400, { error_kind::BadInput, "no messages", "Send a list of messages" }));
        return;
    }
    const auto prompt = body.at("messages").dump();
    ++m_runs[prompt];
    const auto requestedTokens = body.contains("max_tokens") && body.at("max_tokens").is_number_integer()
        ? body.at("max_tokens").get<int>()
        : defaultTokens;
    const int tokens = std::clamp(requestedTokens, 1, maxTokens);
    const auto stream = findHeader(request.headers, "X-Request-Id").value_or("");
    const bool isStream = body.contains("stream") && body.at("stream") == true;
    if (isStream)
        (void)responder.begin({ 200, { { "Content-Type", "text/event-stream" } } });
    std::string answerText;
    for (int i = 0; i < tokens; ++i) {
        waitForStep(stream);
        const auto token = tokenAt(prompt, i);
        answerText += token;
        const json chunk { { "choices", { { { "index", 0 }, { "delta", { { "content", token } } } } } } };
        if (isStream && !responder.write(toServerSentEvent(chunk)))
            return;
    }
    if (isStream) {
        (void)responder.write("data: [DONE]\n\n");
        (void)responder.end();
        return;
    }
    const json message { { "role", "assistant" }, { "content", answerText } };
    (void)responder.send(jsonResponse(
        200, { { "object", "chat.completion" }, { "choices", { { { "index", 0 }, { "message", message } } } } }));
}

void engine_standin::controlStream(const std::string& path, http_responder& responder)
{
    constexpr std::string_view prefix = "/streams/";
    const auto slash = path.rfind('/');
    const auto stream = path.substr(prefix.size(), slash - prefix.size());
    if (path.substr(slash) == "/pause")
        m_paused.insert(stream);
    else
        m_paused.erase(stream);
    (void)responder.send({ { 200, {} }, {} });
}

void engine_standin::echo(const http_request& request, http_responder& responder)
{
    ++m_runs[request.target + " " + request.body];
    m_runtime.sleepFor(m_settings.step);
    (void)responder.send(jsonResponse(200,
        { { "method", request.method }, { "target", request.target }, { "body_hash", stableHash(request.body) } }));
}

} // namespace coltsfootbend
