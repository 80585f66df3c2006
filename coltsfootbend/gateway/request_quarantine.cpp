#include "coltsfootbend/gateway/request_quarantine.h"

#include "coltsfootbend/base/log_event.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace coltsfootbend {

namespace {

// A request that was at this many crashes, or that holds a part that was, is sent to only one server per attempt: its
// next crash may already prove it responsible, and sending it to a second server may crash another group.
constexpr std::size_t crashesToStopResending = 1;
// A server crashes as it begins to write an answer on a part, so the parts of an answer that began longer before the
// crash are not suspected.
constexpr std::chrono::seconds maxTimeToCrash { 1 };

server_incarnation incarnationOf(const backend_server& server)
{
    const auto& id = server.id.text();
    return server_incarnation(
        server.incarnation.isNone() ? id : id + "@" + std::to_string(server.incarnation.number()));
}

} // namespace

request_quarantine::request_quarantine(fiber_runtime& runtime, crash_verifier& verifier,
    std::function<bool(const backend_server&)> isExpected,
    std::function<std::set<backend_instance>(const endpoint&)> listedAt,
    std::function<void(const std::vector<crash_record>&)> publish)
    : m_detector(runtime, verifier,
        { .isExpected = std::move(isExpected),
            .listedAt = std::move(listedAt),
            .onCrash = [this](const backend_crash& crash) { onCrash(crash); } })
    , m_publish(std::move(publish))
{
}

std::optional<time_point> request_quarantine::refusedUntil(
    const std::set<crash_suspect>& suspects, time_point now) const
{
    return m_history.refusedUntil(suspects, now);
}

bool request_quarantine::mayTryAnotherServer(const std::set<crash_suspect>& suspects) const
{
    return std::all_of(suspects.begin(), suspects.end(),
        [this](const auto& suspect) { return m_history.crashes(suspect) < crashesToStopResending; });
}

void request_quarantine::onExchangeBroken(const backend_server& server, const lost_request& lost)
{
    m_lastLossAt = lost.brokenAt;
    m_detector.onExchangeBroken(server, lost);
}

void request_quarantine::onCrash(const backend_crash& crash)
{
    const auto now = clock_type::now();
    std::vector<crash_record> records;
    const auto server = incarnationOf(crash.server);
    std::set<crash_suspect> suspects;
    for (const auto& [request, lost] : crash.requests) {
        suspects.insert(suspectOf(request));
        for (auto& part : suspectedParts(lost))
            suspects.insert(std::move(part));
    }
    records.reserve(suspects.size());
    for (const auto& suspect : suspects)
        records.push_back({ .suspect = suspect, .server = server, .at = now });
    const auto added = m_history.add(records, now);
    logChangedVerdicts();
    m_publish(added);
}

std::vector<crash_suspect> request_quarantine::suspectedParts(const lost_request& lost) const
{
    if (lost.begunAt && *lost.begunAt + maxTimeToCrash < lost.brokenAt)
        return {};
    std::vector<crash_suspect> suspected;
    for (const auto& part : lost.parts) {
        auto suspect = suspectOf(part);
        if (!hasCompleted(suspect))
            suspected.push_back(std::move(suspect));
    }
    return suspected;
}

void request_quarantine::onPartsCompleted(const std::vector<prompt_part_id>& parts)
{
    for (const auto& part : parts)
        m_completed.add(suspectOf(part));
}

void request_quarantine::onRequestCompleted(const std::set<crash_suspect>& suspects)
{
    std::vector<crash_record> cleared;
    for (const auto& suspect : suspects) {
        if (isPromptPart(suspect))
            m_completed.add(suspect);
        auto some = m_history.clear(suspect);
        std::move(some.begin(), some.end(), std::back_inserter(cleared));
    }
    if (cleared.empty())
        return;
    logChangedVerdicts();
    m_publish(cleared);
}

std::vector<crash_record> request_quarantine::clearCompleted(const std::vector<crash_record>& received)
{
    std::vector<crash_record> cleared;
    for (const auto& record : received) {
        if (!isPromptPart(record.suspect) || !m_completed.contains(record.suspect))
            continue;
        auto some = m_history.clear(record.suspect);
        std::move(some.begin(), some.end(), std::back_inserter(cleared));
    }
    return cleared;
}

request_quarantine::pending_request::pending_request(
    request_quarantine& quarantine, std::function<void(time_point now)> checkVerdicts)
    : m_quarantine(quarantine)
    , m_checkVerdicts(std::move(checkVerdicts))
{
    m_quarantine.m_pending.insert(this);
}

request_quarantine::pending_request::~pending_request() { m_quarantine.m_pending.erase(this); }

void request_quarantine::checkPending(time_point now)
{
    if (!m_history.hasVerdicts())
        return;
    for (const auto* pending : m_pending)
        pending->m_checkVerdicts(now);
}

void request_quarantine::logChangedVerdicts()
{
    std::map<crash_suspect, std::string> verdicts;
    for (const auto& request : m_history.suspended(clock_type::now()))
        verdicts[request] = "suspended";
    for (const auto& request : m_history.quarantined())
        verdicts[request] = "yes";
    const auto log = [this](const crash_suspect& request, const std::string& state) {
        logEvent(log_event::RequestQuarantine,
            "request=" + shortName(request) + " quarantined=" + state
                + " crashes=" + std::to_string(m_history.crashes(request)));
    };
    for (const auto& [request, verdict] : verdicts) {
        const auto logged = m_loggedVerdicts.find(request);
        if (logged == m_loggedVerdicts.end() || logged->second != verdict)
            log(request, verdict);
    }
    for (const auto& [request, verdict] : m_loggedVerdicts) {
        if (!verdicts.contains(request))
            log(request, "no");
    }
    m_loggedVerdicts = std::move(verdicts);
}

} // namespace coltsfootbend
