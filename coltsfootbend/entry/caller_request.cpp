#include "coltsfootbend/entry/caller_request.h"

#include "coltsfootbend/base/hash.h"
#include "coltsfootbend/base/json_input.h"
#include "coltsfootbend/request/ticket.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfootbend {

namespace {

using json = nlohmann::json;

constexpr std::string_view completionsPath = "/v1/chat/completions";
constexpr std::size_t bytesPerToken = 4;
constexpr std::size_t prefixBlockBytes = 1024;
constexpr std::size_t maxPrefixBlocks = 32;
constexpr std::uint64_t maxTimeoutMs = 600'000;
constexpr std::size_t maxKeyLength = 255;
constexpr std::int64_t defaultMaxTokens = 256;
// A prefill processes this many tokens in the time of one decoding step.
constexpr int prefillTokensPerStep = 64;

std::optional<std::string> bearerKey(const http_request& request)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto value = findHeader(request.headers, "Authorization");
    if (!value || !value->starts_with(scheme))
        return std::nullopt;
    return value->substr(scheme.size());
}

tl::unexpected<error> denied()
{
    return fail(error_kind::Denied, "the key is missing or not known",
        "Send 'Authorization: Bearer KEY' once, with a key that is in the configuration");
}

bool isRepeatableMethod(const std::string& method)
{
    return method == "GET" || method == "HEAD" || method == "PUT" || method == "DELETE" || method == "OPTIONS";
}

// Returns a header that may occur at most once. A repeated header is refused, because other HTTP implementations on the
// path may use a different one of its values.
result<std::optional<std::string>> singleHeader(const http_request& request, const char* name)
{
    if (headerCount(request.headers, name) > 1)
        return fail(error_kind::BadInput, std::string("the header ") + name + " is given twice", "Send it once");
    return findHeader(request.headers, name);
}

result<std::optional<std::uint64_t>> numberHeader(
    const http_request& request, const char* name, std::uint64_t least, std::uint64_t most)
{
    const auto text = singleHeader(request, name);
    if (!text)
        return tl::unexpected(text.error());
    if (!*text)
        return std::optional<std::uint64_t>();
    std::uint64_t number = 0;
    const auto [end, code] = std::from_chars((*text)->data(), (*text)->data() + (*text)->size(), number);
    if (code != std::errc {} || end != (*text)->data() + (*text)->size() || number < least || number > most) {
        return fail(error_kind::BadInput, std::string("the header ") + name + " is no number in its range",
            "Send a whole number from " + std::to_string(least) + " to " + std::to_string(most));
    }
    return std::optional<std::uint64_t>(number);
}

// Returns the hashes of increasingly long prefixes, one for each whole block. A prompt shorter than one block has a
// single hash of the whole prompt.
std::vector<std::uint64_t> prefixesOf(const std::string& prompt)
{
    std::vector<std::uint64_t> prefixes;
    std::uint64_t chain = 0;
    const auto blocks = std::min(maxPrefixBlocks, prompt.size() / prefixBlockBytes);
    for (std::size_t i = 0; i < blocks; ++i) {
        chain = stableHash(std::string_view(prompt).substr(i * prefixBlockBytes, prefixBlockBytes), chain);
        prefixes.push_back(chain);
    }
    if (prefixes.empty())
        prefixes.push_back(stableHash(prompt));
    return prefixes;
}

result<void> readCompletion(const configuration& configuration, const http_request& request, caller_request& parsed)
{
    const auto input = parseJsonInput(request.body);
    if (!input)
        return tl::unexpected(input.error());
    const auto& body = *input;
    if (!body.is_object() || !body.contains("messages") || !body["messages"].is_array())
        return fail(error_kind::BadInput, "the body is no chat completion request",
            "Send a JSON object with 'model' and a list 'messages'");
    const auto model = body.contains("model") && body["model"].is_string() ? body["model"].get<std::string>() : "";
    const auto found = std::find_if(configuration.deployments.begin(), configuration.deployments.end(),
        [&](const auto& entry) { return entry.second.kind == deployment_kind::Engine && entry.second.model == model; });
    if (found == configuration.deployments.end())
        return fail(error_kind::NotFound, "no deployment serves the model '" + model + "'",
            "Name a model that is in the configuration");
    parsed.deployment = found->first;
    const auto tokens = body.contains("max_tokens") && body["max_tokens"].is_number_integer()
        ? std::clamp<std::int64_t>(body["max_tokens"].get<std::int64_t>(), 1, 1'000'000)
        : defaultMaxTokens;
    const auto step = found->second.expectedService;
    const auto prompt = body["messages"].dump();
    const auto promptTokens = static_cast<std::int64_t>(prompt.size() / bytesPerToken);
    parsed.routing.prefixes = prefixesOf(prompt);
    parsed.routing.prefillTime = step * promptTokens / prefillTokensPerStep;
    parsed.routing.serviceTime = step * tokens;
    return {};
}

