#include "coltsfootbend/permits/issuer_selector.h"

#include <algorithm>

namespace coltsfootbend {

void issuer_selector::recordIssuing(
    const permit_subject& subject, const endpoint& issuer, duration issuingFor, time_point now)
{
    auto& process = m_issuing[subject][issuer];
    const auto since = now - issuingFor;
    // Reports are delayed, so the earliest begin that follows from them is the most accurate one.
    const bool isContinued = isIssuing(process, now) && since < process.since + m_options.reportTimeout;
    process.since = isContinued ? std::min(process.since, since) : since;
    process.lastReportedAt = now;
}

std::optional<endpoint> issuer_selector::choose(
    const permit_subject& subject, const std::vector<endpoint>& ranked, time_point now) const
{
    if (ranked.empty())
        return std::nullopt;
    const auto found = m_issuing.find(subject);
    if (found == m_issuing.end())
        return ranked.front();
    const endpoint* chosen = nullptr;
    time_point chosenSince {};
    for (const auto& candidate : ranked) {
        const auto process = found->second.find(candidate);
        if (process == found->second.end() || !isIssuing(process->second, now))
            continue;
        // Of two that began together the one that is ranked lower is used, as the one that is not the first choice.
        if (chosen && process->second.since + m_options.sameBeginTolerance <= chosenSince)
            continue;
        chosen = &candidate;
        chosenSince = process->second.since;
    }
    return chosen ? *chosen : ranked.front();
}

void issuer_selector::expire(time_point now)
{
    for (auto& [subject, processes] : m_issuing)
        std::erase_if(processes, [&](const auto& entry) { return !isIssuing(entry.second, now); });
    std::erase_if(m_issuing, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace coltsfootbend
