#include "coltsfootbend/permits/permit_desk.h"

#include <algorithm>
#include <utility>

namespace coltsfootbend {

namespace {

constexpr std::size_t mostLimitsTold = 8;
// Nobody waits: a wish wakes the fiber.
constexpr std::chrono::hours idleTime { 1 };
// Beyond any time for which statements are kept, and short of what a time can hold.
constexpr std::uint64_t longestAgeMs = 86'400'000;

} // namespace

wire::server_limit toWire(const permit_subject& subject, const limit_statement& statement, time_point now)
{
    return { .server = subject.text(),
        .life = statement.life,
        .perSecond = statement.perSecond,
        .isNamed = statement.isNamed,
        .ageMs = static_cast<std::uint64_t>(remaining(statement.at, now).count()) };
}

limit_statement fromWire(const wire::server_limit& limit, time_point now)
{
    return { .life = limit.life,
        .perSecond = std::max(0.0, limit.perSecond),
        .isNamed = limit.isNamed,
        .at = now - std::chrono::milliseconds(std::min(limit.ageMs, longestAgeMs)) };
}

permit_desk::permit_desk(fiber_runtime& runtime, send_function send, const permit_issuer::options& options)
    : m_send(std::move(send))
    , m_issuer(options)
    , m_hasWish(runtime)
{
    runtime.spawn([this] { issueLoop(); });
}

void permit_desk::hear(const endpoint& gateway, const wire::permit_request& request)
{
    const auto now = clock_type::now();
    const permit_subject subject(request.limit.server);
    const permit_asker asker(toString(gateway));
    m_issuer.hear(subject, fromWire(request.limit, now), now);
    if (!request.wantsPermit)
        return;
    m_issuer.wish(subject, asker, request.serial, now);
    m_send(gateway, replyTo(subject, asker, request.serial, now));
    m_hasWish.notify();
}

wire::permit_reply permit_desk::replyTo(
    const permit_subject& subject, const permit_asker& asker, std::uint64_t serial, time_point now) const
{
    const auto outlook = m_issuer.outlookFor(subject, asker, now);
    return { .limit = toWire(subject, m_issuer.statement(subject).value_or(limit_statement {}), now),
        .serial = serial,
        .isGranted = false,
        .expectedInMs = static_cast<std::uint64_t>(remaining(now, outlook.expectedAt).count()),
        .askers = outlook.askers };
}

std::vector<wire::server_limit> permit_desk::limits(time_point now) const
{
    std::vector<wire::server_limit> told;
    for (const auto& [subject, statement] : m_issuer.statements(now))
        told.push_back(toWire(subject, statement, now));
    // Servers that are gone are not heard of any more.
    std::sort(told.begin(), told.end(), [](const auto& a, const auto& b) { return a.ageMs < b.ageMs; });
    told.resize(std::min(told.size(), mostLimitsTold));
    return told;
}

void permit_desk::issueLoop()
{
    while (!m_stopped) {
        const auto now = clock_type::now();
        for (const auto& permit : m_issuer.issue(now)) {
            auto reply = replyTo(permit.subject, permit.asker, permit.serial, now);
            reply.isGranted = true;
            if (const auto gateway = parseEndpoint(permit.asker.text()))
                m_send(*gateway, reply);
        }
        (void)m_hasWish.waitUntil(m_issuer.nextAt().value_or(now + idleTime));
    }
}

void permit_desk::stop()
{
    m_stopped = true;
    m_hasWish.notify();
}

} // namespace coltsfootbend
