#include "coltsfootbend/gateway/group_directory.h"

#include <algorithm>

namespace coltsfootbend {

void group_directory::configure(const deployment& deployment)
{
    if (!deployment.engine)
        return;
    m_engines[deployment.id] = *deployment.engine;
    for (auto& [key, monitor] : m_groups) {
        if (key.deployment == deployment.id)
            monitor.setEngine(*deployment.engine);
    }
}

void group_directory::receiveReport(
    const deployment_id& deployment, const endpoint& address, const engine_report& report, time_point now)
{
    if (report.group.empty())
        return;
    const auto [known, isNew] = m_groups.try_emplace({ deployment, report.group });
    const auto engine = m_engines.find(deployment);
    if (isNew && engine != m_engines.end())
        known->second.setEngine(engine->second);
    known->second.receiveReport(address, report, now);
}

void group_directory::receiveFailureProof(const group_key& key, time_point now)
{
    const auto found = m_groups.find(key);
    if (found != m_groups.end())
        found->second.receiveFailureProof(now);
}

const group_monitor* group_directory::find(const group_key& key) const
{
    const auto found = m_groups.find(key);
    return found == m_groups.end() ? nullptr : &found->second;
}

bool group_directory::isAnyClosed(const deployment_id& deployment, time_point now) const
{
    return std::any_of(m_groups.begin(), m_groups.end(), [&](const auto& entry) {
        return entry.first.deployment == deployment && entry.second.condition(now) != group_condition::Open;
    });
}

std::optional<groups_forecast> group_directory::forecast(const std::vector<group_key>& keys, time_point now) const
{
    std::optional<groups_forecast> result;
    bool isAnyStalled = false;
    for (const auto& key : keys) {
        const auto* group = find(key);
        if (!group)
            continue;
        const auto forecast = group->forecast(now);
        isAnyStalled = isAnyStalled || group->condition(now) == group_condition::Stalled;
        if (!result || forecast.openAt < result->first.openAt)
            result = { .group = key, .first = forecast };
    }
    if (result)
        result->isAnyStalled = isAnyStalled;
    return result;
}

void group_directory::onProbeSent(const group_key& key, time_point nextAt)
{
    const auto found = m_groups.find(key);
    if (found != m_groups.end())
        found->second.onProbeSent(nextAt);
}

std::vector<group_status> group_directory::statuses(time_point now) const
{
    std::vector<group_status> statuses;
    for (const auto& [key, monitor] : m_groups) {
        statuses.push_back({ .deployment = key.deployment,
            .group = key.group,
            .condition = monitor.condition(now),
            .forecast = monitor.forecast(now),
            .lastPassAt = monitor.lastPassAt(),
            .passMs = monitor.passMs(),
            .stretch = monitor.stretch() });
    }
    return statuses;
}

} // namespace coltsfootbend
