#include "coltsfootbend/quarantine/crash_history.h"

#include "coltsfootbend/base/hash.h"

#include <algorithm>
#include <iterator>

namespace coltsfootbend {

namespace {

std::size_t sharedCrashes(const std::set<server_incarnation>& one, const std::set<server_incarnation>& other)
{
    return static_cast<std::size_t>(
        std::count_if(one.begin(), one.end(), [&](const auto& server) { return other.contains(server); }));
}

} // namespace

std::vector<crash_record> crash_history::add(const std::vector<crash_record>& records, time_point now)
{
    std::vector<crash_record> updates;
    std::copy_if(records.begin(), records.end(), std::back_inserter(updates),
        [&](const auto& record) { return addOne(record, now); });
    if (!updates.empty())
        attributeCrashes();
    return updates;
}

bool crash_history::addOne(const crash_record& record, time_point now)
{
    if (record.at + m_options.quarantineRetention <= now)
        return false;
    const auto known = m_suspects.find(record.request);
    const bool isNew = known == m_suspects.end() || !known->second.crashes.contains(record.server);
    if (!isNew && (!record.isCleared || known->second.crashes.at(record.server).isCleared))
        return false;
    if (isNew && isFull())
        evictLeastSuspected();
    auto& crash = m_suspects[record.request].crashes[record.server];
    if (isNew) {
        crash = { .at = std::min(record.at, now), .receivedAt = now };
        ++m_records;
    }
    crash.isCleared = crash.isCleared || record.isCleared;
    return true;
}

// Evicts the request with the fewest unexplained crashes, and of these the one that expires first, since the evidence
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

std::vector<crash_record> crash_history::clear(const request_fingerprint& request)
{
    const auto known = m_suspects.find(request);
    if (known == m_suspects.end())
        return {};
    bool isChanged = false;
    for (auto& [server, crash] : known->second.crashes) {
        isChanged = isChanged || !crash.isCleared;
        crash.isCleared = true;
    }
    if (!isChanged)
        return {};
    attributeCrashes();
    return recordsOf(request);
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
        attributeCrashes();
}

// Attributes the crashes to as few requests as explain them (greedy set cover): first to the request at most crashes,
// then to the request at most of the remaining ones, and so on. An unrelated request that often ran next to the cause
// is left with only the crashes at which the cause was absent.
void crash_history::attributeCrashes()
{
    for (auto& [request, suspect] : m_suspects) {
        suspect.quarantinedFrom.reset();
        suspect.suspendedFrom.reset();
        suspect.unexplained = 0;
    }
    auto open = unexplainedCrashes();
    while (const auto worst = mostSuspected(open)) {
        const auto crashes = open.at(*worst);
        const auto indistinguishable = indistinguishableFrom(open, *worst);
        if (!indistinguishable.empty() && crashes.size() < m_options.crashesToQuarantineAmbiguous) {
            // One of them is responsible, and only a further crash can distinguish them.
            for (const auto& similar : indistinguishable) {
                m_suspects.at(similar).unexplained = crashes.size();
                open.erase(similar);
            }
            m_suspects.at(*worst).unexplained = crashes.size();
            open.erase(*worst);
            continue;
        }
        quarantine(*worst, crashes);
        open.erase(*worst);
        for (auto& [request, left] : open)
            std::erase_if(left, [&](const auto& server) { return crashes.contains(server); });
    }
    for (const auto& [request, left] : open)
        m_suspects.at(request).unexplained = left.size();
    suspend(open);
    updateRetention();
    updateDigest();
}

crash_history::suspected_crashes crash_history::unexplainedCrashes() const
{
    suspected_crashes open;
    for (const auto& [request, suspect] : m_suspects) {
        for (const auto& [server, crash] : suspect.crashes) {
            if (!crash.isCleared)
                open[request].insert(server);
        }
    }
    return open;
}

std::optional<request_fingerprint> crash_history::mostSuspected(const suspected_crashes& open) const
{
    const auto most = std::max_element(open.begin(), open.end(),
        [](const auto& one, const auto& other) { return one.second.size() < other.second.size(); });
    if (most == open.end() || most->second.size() < m_options.crashesToQuarantine)
        return std::nullopt;
    return most->first;
}

std::vector<request_fingerprint> crash_history::indistinguishableFrom(
    const suspected_crashes& open, const request_fingerprint& request)
{
    const auto& crashes = open.at(request);
    std::vector<request_fingerprint> found;
    for (const auto& [other, others] : open) {
        if (other != request && others.size() == crashes.size() && sharedCrashes(others, crashes) > 1)
            found.push_back(other);
    }
    return found;
}

void crash_history::quarantine(const request_fingerprint& request, const crash_set& crashes)
{
    auto& suspect = m_suspects.at(request);
    suspect.unexplained = crashes.size();
    suspect.quarantinedFrom = settledAt(suspect, crashes, m_options.crashesToQuarantine);
}

// Suspends requests before the third crash, since that would prove the cause only at the price of another outage of a
// whole group. Requests that were at the same crashes are not suspended, since they cannot be distinguished.
void crash_history::suspend(const suspected_crashes& open)
{
    for (const auto& [request, crashes] : open) {
        if (crashes.size() < m_options.crashesToSuspend || !indistinguishableFrom(open, request).empty())
            continue;
        auto& suspect = m_suspects.at(request);
        suspect.suspendedFrom = settledAt(suspect, crashes, m_options.crashesToSuspend);
        suspect.suspendedUntil = {};
        for (const auto& server : crashes)
            suspect.suspendedUntil
                = std::max<time_point>(suspect.suspendedUntil, suspect.crashes.at(server).at + m_options.suspendedFor);
    }
}

time_point crash_history::settledAt(const suspect& suspect, const crash_set& crashes, std::size_t count) const
{
    std::vector<time_point> receivedAt;
    for (const auto& server : crashes)
        receivedAt.push_back(suspect.crashes.at(server).receivedAt);
    std::sort(receivedAt.begin(), receivedAt.end());
    return receivedAt[count - 1] + m_options.settlingTime;
}

void crash_history::updateRetention()
{
    for (auto& [request, suspect] : m_suspects) {
        time_point last {};
        for (const auto& [server, crash] : suspect.crashes)
            last = std::max(last, crash.at);
        suspect.retainedUntil
            = last + (suspect.quarantinedFrom ? m_options.quarantineRetention : m_options.suspectRetention);
    }
}

void crash_history::updateDigest()
{
    m_digest = 0;
    for (const auto& record : records())
        m_digest ^= stableHash(
            record.request.text() + "/" + record.server.text(), static_cast<std::uint64_t>(record.isCleared));
}

std::size_t crash_history::crashes(const request_fingerprint& request) const
{
    const auto known = m_suspects.find(request);
    return known == m_suspects.end() ? 0 : known->second.unexplained;
}

bool crash_history::isQuarantined(const request_fingerprint& request, time_point now) const
{
    const auto known = m_suspects.find(request);
    return known != m_suspects.end() && known->second.quarantinedFrom && now >= *known->second.quarantinedFrom
        && now < known->second.retainedUntil;
}

std::optional<time_point> crash_history::refusedUntil(const request_fingerprint& request, time_point now) const
{
    const auto known = m_suspects.find(request);
    if (known == m_suspects.end())
        return std::nullopt;
    const auto& suspect = known->second;
    if (isQuarantined(request, now))
        return suspect.retainedUntil;
    if (!suspect.suspendedFrom || now < *suspect.suspendedFrom || now >= suspect.suspendedUntil)
        return std::nullopt;
    return suspect.suspendedUntil;
}

std::set<request_fingerprint> crash_history::quarantined() const
{
    std::set<request_fingerprint> found;
    for (const auto& [request, suspect] : m_suspects) {
        if (suspect.quarantinedFrom)
            found.insert(request);
    }
    return found;
}

std::set<request_fingerprint> crash_history::suspended(time_point now) const
{
    std::set<request_fingerprint> found;
    for (const auto& [request, suspect] : m_suspects) {
        if (suspect.suspendedFrom && now < suspect.suspendedUntil)
            found.insert(request);
    }
    return found;
}

std::vector<crash_record> crash_history::records() const
{
    std::vector<crash_record> all;
    all.reserve(m_records);
    for (const auto& [request, suspect] : m_suspects) {
        auto some = recordsOf(request);
        std::move(some.begin(), some.end(), std::back_inserter(all));
    }
    return all;
}

std::vector<crash_record> crash_history::recordsOf(const request_fingerprint& request) const
{
    std::vector<crash_record> found;
    const auto known = m_suspects.find(request);
    if (known == m_suspects.end())
        return found;
    for (const auto& [server, crash] : known->second.crashes)
        found.push_back({ .request = request, .server = server, .at = crash.at, .isCleared = crash.isCleared });
    return found;
}

} // namespace coltsfootbend
