#include "coltsfootbend/group/load_subscribers.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace coltsfootbend {

void load_subscribers::hear(const endpoint& address, wire::deployment_knowledge knows, time_point until, time_point now)
{
    m_subscribers[address] = { .until = until, .heardAt = now, .knows = std::move(knows) };
}

void load_subscribers::expire(time_point now)
{
    std::erase_if(m_subscribers, [now](const auto& entry) { return entry.second.until < now; });
}

// One that the store serves, so that it is not a step behind as well; of the same data centre if there is one. Another
// one each time, for the first may be out of reach.
const endpoint* load_subscribers::findInformed(const subscriber& asker)
{
    std::vector<const endpoint*> near;
    std::vector<const endpoint*> far;
    for (const auto& [address, candidate] : m_subscribers) {
        const bool knowsMore = candidate.knows.configuration.revision > asker.knows.configuration.revision
            || candidate.knows.servers.revision > asker.knows.servers.revision;
        if (!candidate.knows.isServed || !knowsMore)
            continue;
        (candidate.knows.dataCentre == asker.knows.dataCentre ? near : far).push_back(&address);
    }
    const auto& informed = near.empty() ? far : near;
    if (informed.empty())
        return nullptr;
    return informed[std::uniform_int_distribution<std::size_t>(0, informed.size() - 1)(m_random)];
}

wire::store_confirmation load_subscribers::configuration(time_point now) const
{
    return youngest(&wire::deployment_knowledge::configuration, now);
}

wire::store_confirmation load_subscribers::servers(time_point now) const
{
    return youngest(&wire::deployment_knowledge::servers, now);
}

wire::store_confirmation load_subscribers::youngest(
    wire::store_confirmation wire::deployment_knowledge::*table, time_point now) const
{
    wire::store_confirmation found;
    for (const auto& [address, candidate] : m_subscribers) {
        const auto& told = candidate.knows.*table;
        if (told.ageMs == wire::store_confirmation::never)
            continue;
        const auto age = told.ageMs + static_cast<std::uint64_t>(remaining(candidate.heardAt, now).count());
        if (age < found.ageMs)
            found = { .revision = told.revision, .ageMs = age };
    }
    return found;
}

const endpoint* load_subscribers::checker() const
{
    const auto served = std::find_if(
        m_subscribers.begin(), m_subscribers.end(), [](const auto& entry) { return entry.second.knows.isServed; });
    return served == m_subscribers.end() ? nullptr : &served->first;
}

} // namespace coltsfootbend
