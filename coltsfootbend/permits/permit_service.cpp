#include "coltsfootbend/permits/permit_service.h"

#include <algorithm>
#include <utility>

namespace coltsfootbend {

namespace {

// Keeps a report of limits within one message.
constexpr std::size_t maxReportedLimits = 8;
// How long the fiber sleeps while no gateway waits for a permit. A new request wakes it earlier.
constexpr std::chrono::hours idleWait { 1 };
// Longer than any retention of statements, and short enough that the subtraction below cannot overflow.
constexpr std::uint64_t maxAgeMs = 86'400'000;

} // namespace

wire::server_limit toWire(const permit_subject& subject, const limit_statement& statement, time_point now)
{
    return { .server = subject.text(),
        .serverIncarnation = statement.serverIncarnation,
        .perSecond = statement.perSecond,
        .isNamed = statement.isNamed,
        .ageMs = static_cast<std::uint64_t>(remaining(statement.at, now).count()) };
}

limit_statement fromWire(const wire::server_limit& limit, time_point now)
{
    return { .serverIncarnation = limit.serverIncarnation,
        .perSecond = std::max(0.0, limit.perSecond),
        .isNamed = limit.isNamed,
        .at = now - std::chrono::milliseconds(std::min(limit.ageMs, maxAgeMs)) };
}

permit_service::permit_service(fiber_runtime& runtime, send_function send, const permit_issuer::options& options)
    : m_send(std::move(send))
    , m_issuer(options)
    , m_hasRequest(runtime)
{
    runtime.spawnLoop("permits", [this] { issueLoop(); });
}

void permit_service::receiveRequest(const endpoint& gateway, const wire::permit_request& request)
{
    const auto now = clock_type::now();
    const permit_subject subject(request.limit.server);
    const permit_requester requester(toString(gateway));
    m_issuer.receiveStatement(subject, fromWire(request.limit, now), now);
    if (!request.requestsPermit)
        return;
    m_issuer.requestPermit(subject, requester, request.serial, now);
    m_send(gateway, replyTo(subject, requester, request.serial, now));
    m_hasRequest.notify();
}

wire::permit_reply permit_service::replyTo(
    const permit_subject& subject, const permit_requester& requester, std::uint64_t serial, time_point now) const
{
    const auto estimate = m_issuer.estimateWait(subject, requester, now);
    return { .limit = toWire(subject, m_issuer.statement(subject).value_or(limit_statement {}), now),
        .serial = serial,
        .isGranted = false,
        .expectedInMs = static_cast<std::uint64_t>(remaining(now, estimate.expectedAt).count()),
        .waitingGateways = estimate.waitingGateways };
}

std::vector<wire::server_limit> permit_service::limits(time_point now) const
{
    std::vector<wire::server_limit> reported;
    for (const auto& [subject, statement] : m_issuer.statements(now)) {
        reported.push_back(toWire(subject, statement, now));
        if (const auto issuingFor = m_issuer.issuingFor(subject, now))
            reported.back().issuingForMs = 1 + static_cast<std::uint64_t>(toMilliseconds(*issuingFor));
    }
    // The newest statements come first, so that removed servers are the ones left out of the message.
    std::sort(reported.begin(), reported.end(), [](const auto& a, const auto& b) { return a.ageMs < b.ageMs; });
    reported.resize(std::min(reported.size(), maxReportedLimits));
    return reported;
}

void permit_service::issueLoop()
{
    while (!m_stopped) {
        const auto now = clock_type::now();
        for (const auto& permit : m_issuer.issue(now)) {
            auto reply = replyTo(permit.subject, permit.requester, permit.serial, now);
            reply.isGranted = true;
            if (const auto gateway = parseEndpoint(permit.requester.text()))
                m_send(*gateway, reply);
        }
        (void)m_hasRequest.waitUntil(m_issuer.nextAt().value_or(now + idleWait));
    }
}

void permit_service::stop()
{
    m_stopped = true;
    m_hasRequest.notify();
}

} // namespace coltsfootbend