result<void> readPlain(const configuration& configuration, const http_request& request, caller_request& parsed)
{
    const auto path = pathOf(request.target);
    const deployment_config* best = nullptr;
    for (const auto& [id, deployment] : configuration.deployments) {
        const bool matches = deployment.kind == deployment_kind::Plain && path.starts_with(deployment.pathPrefix);
        if (!matches || (best && best->pathPrefix.size() >= deployment.pathPrefix.size()))
            continue;
        best = &deployment;
        parsed.deployment = id;
    }
    if (!best)
        return fail(error_kind::NotFound, "no deployment answers this path",
            "Use /v1/chat/completions, or a path prefix that is in the configuration");
    parsed.routing.serviceTime = best->expectedService;
    return {};
}

result<void> readKey(const http_request& request, flow_request& flow)
{
    const auto key = singleHeader(request, "Idempotency-Key");
    if (!key)
        return tl::unexpected(key.error());
    if (*key) {
        if ((*key)->empty() || (*key)->size() > maxKeyLength)
            return fail(error_kind::BadInput, "the Idempotency-Key is empty or too long",
                "Send from 1 to 255 characters, a random UUID for example");
        flow.key = request_key(**key);
        if (const auto ticket = parseTicket(*flow.key))
            flow.ticketIncarnation = ticket->workerIncarnation;
    }
    const auto attempt = numberHeader(request, "Coltsfootbend-Attempt", 1, 1'000'000);
    if (!attempt)
        return tl::unexpected(attempt.error());
    if (*attempt && !flow.key)
        return fail(error_kind::BadInput, "Coltsfootbend-Attempt counts the attempts of a key, and there is none",
            "Send an Idempotency-Key too");
    flow.attemptNumber = static_cast<std::uint32_t>(attempt->value_or(0));
    return {};
}

} // namespace

result<customer_id> authenticate(const configuration& configuration, const http_request& request)
{
    const auto key = bearerKey(request);
    if (!key)
        return denied();
    const auto hash = sha256Hex(*key);
    for (const auto& [id, customer] : configuration.customers) {
        if (equalHashes(hash, customer.keySha256))
            return id;
    }
    return denied();
}

result<operator_identity> authenticateOperator(const configuration& configuration, const http_request& request)
{
    if (configuration.operators.empty())
        return operator_identity { "anyone", operator_role::Editor };
    const auto key = bearerKey(request);
    if (!key)
        return denied();
    const auto hash = sha256Hex(*key);
    for (const auto& [name, known] : configuration.operators) {
        if (equalHashes(hash, known.keySha256))
            return operator_identity { name, known.role };
    }
    return denied();
}

result<caller_request> parseCallerRequest(
    const configuration& configuration, const http_request& request, time_point now, duration defaultTimeout)
{
    const auto customer = authenticate(configuration, request);
    if (!customer)
        return tl::unexpected(customer.error());
    caller_request parsed;
    const auto& known = configuration.customers.at(*customer);
    parsed.priority = known.priority;
    parsed.weight = known.weight;
    parsed.routing.priority = known.priority;
    const auto contentType = singleHeader(request, "Content-Type");
    if (!contentType)
        return tl::unexpected(contentType.error());
    parsed.contentType = contentType->value_or("");
    const bool isCompletion = pathOf(request.target) == completionsPath;
    const auto read
        = isCompletion ? readCompletion(configuration, request, parsed) : readPlain(configuration, request, parsed);
    if (!read)
        return tl::unexpected(read.error());
    if (const auto key = readKey(request, parsed.flow); !key)
        return tl::unexpected(key.error());
    const auto timeout = numberHeader(request, "Coltsfootbend-Timeout-Ms", 1, maxTimeoutMs);
    if (!timeout)
        return tl::unexpected(timeout.error());
    parsed.flow.customer = *customer;
    parsed.flow.deadline
        = now + (*timeout ? duration(std::chrono::milliseconds(static_cast<std::int64_t>(**timeout))) : defaultTimeout);
    parsed.flow.idempotent
        = isRepeatableMethod(request.method) || configuration.deployments.at(parsed.deployment).idempotent;
    parsed.flow.bodyHash = stableHash(request.body, stableHash(request.method + " " + request.target))
        | 1; // 0 is reserved for a missing hash.
    return parsed;
}

} // namespace coltsfootbend
