#include "coltsfootbend/gateway/crash_detector.h"

#include "coltsfootbend/base/log_event.h"

#include <algorithm>
#include <string>
#include <utility>

namespace coltsfootbend {

namespace {

// Time to collect the requests that were at a server: the connections of a crashed server do not break all at once.
constexpr std::chrono::milliseconds gatherTime { 30 };
// Time within which a server that accepts connections again is registered, and the registration is known here.
constexpr std::chrono::milliseconds registrationTime { 1500 };
// Time within which a server that may have terminated is replaced by another incarnation at its address, and the
// registration of that one is known here.
constexpr std::chrono::seconds replacementTime { 8 };

std::string describe(const backend_crash& crash)
{
    std::string text
        = "backend=" + crash.server.id.text() + " address=" + toString(crash.server.address) + " requests=";
    std::size_t begun = 0;
    std::map<prompt_part_id, std::size_t> requestsByPart;
    std::string separator;
    for (const auto& [fingerprint, lost] : crash.requests) {
        text += separator + shortName(fingerprint);
        separator = ",";
        begun += lost.begunAt ? 1 : 0;
        for (const auto& part : std::set(lost.parts.begin(), lost.parts.end()))
            ++requestsByPart[part];
    }
    text += " begun=" + std::to_string(begun) + " parts=";
    separator.clear();
    for (const auto& [part, requests] : requestsByPart) {
        text += separator + part.text() + ":" + std::to_string(requests);
        separator = ",";
    }
    return text;
}

} // namespace

crash_detector::crash_detector(fiber_runtime& runtime, crash_verifier& verifier, callbacks owner)
    : m_runtime(runtime)
    , m_state(new shared_state { .verifier = verifier, .suspected = {}, .owner = std::move(owner) })
{
}

void crash_detector::onExchangeBroken(const backend_server& server, const lost_request& lost)
{
    // Checked now and not after the crash is confirmed: a crashed server loses its registration a little later, too.
    if (m_state->owner.isExpected(server))
        return;
    auto& suspect = m_state->suspected[server.instance()];
    const bool isFirst = suspect.requests.empty();
    suspect.requests.insert_or_assign(lost.request, lost);
    if (!isFirst)
        return; // A fiber is checking the server already.
    suspect.server = server;
    suspect.listedBefore = m_state->owner.listedAt(server.address);
    m_runtime.spawn(
        [&runtime = m_runtime, state = m_state, instance = server.instance()] { check(runtime, state, instance); });
}

bool crash_detector::hasStartedAgain(const shared_state& state, const suspected_crash& suspect)
{
    const auto listed = state.owner.listedAt(suspect.server.address);
    return std::any_of(listed.begin(), listed.end(), [&](const backend_instance& instance) {
        return instance != suspect.server.instance() && !suspect.listedBefore.contains(instance);
    });
}

void crash_detector::onServersChanged()
{
    const auto now = clock_type::now();
    const auto awaited = std::exchange(m_state->awaited, {});
    for (const auto& entry : awaited) {
        if (hasStartedAgain(*m_state, entry.suspect))
            report(*m_state, entry.suspect);
        else if (now < entry.until)
            m_state->awaited.push_back(entry);
    }
}

void crash_detector::report(const shared_state& state, const suspected_crash& suspect)
{
    const backend_crash crash { .server = suspect.server, .requests = suspect.requests };
    logEvent(log_event::BackendCrashed, describe(crash));
    state.owner.onCrash(crash);
}

void crash_detector::check(
    fiber_runtime& runtime, const std::shared_ptr<shared_state>& state, const backend_instance& instance)
{
    std::optional<bool> hasTerminated;
    (void)runLogged("crash check", [&] {
        runtime.sleepFor(gatherTime);
        hasTerminated = state->verifier.hasTerminated(state->suspected.at(instance).server);
    });
    const auto suspect = state->suspected.extract(instance).mapped();
    if (hasTerminated.value_or(false) || hasStartedAgain(*state, suspect)) {
        report(*state, suspect);
        return;
    }
    const auto now = clock_type::now();
    std::erase_if(state->awaited, [now](const auto& entry) { return now >= entry.until; });
    state->awaited.push_back(
        { suspect, now + (hasTerminated ? duration(registrationTime) : duration(replacementTime)) });
}

} // namespace coltsfootbend
