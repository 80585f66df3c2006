#include "coltsfootbend/permits/permit_issuer.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

time_point lastGrantOf(const std::map<permit_requester, time_point>& lastGrantedAt, const permit_requester& requester)
{
    const auto found = lastGrantedAt.find(requester);
    return found == lastGrantedAt.end() ? time_point {} : found->second;
}

} // namespace

duration permit_issuer::interval(const limit_statement& statement) const
{
    return fromMilliseconds(1000 / std::max(statement.perSecond, m_options.minPerSecond));
}

bool permit_issuer::receiveStatement(const permit_subject& subject, const limit_statement& statement, time_point now)
{
    const auto [found, isNewServer] = m_subjects.try_emplace(subject);
    auto& state = found->second;
    if (!isNewServer && !state.statement.isSupersededBy(statement))
        return false;
    const bool wasNamed
        = !isNewServer && state.statement.isNamed && state.statement.serverIncarnation == statement.serverIncarnation;
    const auto serverIncarnation = std::max(state.statement.serverIncarnation, statement.serverIncarnation);
    state.statement = statement;
    state.statement.serverIncarnation = serverIncarnation;
    state.lastReferencedAt = now;
    if (!statement.isNamed)
        state.requests.clear();
    else if (!wasNamed) // Another process may have issued a permit just before, so a full interval must pass first.
        state.lastPermitAt = now;
    return true;
}

std::optional<limit_statement> permit_issuer::statement(const permit_subject& subject) const
{
    const auto found = m_subjects.find(subject);
    return found == m_subjects.end() ? std::nullopt : std::optional(found->second.statement);
}

std::map<permit_subject, limit_statement> permit_issuer::statements(time_point now) const
{
    std::map<permit_subject, limit_statement> reported;
    for (const auto& [subject, state] : m_subjects) {
        if (state.statement.isNamed || now < state.statement.at + m_options.endReportedFor)
            reported.emplace(subject, state.statement);
    }
    return reported;
}

void permit_issuer::requestPermit(
    const permit_subject& subject, const permit_requester& requester, std::uint64_t serial, time_point now)
{
    const auto found = m_subjects.find(subject);
    if (found == m_subjects.end() || !found->second.statement.isNamed)
        return;
    auto& state = found->second;
    state.lastReferencedAt = now;
    if (now >= state.issuingUntil)
        state.issuingSince = now;
    state.issuingUntil = now + std::max(m_options.minIssuingTime, 2 * interval(state.statement));
    if (m_options.delaySeed && state.requests.empty() && dueAt(state) <= now) {
        const auto delayMs
            = std::uniform_real_distribution<double>()(m_random) * toMilliseconds(interval(state.statement));
        state.lastPermitAt = now + fromMilliseconds(delayMs) - interval(state.statement);
    }
    state.requests[requester] = { .serial = serial, .until = now + m_options.requestTimeout };
}

bool permit_issuer::isServedBefore(const subject_state& state, const permit_requester& a, const permit_requester& b)
{
    return std::pair(lastGrantOf(state.lastGrantedAt, a), a) < std::pair(lastGrantOf(state.lastGrantedAt, b), b);
}

std::vector<permit_issuer::permit> permit_issuer::issue(time_point now)
{
    std::vector<permit> issued;
    for (auto& [subject, state] : m_subjects) {
        std::erase_if(state.requests, [now](const auto& entry) { return now >= entry.second.until; });
        while (!state.requests.empty() && dueAt(state) <= now) {
            const auto first = std::min_element(state.requests.begin(), state.requests.end(),
                [&state = state](const auto& a, const auto& b) { return isServedBefore(state, a.first, b.first); });
            issued.push_back({ .subject = subject, .requester = first->first, .serial = first->second.serial });
            state.lastGrantedAt[first->first] = now;
            state.requests.erase(first);
            state.lastPermitAt = std::max<time_point>(dueAt(state), now - m_options.catchUpLimit);
        }
    }
    return issued;
}

std::optional<time_point> permit_issuer::nextAt() const
{
    std::optional<time_point> next;
    for (const auto& [subject, state] : m_subjects) {
        if (!state.requests.empty())
            next = next ? std::min(*next, dueAt(state)) : dueAt(state);
    }
    return next;
}

std::optional<duration> permit_issuer::issuingFor(const permit_subject& subject, time_point now) const
{
    const auto found = m_subjects.find(subject);
    if (found == m_subjects.end() || now >= found->second.issuingUntil)
        return std::nullopt;
    return now - found->second.issuingSince;
}

permit_issuer::wait_estimate permit_issuer::estimateWait(
    const permit_subject& subject, const permit_requester& requester, time_point now) const
{
    const auto found = m_subjects.find(subject);
    if (found == m_subjects.end())
        return { .expectedAt = now, .waitingGateways = 0 };
    const auto& state = found->second;
    const auto ahead = std::count_if(state.requests.begin(), state.requests.end(),
        [&](const auto& entry) { return entry.first != requester && isServedBefore(state, entry.first, requester); });
    return { .expectedAt = std::max(dueAt(state), now) + ahead * interval(state.statement),
        .waitingGateways = static_cast<std::uint32_t>(state.requests.size()) };
}

void permit_issuer::expire(time_point now)
{
    std::erase_if(m_subjects,
        [&](const auto& entry) { return now >= entry.second.lastReferencedAt + m_options.statementRetention; });
    for (auto& [subject, state] : m_subjects)
        std::erase_if(
            state.lastGrantedAt, [&](const auto& entry) { return now >= entry.second + m_options.statementRetention; });
}

} // namespace coltsfootbend
