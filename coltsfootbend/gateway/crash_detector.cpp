#include "coltsfootbend/gateway/crash_detector.h"

#include "coltsfootbend/base/log_event.h"

#include <string>
#include <utility>

namespace coltsfootbend {

namespace {

// Time to collect the requests that were at a server: the connections of a crashed server do not break all at once.
constexpr std::chrono::milliseconds gatherTime { 30 };

std::string describe(const backend_crash& crash)
{
    std::string text
        = "backend=" + crash.server.id.text() + " address=" + toString(crash.server.address) + " requests=";
    bool isFirst = true;
    for (const auto& request : crash.requests) {
        text += (isFirst ? "" : ",") + shortName(request);
        isFirst = false;
    }
    return text;
}

} // namespace

crash_detector::crash_detector(fiber_runtime& runtime, crash_verifier& verifier,
    std::function<bool(const backend_server&)> isExpected, std::function<void(const backend_crash&)> onCrash)
    : m_runtime(runtime)
    , m_state(new shared_state {
          .verifier = verifier, .suspected = {}, .isExpected = std::move(isExpected), .onCrash = std::move(onCrash) })
{
}

void crash_detector::onExchangeBroken(const backend_server& server, const request_fingerprint& request)
{
    // Checked now and not after the crash is confirmed: a crashed server loses its registration a little later, too.
    if (m_state->isExpected(server))
        return;
    auto& suspect = m_state->suspected[server.instance()];
    suspect.requests.insert(request);
    if (suspect.requests.size() > 1)
        return; // A fiber is checking the server already.
    suspect.server = server;
    m_runtime.spawn(
        [&runtime = m_runtime, state = m_state, instance = server.instance()] { check(runtime, state, instance); });
}

void crash_detector::check(
    fiber_runtime& runtime, const std::shared_ptr<shared_state>& state, const backend_instance& instance)
{
    runtime.sleepFor(gatherTime);
    const bool hasTerminated = state->verifier.hasTerminated(state->suspected.at(instance).server);
    const auto suspect = state->suspected.extract(instance).mapped();
    if (!hasTerminated)
        return;
    const backend_crash crash { .server = suspect.server, .requests = suspect.requests };
    logEvent(log_event::BackendCrashed, describe(crash));
    state->onCrash(crash);
}

} // namespace coltsfootbend
