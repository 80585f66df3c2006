#include "coltsfootbend/quarantine/crash_attribution.h"

#include <algorithm>
#include <iterator>
#include <optional>

namespace coltsfootbend {

namespace {

std::size_t sharedCrashes(const crash_set& one, const crash_set& other)
{
    return static_cast<std::size_t>(
        std::count_if(one.begin(), one.end(), [&](const auto& server) { return other.contains(server); }));
}

// Returns whether the first suspect is blamed before the second one.
bool precedes(const suspected_crashes::value_type& one, const suspected_crashes::value_type& other)
{
    if (one.second.size() != other.second.size())
        return one.second.size() > other.second.size();
    if (isPromptPart(one.first) != isPromptPart(other.first))
        return isPromptPart(other.first);
    return one.first < other.first;
}

// Returns the suspect that is blamed first, or none if all were at fewer than `minCrashes`.
std::optional<crash_suspect> mostSuspected(const suspected_crashes& open, std::size_t minCrashes)
{
    const auto most = std::min_element(open.begin(), open.end(), precedes);
    if (most == open.end() || most->second.size() < minCrashes)
        return std::nullopt;
    return most->first;
}

// Returns the suspects of the same kind that cannot be distinguished from the given one: those with the same number of
// crashes that share more than one crash with it.
std::vector<crash_suspect> indistinguishableFrom(const suspected_crashes& open, const crash_suspect& suspect)
{
    const auto& crashes = open.at(suspect);
    std::vector<crash_suspect> found;
    for (const auto& [other, others] : open) {
        if (other != suspect && isPromptPart(other) == isPromptPart(suspect) && others.size() == crashes.size()
            && sharedCrashes(others, crashes) > 1)
            found.push_back(other);
    }
    return found;
}

// Returns whether all of the suspects were at exactly these crashes.
bool wereAllAt(const suspected_crashes& open, const std::vector<crash_suspect>& suspects, const crash_set& crashes)
{
    return std::all_of(
        suspects.begin(), suspects.end(), [&](const auto& suspect) { return open.at(suspect) == crashes; });
}

// Returns whether a request was at all of these crashes.
bool isExplainedByRequest(const suspected_crashes& open, const crash_set& crashes)
{
    return std::any_of(open.begin(), open.end(), [&](const auto& entry) {
        return !isPromptPart(entry.first) && sharedCrashes(crashes, entry.second) == crashes.size();
    });
}

class attribution {
public:
    attribution(suspected_crashes crashes, const attribution_options& options)
        : m_open(std::move(crashes))
        , m_options(options)
    {
        std::copy_if(m_open.begin(), m_open.end(), std::inserter(m_parts, m_parts.end()),
            [](const auto& entry) { return isPromptPart(entry.first); });
    }

    // Greedy set cover: blames the suspect at most crashes first, then the one at most of the remaining crashes, and so
    // on. An unrelated suspect that often was next to the cause is left with only the crashes at which the cause was
    // absent.
    attributed_crashes run()
    {
        while (const auto worst = mostSuspected(m_open, m_options.crashesToQuarantine))
            judge(*worst);
        for (const auto& [suspect, left] : m_open)
            m_result.unexplained[suspect] = left.size();
        blameFrequentParts();
        suspend();
        return std::move(m_result);
    }

private:
    void judge(const crash_suspect& worst)
    {
        const auto crashes = m_open.at(worst);
        auto similar = indistinguishableFrom(m_open, worst);
        const bool isAmbiguous = !similar.empty() && crashes.size() < m_options.crashesToQuarantineAmbiguous;
        similar.push_back(worst);
        for (const auto& suspect : similar)
            m_result.unexplained[suspect] = crashes.size();
        if (!isAmbiguous) {
            // Of ambiguous requests only one is blamed. Parts are all blamed: none of them has completed in the time of
            // so many crashes, and the cause must not stay in service.
            if (!isPromptPart(worst))
                similar = { worst };
            for (const auto& suspect : similar)
                m_result.verdicts.push_back(
                    { .isQuarantine = true, .suspects = { suspect }, .crashes = m_open.at(suspect) });
            explain(similar);
            return;
        }
        if (isPromptPart(worst) && wereAllAt(m_open, similar, crashes)) {
            m_result.verdicts.push_back(
                { .isQuarantine = true, .suspects = std::set(similar.begin(), similar.end()), .crashes = crashes });
            explain(similar);
            return;
        }
        // One of them is responsible, and only a further crash can distinguish them.
        for (const auto& suspect : similar)
            m_open.erase(suspect);
    }

    // Quarantines the parts that were at so many crashes that coincidence is ruled out although another part was at
    // even more of them. Crashes that a quarantined request explains do not count.
    void blameFrequentParts()
    {
        crash_set explained;
        std::set<crash_suspect> blamed;
        for (const auto& verdict : m_result.verdicts) {
            if (verdict.suspects.size() == 1)
                blamed.insert(*verdict.suspects.begin());
            if (!isPromptPart(*verdict.suspects.begin()))
                explained.insert(verdict.crashes.begin(), verdict.crashes.end());
        }
        for (const auto& [part, crashes] : m_parts) {
            const auto left = crashes.size() - sharedCrashes(crashes, explained);
            if (left < m_options.crashesToQuarantineAmbiguous || blamed.contains(part))
                continue;
            m_result.unexplained[part] = left;
            m_result.verdicts.push_back({ .isQuarantine = true, .suspects = { part }, .crashes = crashes });
        }
    }

    // Removes the suspects, and their crashes from those of all others.
    void explain(const std::vector<crash_suspect>& suspects)
    {
        crash_set explained;
        for (const auto& suspect : suspects)
            explained.merge(m_open.extract(suspect).mapped());
        for (auto& [suspect, left] : m_open)
            std::erase_if(left, [&](const auto& server) { return explained.contains(server); });
    }

    // Suspends suspects before the third crash, since that would prove the cause only at the price of another outage of
    // a whole group. Requests that were at the same crashes are not suspended, since they cannot be distinguished.
    void suspend()
    {
        std::set<crash_suspect> judged;
        for (const auto& [suspect, crashes] : m_open) {
            if (crashes.size() < m_options.crashesToSuspend || judged.contains(suspect))
                continue;
            auto similar = indistinguishableFrom(m_open, suspect);
            const bool isPart = isPromptPart(suspect);
            if (!similar.empty() && (!isPart || !wereAllAt(m_open, similar, crashes)))
                continue;
            if (isPart && isExplainedByRequest(m_open, crashes))
                continue;
            similar.push_back(suspect);
            judged.insert(similar.begin(), similar.end());
            m_result.verdicts.push_back(
                { .isQuarantine = false, .suspects = std::set(similar.begin(), similar.end()), .crashes = crashes });
        }
    }

    suspected_crashes m_open; // Crashes that no verdict explains yet.
    suspected_crashes m_parts; // All crashes of the parts.
    const attribution_options m_options;
    attributed_crashes m_result;
};

} // namespace

attributed_crashes attributeCrashes(suspected_crashes crashes, const attribution_options& options)
{
    return attribution(std::move(crashes), options).run();
}

} // namespace coltsfootbend
