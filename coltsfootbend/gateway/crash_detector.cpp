#include "coltsfootbend/gateway/crash_detector.h"

#include "coltsfootbend/base/log_event.h"

#include <string>
#include <utility>

namespace coltsfootbend {

namespace {

// The connections of a crashed server break one after the other.
constexpr std::chrono::milliseconds gatherFor { 30 };

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

crash_detector::crash_detector(fiber_runtime& runtime, crash_witness& witness,
    std::function<bool(const backend_server&)> isExpected, std::function<void(const backend_crash&)> report)
    : m_runtime(runtime)
    , m_state(new shared_state {
          .witness = witness, .inquiries = {}, .isExpected = std::move(isExpected), .report = std::move(report) })
{
}

void crash_detector::lost(const backend_server& server, const request_fingerprint& request)
{
    // As it was known when it broke off: what crashes loses its registration as well, a little later.
    if (m_state->isExpected(server))
        return;
    auto& found = m_state->inquiries[server.instance()];
    found.requests.insert(request);
    if (found.requests.size() > 1)
        return; // It is being looked into.
    found.server = server;
    m_runtime.spawn(
        [&runtime = m_runtime, state = m_state, instance = server.instance()] { inquire(runtime, state, instance); });
}

void crash_detector::inquire(
    fiber_runtime& runtime, const std::shared_ptr<shared_state>& state, const backend_instance& instance)
{
    runtime.sleepFor(gatherFor);
    const bool hasEnded = state->witness.hasEnded(state->inquiries.at(instance).server);
    const auto found = state->inquiries.extract(instance).mapped();
    if (!hasEnded)
        return;
    const backend_crash crash { .server = found.server, .requests = found.requests };
    logEvent(log_event::BackendCrashed, describe(crash));
    state->report(crash);
}

} // namespace coltsfootbend
