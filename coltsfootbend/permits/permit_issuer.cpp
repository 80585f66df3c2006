#include "coltsfootbend/permits/permit_issuer.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

time_point servedLast(const std::map<permit_asker, time_point>& servedAt, const permit_asker& asker)
{
    const auto found = servedAt.find(asker);
    return found == servedAt.end() ? time_point {} : found->second;
}

} // namespace

duration permit_issuer::interval(const limit_statement& statement) const
{
    return fromMilliseconds(1000 / std::max(statement.perSecond, m_options.leastPerSecond));
}

bool permit_issuer::hear(const permit_subject& subject, const limit_statement& statement, time_point now)
{
    const auto [found, isNew] = m_subjects.try_emplace(subject);
    auto& state = found->second;
    if (!isNew && !state.statement.isOverruledBy(statement))
        return false;
    const bool wasNamed = !isNew && state.statement.isNamed && state.statement.life == statement.life;
    const auto life = std::max(state.statement.life, statement.life);
    state.statement = statement;
    state.statement.life = life;
    state.spokenOfAt = now;
    if (!statement.isNamed)
        state.wishes.clear();
    else if (!wasNamed) // What was issued elsewhere before is not known here.
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
    std::map<permit_subject, limit_statement> told;
    for (const auto& [subject, state] : m_subjects) {
        if (state.statement.isNamed || now < state.statement.at + m_options.endToldFor)
            told.emplace(subject, state.statement);
    }
    return told;
}

void permit_issuer::wish(const permit_subject& subject, const permit_asker& asker, std::uint64_t serial, time_point now)
{
    const auto found = m_subjects.find(subject);
    if (found == m_subjects.end() || !found->second.statement.isNamed)
        return;
    auto& state = found->second;
    state.spokenOfAt = now;
    if (m_options.drawSeed && state.wishes.empty() && dueAt(state) <= now) {
        const auto wait
            = std::uniform_real_distribution<double>()(m_random) * toMilliseconds(interval(state.statement));
        state.lastPermitAt = now + fromMilliseconds(wait) - interval(state.statement);
    }
    state.wishes[asker] = { .serial = serial, .until = now + m_options.wishLimit };
}

bool permit_issuer::goesBefore(const subject_state& state, const permit_asker& a, const permit_asker& b)
{
    return std::pair(servedLast(state.servedAt, a), a) < std::pair(servedLast(state.servedAt, b), b);
}

std::vector<permit_issuer::permit> permit_issuer::issue(time_point now)
{
    std::vector<permit> issued;
    for (auto& [subject, state] : m_subjects) {
        std::erase_if(state.wishes, [now](const auto& entry) { return now >= entry.second.until; });
        while (!state.wishes.empty() && dueAt(state) <= now) {
            const auto first = std::min_element(state.wishes.begin(), state.wishes.end(),
                [&state = state](const auto& a, const auto& b) { return goesBefore(state, a.first, b.first); });
            issued.push_back({ .subject = subject, .asker = first->first, .serial = first->second.serial });
            state.servedAt[first->first] = now;
            state.wishes.erase(first);
            state.lastPermitAt = std::max<time_point>(dueAt(state), now - m_options.catchUpLimit);
        }
    }
    return issued;
}

std::optional<time_point> permit_issuer::nextAt() const
{
    std::optional<time_point> next;
    for (const auto& [subject, state] : m_subjects) {
        if (!state.wishes.empty())
            next = next ? std::min(*next, dueAt(state)) : dueAt(state);
    }
    return next;
}

permit_issuer::outlook permit_issuer::outlookFor(
    const permit_subject& subject, const permit_asker& asker, time_point now) const
{
    const auto found = m_subjects.find(subject);
    if (found == m_subjects.end())
        return { .expectedAt = now, .askers = 0 };
    const auto& state = found->second;
    const auto ahead = std::count_if(state.wishes.begin(), state.wishes.end(),
        [&](const auto& entry) { return entry.first != asker && goesBefore(state, entry.first, asker); });
    return { .expectedAt = std::max(dueAt(state), now) + ahead * interval(state.statement),
        .askers = static_cast<std::uint32_t>(state.wishes.size()) };
}

void permit_issuer::expire(time_point now)
{
    std::erase_if(m_subjects, [&](const auto& entry) { return now >= entry.second.spokenOfAt + m_options.memory; });
    for (auto& [subject, state] : m_subjects)
        std::erase_if(state.servedAt, [&](const auto& entry) { return now >= entry.second + m_options.memory; });
}

} // namespace coltsfootbend
