#include "coltsfootbend/quarantine/crash_history.h"

#include "coltsfootbend/base/hash.h"

#include <algorithm>
#include <iterator>

namespace coltsfootbend {

std::vector<crash_record> crash_history::add(const std::vector<crash_record>& records, time_point now)
{
    std::vector<crash_record> updates;
    std::copy_if(records.begin(), records.end(), std::back_inserter(updates),
        [&](const auto& record) { return addOne(record, now); });
    if (!updates.empty())
        updateVerdicts();
    return updates;
}

bool crash_history::addOne(const crash_record& record, time_point now)
{
    const auto retention = isPromptPart(record.suspect) ? m_options.probationRetention : m_options.quarantineRetention;
    if (record.at + retention <= now)
        return false;
    const auto known = m_suspects.find(record.suspect);
    const bool isNew = known == m_suspects.end() || !known->second.crashes.contains(record.server);
    if (!isNew && (!record.isCleared || known->second.crashes.at(record.server).isCleared))
        return false;
    if (isNew && isFull())
        evictLeastSuspected();
    auto& crash = m_suspects[record.suspect].crashes[record.server];
    if (isNew) {
        crash = { .at = std::min(record.at, now), .receivedAt = now };
        ++m_records;
    }
    crash.isCleared = crash.isCleared || record.isCleared;
    return true;
}

// Evicts the suspect with the fewest unexplained crashes, and of these the one that expires first, since the evidence
// against it is weakest.
void crash_history::evictLeastSuspected()
{
    const auto least = std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto& one, const auto& other) {
        return std::pair(one.second.unexplained, one.second.retainedUntil)
            < std::pair(other.second.unexplained, other.second.retainedUntil);
    });
    m_records -= least->second.crashes.size();
    m_suspects.erase(least);
}

std::vector<crash_record> crash_history::clear(const crash_suspect& suspect)
{
    const auto known = m_suspects.find(suspect);
    if (known == m_suspects.end())
        return {};
    bool isChanged = false;
    for (auto& [server, crash] : known->second.crashes) {
        isChanged = isChanged || !crash.isCleared;
        crash.isCleared = true;
    }
    if (!isChanged)
        return {};
    updateVerdicts();
    return recordsOf(suspect);
}

void crash_history::expire(time_point now)
{
    const auto before = m_suspects.size();
    std::erase_if(m_suspects, [&](const auto& entry) {
        if (now < entry.second.retainedUntil)
            return false;
        m_records -= entry.second.crashes.size();
        return true;
    });
    if (m_suspects.size() != before)
        updateVerdicts();
}

void crash_history::updateVerdicts()
{
    auto attributed = attributeCrashes(unexplainedCrashes(), m_options.attribution);
    for (auto& [id, suspect] : m_suspects) {
        const auto unexplained = attributed.unexplained.find(id);
        suspect.unexplained = unexplained == attributed.unexplained.end() ? 0 : unexplained->second;
    }
    m_verdicts.clear();
    for (const auto& verdict : attributed.verdicts)
        m_verdicts.emplace(*verdict.suspects.begin(), timed(verdict));
    updateRetention();
    updateDigest();
}

bool crash_history::isCleared(const crash_suspect& id, const suspect& suspect)
{
    return isPromptPart(id) && std::any_of(suspect.crashes.begin(), suspect.crashes.end(), [](const auto& entry) {
        return entry.second.isCleared;
    });
}

suspected_crashes crash_history::unexplainedCrashes() const
{
    suspected_crashes open;
    for (const auto& [id, suspect] : m_suspects) {
        if (isCleared(id, suspect))
            continue;
        for (const auto& [server, crash] : suspect.crashes) {
            if (!crash.isCleared)
                open[id].insert(server);
        }
    }
    return open;
}

