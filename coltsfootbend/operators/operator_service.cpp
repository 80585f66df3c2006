#include "coltsfootbend/operators/operator_service.h"

#include "coltsfootbend/base/json_input.h"
#include "coltsfootbend/base/log_event.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfootbend {

namespace {

using json = nlohmann::json;

constexpr std::chrono::seconds operationTimeout { 5 };

int statusOf(const error& error)
{
    switch (error.kind) {
    case error_kind::BadInput:
        return 400;
    case error_kind::Denied:
        return 401;
    case error_kind::NotFound:
        return 404;
    case error_kind::Stale:
        return 409;
    case error_kind::Lost:
    case error_kind::TimedOut:
        return 504;
    default:
        return 503;
    }
}

http_response toErrorResponse(const error& error) { return errorResponse(statusOf(error), error); }

http_response jsonResponse(const json& body)
{
    return { { 200, { { "Content-Type", "application/json" } } }, body.dump(2) + "\n" };
}

json toJson(const wire::config_step& step)
{
    return { { "version", step.version.number() }, { "id", step.id.text() }, { "actor", step.actor },
        { "accepted_at_ms", step.acceptedAtMs }, { "patch", json::parse(step.mergePatch, nullptr, false) },
        { "undo", json::parse(step.undoPatch, nullptr, false) } };
}

double pendingMs(const wire::load& load)
{
    return load.pendingServiceUs.empty() ? 0 : static_cast<double>(load.pendingServiceUs.back()) / 1000;
}

} // namespace

operator_service::operator_service(fiber_runtime& runtime, const daemon_settings& settings, incarnation ownIncarnation,
    std::function<tls_context()> tls, std::function<void()> onDrain)
    : m_runtime(runtime)
    , m_settings(settings)
    , m_incarnation(ownIncarnation)
    , m_tls(std::move(tls))
    , m_onDrain(std::move(onDrain))
{
}

result<void> operator_service::start(kernel& kernel)
{
    m_entry = kernel.find<entry_service>("entry");
    m_configuration = kernel.find<config_service>("configuration");
    m_metrics = kernel.find<metrics_service>("metrics");
    m_peers = kernel.find<peer_service>("peers");
    if (!m_entry || !m_configuration || !m_metrics || !m_peers)
        return fail(error_kind::NotFound, "it needs 'entry' and its services", "Add a table [entry] to the settings");
    auto opened = listener::open(
        m_runtime, { .address = m_settings.entry->operators, .tls = m_tls }, [this](const byte_stream_ptr& stream) {
            serveHttp(
                m_runtime, stream, {},
                [this](
                    const http_request& request, http_responder& responder) { (void)responder.send(respond(request)); },
                [] { return false; });
        });
    if (!opened)
        return tl::unexpected(opened.error());
    m_listener = *opened;
    return {};
}

void operator_service::stop() { m_listener->close(); }

http_response operator_service::respond(const http_request& request)
{
    const auto path = pathOf(request.target);
    if (path == "/metrics" && request.method == "GET")
        return { { 200, { { "Content-Type", "text/plain; version=0.0.4" } } }, m_metrics->text() };
    const auto identity = authenticateOperator(*m_configuration->current(), request);
    if (!identity)
        return toErrorResponse(identity.error());
    const bool isRead = request.method == "GET";
    if (!isRead && identity->role != operator_role::Editor) {
        logEvent(log_event::OperatorRefused, "actor=" + identity->name + " method=" + request.method);
        return errorResponse(
            403, { error_kind::Denied, "a viewer may only look", "Use the key of an operator with the role editor" });
    }
    if (path == "/operator/v1/status" && isRead)
        return status();
    if (path == "/operator/v1/configuration" && isRead)
        return showConfiguration();
    if (path == "/operator/v1/configuration" && request.method == "PATCH")
        return patchConfiguration(request, *identity);
    if (path == "/operator/v1/history" && isRead)
        return history(request);
    if (path == "/operator/v1/drain" && request.method == "POST")
        return drain(request, *identity);
    return toErrorResponse({ error_kind::NotFound, "there is no such resource", "See docs/operators/API.md" });
}

