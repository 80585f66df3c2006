#include "coltsfootbend/group/load_subscribers.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace coltsfootbend {

namespace {

// Gateways per data centre that follow the store. One of them may be stalled or denied by the store.
constexpr std::size_t maxFollowersPerDataCentre = 2;

} // namespace

void load_subscribers::subscribe(
    const endpoint& address, wire::deployment_knowledge knowledge, time_point expiresAt, time_point now)
{
    m_newestState.reset();
    m_subscribers[address] = { .expiresAt = expiresAt, .receivedAt = now, .knowledge = std::move(knowledge) };
}

void load_subscribers::expire(time_point now)
{
    m_newestState.reset();
    std::erase_if(m_subscribers, [now](const auto& entry) { return entry.second.expiresAt < now; });
}

load_subscribers::known_state load_subscribers::stateOf(const subscriber& gateway)
{
    const auto& known = gateway.knowledge;
    return { .configuration = { store_era(known.configuration.era), known.configuration.revision },
        .servers = { store_era(known.servers.era), known.servers.revision },
        .version = known.version };
}

const load_subscribers::known_state& load_subscribers::newestState()
{
    if (m_newestState)
        return *m_newestState;
    known_state newest;
    for (const auto& [address, gateway] : m_subscribers) {
        const auto known = stateOf(gateway);
        newest.configuration = std::max(newest.configuration, known.configuration);
        newest.servers = std::max(newest.servers, known.servers);
        newest.version = std::max(newest.version, known.version);
    }
    return m_newestState.emplace(newest);
}

// Returns only a gateway that the store serves, or one that has the newest known state of both tables, so that it is
// not itself behind, or the newest version in force, which the store may have lost. Prefers the requester's data
// centre. Chooses at random, because one gateway may be unreachable and so that all up-to-date gateways share the load.
const endpoint* load_subscribers::findNewerSource(const subscriber& requester)
{
    const auto newest = newestState();
    const auto known = stateOf(requester);
    if (!newest.isAheadOf(known))
        return nullptr;
    std::vector<const endpoint*> nearby;
    std::vector<const endpoint*> remote;
    for (const auto& [address, candidate] : m_subscribers) {
        const auto offered = stateOf(candidate);
        const bool hasNewestTables = offered.configuration == newest.configuration && offered.servers == newest.servers;
        const bool hasNewerVersion = offered.version == newest.version && offered.version > known.version;
        if (!offered.isAheadOf(known) || (!candidate.knowledge.isServed && !hasNewestTables && !hasNewerVersion))
            continue;
        (candidate.knowledge.dataCentre == requester.knowledge.dataCentre ? nearby : remote).push_back(&address);
    }
    const auto& sources = nearby.empty() ? remote : nearby;
    if (sources.empty())
        return nullptr;
    return sources[std::uniform_int_distribution<std::size_t>(0, sources.size() - 1)(m_random)];
}

wire::store_confirmation load_subscribers::configuration(time_point now) const
{
    return newestConfirmation(&wire::deployment_knowledge::configuration, now);
}

wire::store_confirmation load_subscribers::servers(time_point now) const
{
    return newestConfirmation(&wire::deployment_knowledge::servers, now);
}

wire::store_confirmation load_subscribers::newestConfirmation(
    wire::store_confirmation wire::deployment_knowledge::*table, time_point now) const
{
    wire::store_confirmation found;
    for (const auto& [address, candidate] : m_subscribers) {
        const auto& confirmation = candidate.knowledge.*table;
        if (confirmation.era > found.era)
            found = { .era = confirmation.era };
        if (confirmation.era < found.era || confirmation.ageMs == wire::store_confirmation::never)
            continue;
        const auto age = confirmation.ageMs + static_cast<std::uint64_t>(remaining(candidate.receivedAt, now).count());
        if (age < found.ageMs)
            found = { .revision = confirmation.revision, .ageMs = age, .era = confirmation.era };
    }
    return found;
}

// Two gateways of each data centre follow the store, because a data centre may be cut off from the others. The first of
// these by address also checks the store in between, on behalf of all. A gateway that does not read the store starts
// only if the store serves no gateway of its data centre; otherwise the end of one follower would make all gateways
// read the store at once.
std::map<endpoint, wire::store_duty> load_subscribers::duties() const
{
    std::map<std::string, std::size_t> served;
    for (const auto& [address, gateway] : m_subscribers)
        served[gateway.knowledge.dataCentre] += gateway.knowledge.isServed ? 1 : 0;
    std::map<endpoint, wire::store_duty> duties;
    std::map<std::string, std::size_t> followers;
    bool hasChecker = false;
    for (const auto& [address, gateway] : m_subscribers) {
        const auto& dataCentre = gateway.knowledge.dataCentre;
        auto& duty = duties[address];
        if (!gateway.knowledge.isServed) {
            duty = served[dataCentre] > 0 ? wire::store_duty::Standby : wire::store_duty::Follow;
            continue;
        }
        if (followers[dataCentre] == maxFollowersPerDataCentre) {
            duty = wire::store_duty::Standby;
            continue;
        }
        ++followers[dataCentre];
        duty = hasChecker ? wire::store_duty::Follow : wire::store_duty::Check;
        hasChecker = true;
    }
    return duties;
}

} // namespace coltsfootbend
