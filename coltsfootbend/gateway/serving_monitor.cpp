#include "coltsfootbend/gateway/serving_monitor.h"

#include <algorithm>
#include <utility>

namespace coltsfootbend {

namespace {

// Nothing is served once at least this many requests in a row have not been served over at least this time.
constexpr std::uint64_t minUnserved = 3;
constexpr std::chrono::seconds minUnservedTime { 2 };

} // namespace

void serving_monitor::onServed(const deployment_id& deployment, time_point now)
{
    endUnserved(deployment, now);
    endUnserved(deployment_id(), now);
}

void serving_monitor::endUnserved(const deployment_id& deployment, time_point now)
{
    const auto found = m_deployments.find(deployment);
    if (found == m_deployments.end())
        return;
    auto& state = found->second;
    if (state.isReported)
        m_ended.push_back({ .deployment = deployment,
            .isServing = true,
            .unservedFor = now - state.unservedSince,
            .reasons = std::move(state.reasons) });
    m_deployments.erase(found);
}

void serving_monitor::retainOnly(const std::set<deployment_id>& configured)
{
    std::erase_if(
        m_deployments, [&](const auto& entry) { return !entry.first.empty() && !configured.contains(entry.first); });
}

void serving_monitor::onUnserved(const deployment_id& deployment, const std::string& reason, time_point now)
{
    auto& state = m_deployments[deployment];
    if (state.unserved == 0)
        state.unservedSince = now;
    ++state.unserved;
    ++state.reasons[reason];
}

std::vector<serving_monitor::change> serving_monitor::check(time_point now)
{
    auto changes = std::exchange(m_ended, {});
    for (auto& [deployment, state] : m_deployments) {
        if (state.isReported || state.unserved < minUnserved || now < state.unservedSince + minUnservedTime)
            continue;
        state.isReported = true;
        changes.push_back({ .deployment = deployment,
            .isServing = false,
            .unservedFor = now - state.unservedSince,
            .reasons = state.reasons });
    }
    return changes;
}

std::size_t serving_monitor::unserved() const
{
    return static_cast<std::size_t>(std::count_if(
        m_deployments.begin(), m_deployments.end(), [](const auto& entry) { return entry.second.isReported; }));
}

} // namespace coltsfootbend
