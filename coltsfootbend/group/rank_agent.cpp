#include "coltsfootbend/group/rank_agent.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

// Maximum number of maps that a rank keeps: those that its schedule may still need, and one that is being loaded.
constexpr std::size_t maxLoadedMaps = 4;

} // namespace

map_version map_schedule::mapAt(step_number step) const
{
    map_version found;
    for (const auto& segment : segments) {
        if (segment.from <= step)
            found = segment.map;
    }
    return found;
}

rank_agent::rank_agent(const options& options)
    : m_options(options)
    , m_granted(options.lastEngineStep)
    , m_limit(options.lastEngineStep)
{
}

std::optional<map_version> rank_agent::grant(step_number step)
{
    if (!m_hasJoined || step > m_limit)
        return std::nullopt;
    const auto map = m_schedule.mapAt(step);
    if (map.isNone() || !m_loaded.contains(map))
        return std::nullopt;
    m_granted = std::max(m_granted, step);
    return map;
}

std::optional<rank_message> rank_agent::handle(const coordinator_message& message)
{
    return std::visit([this](const auto& body) { return on(body); }, message);
}

std::optional<rank_message> rank_agent::on(const prepare_map& message)
{
    m_preparedFor = std::max(m_preparedFor, message.epoch);
    if (message.epoch < m_preparedFor)
        return switch_refused { message.epoch, m_preparedFor };
    if (m_loaded.contains(message.map))
        return map_loaded { message.epoch, message.map };
    m_mapToLoad = message.map;
    return std::nullopt;
}

std::optional<rank_message> rank_agent::onMapLoaded(map_version map)
{
    m_loaded.insert(map);
    while (m_loaded.size() > maxLoadedMaps) {
        const auto unused = std::find_if(m_loaded.begin(), m_loaded.end(), [&](map_version other) {
            return other != map
                && std::none_of(m_schedule.segments.begin(), m_schedule.segments.end(),
                    [&](const map_segment& segment) { return segment.map == other; });
        });
        if (unused == m_loaded.end())
            break;
        m_loaded.erase(unused);
    }
    if (m_mapToLoad != map)
        return std::nullopt;
    m_mapToLoad.reset();
    selectNextMap();
    return map_loaded { m_preparedFor, map };
}

// A new incarnation may have to run steps under earlier maps than the one that it was ordered to prepare. Maps that
// apply only to steps already granted are skipped.
void rank_agent::selectNextMap()
{
    const auto& segments = m_schedule.segments;
    for (std::size_t i = 0; i < segments.size() && !m_mapToLoad; ++i) {
        const bool isPast = i + 1 < segments.size() && segments[i + 1].from <= m_granted + 1;
        if (!isPast && !m_loaded.contains(segments[i].map))
            m_mapToLoad = segments[i].map;
    }
}

std::optional<rank_message> rank_agent::on(const propose_switch& message)
{
    if (message.epoch < m_promised || !m_loaded.contains(message.map))
        return switch_refused { message.epoch, m_promised };
    if (message.epoch > m_promised) {
        m_promised = message.epoch;
        // An existing limit is not raised, because it may have been reported to an earlier coordinator.
        m_limit = std::min(m_limit, m_granted + (m_hasJoined ? m_options.promiseMargin : 0));
    }
    return switch_promised { message.epoch, m_options.ownIncarnation, m_limit, m_schedule };
}

std::optional<rank_message> rank_agent::on(const decide_switch& message)
{
    // Only the last promised epoch may decide, and only for this incarnation, which is not bound by the promises of
    // earlier incarnations.
    if (message.epoch != m_promised)
        return switch_refused { message.epoch, m_promised };
    if (m_options.rank >= message.incarnations.size()
        || message.incarnations[m_options.rank] != m_options.ownIncarnation)
        return switch_refused { message.epoch, m_promised };
    m_schedule = message.schedule;
    // Drops segments that no engine needs any more. A restarted rank may be up to `maxGrantAhead` steps behind this
    // one.
    auto& segments = m_schedule.segments;
    while (segments.size() > 1 && segments[1].from + maxGrantAhead <= m_granted)
        segments.erase(segments.begin());
    selectNextMap();
    m_hasJoined = true;
    m_limit = unlimited;
    return switch_applied { message.epoch, m_options.ownIncarnation };
}

std::optional<rank_message> rank_agent::on(const release_promise& message)
{
    if (message.epoch == m_promised && m_hasJoined)
        m_limit = unlimited;
    return std::nullopt;
}

} // namespace coltsfootbend