// The verdict takes effect when other processes have had time to report who else was at the crash that completed it.
// All suspects of a verdict were at the same crashes, and the latest report of each crash counts.
crash_history::timed_verdict crash_history::timed(const crash_verdict& verdict) const
{
    time_point last {};
    std::vector<time_point> receivedAt;
    for (const auto& server : verdict.crashes) {
        time_point received {};
        for (const auto& id : verdict.suspects) {
            const auto& crash = m_suspects.at(id).crashes.at(server);
            last = std::max(last, crash.at);
            received = std::max(received, crash.receivedAt);
        }
        receivedAt.push_back(received);
    }
    std::sort(receivedAt.begin(), receivedAt.end());
    const auto& limits = m_options.attribution;
    const auto needed = verdict.isQuarantine ? limits.crashesToQuarantine : limits.crashesToSuspend;
    return { .verdict = verdict,
        .from = receivedAt[needed - 1] + m_options.settlingTime,
        .until = last + (verdict.isQuarantine ? m_options.quarantineRetention : m_options.suspendedFor) };
}

void crash_history::updateRetention()
{
    const auto quarantinedSuspects = quarantined();
    for (auto& [id, suspect] : m_suspects) {
        time_point last {};
        for (const auto& [server, crash] : suspect.crashes)
            last = std::max(last, crash.at);
        const auto quarantineRetention
            = isPromptPart(id) ? m_options.probationRetention : m_options.quarantineRetention;
        suspect.retainedUntil
            = last + (quarantinedSuspects.contains(id) ? quarantineRetention : m_options.suspectRetention);
    }
}

void crash_history::updateDigest()
{
    m_digest = 0;
    for (const auto& record : records())
        m_digest ^= stableHash(
            record.suspect.text() + "/" + record.server.text(), static_cast<std::uint64_t>(record.isCleared));
}

std::size_t crash_history::crashes(const crash_suspect& suspect) const
{
    const auto known = m_suspects.find(suspect);
    return known == m_suspects.end() ? 0 : known->second.unexplained;
}

bool crash_history::isClearedPart(const crash_suspect& suspect) const
{
    const auto known = m_suspects.find(suspect);
    return known != m_suspects.end() && isCleared(suspect, known->second);
}

bool crash_history::isQuarantined(const crash_suspect& suspect, time_point now) const
{
    return std::any_of(m_verdicts.begin(), m_verdicts.end(), [&](const auto& entry) {
        const auto& timed = entry.second;
        return timed.verdict.isQuarantine && timed.verdict.suspects.contains(suspect) && now >= timed.from
            && now < timed.until;
    });
}

std::optional<time_point> crash_history::refusedUntil(const std::set<crash_suspect>& held, time_point now) const
{
    std::optional<time_point> refused;
    for (const auto& suspect : held) {
        const auto [first, last] = m_verdicts.equal_range(suspect);
        for (auto entry = first; entry != last; ++entry) {
            const auto& [verdict, from, until] = entry->second;
            if (now < from || now >= until
                || !std::includes(held.begin(), held.end(), verdict.suspects.begin(), verdict.suspects.end()))
                continue;
            refused = std::max(refused.value_or(until), until);
        }
    }
    return refused;
}

std::set<crash_suspect> crash_history::judged(bool isQuarantine, time_point now) const
{
    std::set<crash_suspect> found;
    for (const auto& [first, timed] : m_verdicts) {
        if (timed.verdict.isQuarantine == isQuarantine && now < timed.until)
            found.insert(timed.verdict.suspects.begin(), timed.verdict.suspects.end());
    }
    return found;
}

std::set<crash_suspect> crash_history::quarantined() const { return judged(true, time_point::min()); }

std::set<crash_suspect> crash_history::suspended(time_point now) const { return judged(false, now); }

std::vector<crash_record> crash_history::records() const
{
    std::vector<crash_record> all;
    all.reserve(m_records);
    for (const auto& [id, suspect] : m_suspects) {
        auto some = recordsOf(id);
        std::move(some.begin(), some.end(), std::back_inserter(all));
    }
    return all;
}

std::vector<crash_record> crash_history::recordsOf(const crash_suspect& suspect) const
{
    std::vector<crash_record> found;
    const auto known = m_suspects.find(suspect);
    if (known == m_suspects.end())
        return found;
    for (const auto& [server, crash] : known->second.crashes)
        found.push_back({ .suspect = suspect, .server = server, .at = crash.at, .isCleared = crash.isCleared });
    return found;
}

} // namespace coltsfootbend