http_response operator_service::status() const
{
    const auto now = clock_type::now();
    json workers = json::array();
    for (const auto& [id, worker] : m_entry->directory().workers()) {
        const bool isSuspected = now >= worker.suspectAt;
        const char* state = worker.last.leaving ? "leaving" : isSuspected ? "suspected" : "serving";
        json deployments = json::array();
        for (const auto& deployment : worker.last.deployments)
            deployments.push_back(deployment.text());
        workers.push_back({ { "vm", id.text() }, { "life", worker.last.workerIncarnation.number() }, { "state", state },
            { "data_centre", worker.last.dataCentre.text() }, { "address", worker.last.address },
            { "deployments", deployments }, { "slots", worker.last.current.slots },
            { "pending_ms", pendingMs(worker.last.current) } });
    }
    return jsonResponse({ { "vm", m_settings.vm.text() }, { "life", m_incarnation.number() },
        { "data_centre", m_settings.dataCentre.text() }, { "state", m_entry->isLeaving() ? "leaving" : "serving" },
        { "configuration_version", m_configuration->version().number() }, { "in_flight", m_entry->inFlight() },
        { "oldest_request_ms", toMilliseconds(m_entry->oldestRequestAge()) },
        { "platform_silent_ms", toMilliseconds(now - m_configuration->platformLastAnsweredAt()) },
        { "workers", workers } });
}

http_response operator_service::showConfiguration() const
{
    return jsonResponse({ { "version", m_configuration->version().number() },
        { "document", json::parse(m_configuration->state().document(), nullptr, false) } });
}

http_response operator_service::patchConfiguration(const http_request& request, const operator_identity& identity)
{
    const auto body = parseJsonInput(request.body).value_or(json());
    const bool isComplete = body.is_object() && body.contains("against") && body["against"].is_number_unsigned()
        && body.contains("id") && body["id"].is_string() && body.contains("patch") && body["patch"].is_object();
    if (!isComplete) {
        return toErrorResponse({ error_kind::BadInput, "the body is no patch",
            "Send {\"against\": VERSION, \"id\": \"UNIQUE TEXT\", \"patch\": {…}}" });
    }
    const auto wallClock = std::chrono::system_clock::now().time_since_epoch();
    const config_patch patch { .id = patch_id(body["id"].get<std::string>()),
        .against = config_version(body["against"].get<std::uint64_t>()),
        .actor = identity.name,
        .mergePatch = body["patch"].dump(),
        .acceptedAtMs
        = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(wallClock).count()) };
    const auto deadline = clock_type::now() + operationTimeout;
    const auto accepted = m_configuration->accept(patch, deadline);
    if (accepted)
        return jsonResponse({ { "version", accepted->number() } });
    if (accepted.error().kind != error_kind::Stale)
        return toErrorResponse(accepted.error());
    // The response lists the changes since the stale version, so that the operator can revise the patch against them.
    auto response = json::parse(toErrorResponse(accepted.error()).body);
    response["changes"] = json::array();
    if (const auto steps = m_configuration->history(config_version(patch.against.number() + 1), deadline)) {
        for (const auto& step : *steps)
            response["changes"].push_back(toJson(step));
    }
    return { { 409, { { "Content-Type", "application/json" } } }, response.dump(2) + "\n" };
}

http_response operator_service::history(const http_request& request)
{
    const auto text = queryValue(request.target, "from").value_or("1");
    std::uint64_t first = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), first);
    if (code != std::errc {} || end != text.data() + text.size())
        return toErrorResponse({ error_kind::BadInput, "'from' is no number", "Send ?from=VERSION" });
    const auto steps = m_configuration->history(config_version(first), clock_type::now() + operationTimeout);
    if (!steps)
        return toErrorResponse(steps.error());
    json listed = json::array();
    for (const auto& step : *steps)
        listed.push_back(toJson(step));
    return jsonResponse({ { "steps", listed } });
}

http_response operator_service::drain(const http_request& request, const operator_identity& identity)
{
    const auto body = parseJsonInput(request.body).value_or(json());
    if (!body.is_object() || !body.contains("vm") || !body["vm"].is_string())
        return toErrorResponse({ error_kind::BadInput, "the body names no VM", "Send {\"vm\": \"ID\"}" });
    const vm_id vm(body["vm"].get<std::string>());
    logEvent(log_event::OperatorDrain, "vm=" + vm.text() + " actor=" + identity.name);
    if (vm == m_settings.vm) {
        m_onDrain();
        return jsonResponse({ { "draining", vm.text() } });
    }
    const auto& entries = m_settings.entries;
    const auto entry
        = std::find_if(entries.begin(), entries.end(), [&](const peer_settings& known) { return known.id == vm; });
    const auto address = entry != entries.end() ? std::optional<endpoint>(entry->address) : m_entry->addressOf(vm);
    if (!address)
        return toErrorResponse(
            { error_kind::NotFound, "no VM is called '" + vm.text() + "'", "See coltsfootbendctl status" });
    const auto reply
        = m_peers->client().ask(*address, wire::drain { identity.name }, clock_type::now() + operationTimeout);
    if (!reply)
        return toErrorResponse(reply.error());
    return jsonResponse({ { "draining", vm.text() } });
}

} // namespace coltsfootbend
