#include "coltsfootbend/gateway/group_outlook.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

// Fewer passes give too coarse a measure of their time.
constexpr std::uint64_t leastMeasuredPasses = 4;
constexpr double passSmoothing = 0.3;
// An idle group makes no passes, so that longer ones are pauses.
constexpr double longestPassMs = 1000;
// Of a new outage in the usual one.
constexpr double outageSmoothing = 0.5;
// Of a shorter outage in the longest one of late.
constexpr double longestSmoothing = 0.15;
// An outage that lasts longer than usual may end at any moment.
constexpr std::chrono::milliseconds leastOutageLeft { 500 };

} // namespace

const char* toString(group_condition condition)
{
    switch (condition) {
    case group_condition::Open:
        return "open";
    case group_condition::Standing:
        return "standing";
    case group_condition::Broken:
        return "broken";
    }
    return "open";
}

void group_outlook::hear(const endpoint& address, const engine_report& report, time_point now)
{
    // A number below the known one is old news, unless an engine that was just started tells it.
    const bool isRestart = report.life > m_newestLife;
    m_newestLife = std::max(m_newestLife, report.life);
    if (report.epoch < m_epoch && !isRestart)
        return;
    if (report.epoch != m_epoch)
        enterEpoch(report, now);
    m_size = std::max(m_size, report.ranks);
    m_ranks[address] = { now, report.running > 0 };
    noteStep(report.step, now);
    noteStanding(now);
    if (report.isOpen)
        noteOpen(now);
    else
        noteBroken(now);
}

void group_outlook::enterEpoch(const engine_report& report, time_point now)
{
    m_epoch = report.epoch;
    m_step = report.step;
    m_stepAt = now;
    m_isStanding = false;
    m_measuredStep = report.step;
    m_measuredAt = now;
    m_size = report.ranks;
    m_ranks.clear();
}

void group_outlook::noteStep(std::uint64_t step, time_point now)
{
    if (step > m_step) {
        m_step = step;
        m_stepAt = now;
        m_isStanding = false;
    }
    const auto passes = m_step - m_measuredStep;
    if (passes < leastMeasuredPasses)
        return;
    const double sample = toMilliseconds(now - m_measuredAt) / static_cast<double>(passes);
    if (sample < longestPassMs)
        m_passMs = m_passMs == 0 ? sample : m_passMs + passSmoothing * (sample - m_passMs);
    m_measuredStep = m_step;
    m_measuredAt = now;
}

void group_outlook::noteBroken(time_point now)
{
    if (!m_isBroken)
        m_stoppedAt = m_hasBeenOpen ? m_stepAt : now;
    m_isBroken = true;
    m_brokenEpoch = m_epoch;
    m_brokenKnownAt = now;
    if (!areAllHeard(now))
        m_allHeardSince.reset();
    else if (!m_allHeardSince)
        m_allHeardSince = now;
}

void group_outlook::noteOpen(time_point now)
{
    // Ranks learn of a break one after the other: what one tells that has not yet heard of it ends no outage.
    if (!m_isBroken)
        m_hasBeenOpen = true;
    if (!m_isBroken || (m_epoch == m_brokenEpoch && now - m_brokenKnownAt < m_options.heardLimit))
        return;
    m_isBroken = false;
    m_allHeardSince.reset();
    m_openSince = now;
    m_isStanding = false;
    const bool wasForming = !m_hasBeenOpen; // For the first time, which says nothing of outages.
    m_hasBeenOpen = true;
    m_stepAt = now;
    if (wasForming)
        return;
    const duration lasted = now - m_stoppedAt;
    m_usualOutage += fromMilliseconds(outageSmoothing * toMilliseconds(lasted - m_usualOutage));
    m_longestOutage = std::max(
        lasted, m_longestOutage - fromMilliseconds(longestSmoothing * toMilliseconds(m_longestOutage - lasted)));
}

void group_outlook::hearProof(time_point now) { noteBroken(now); }

bool group_outlook::isKnownBroken(time_point now) const
{
    return m_isBroken && now <= m_brokenKnownAt + m_options.brokenLimit;
}

// Only work shows that passes are missing. Once it has, only a pass ends it: when all who waited have left, the group
// is as idle as one that nobody asks.
void group_outlook::noteStanding(time_point now)
{
    const auto limit = std::max<duration>(m_options.standLimit, fromMilliseconds(m_options.passesToStand * m_passMs));
    m_isStanding = m_isStanding || (now - m_stepAt > limit && hasWork(now));
}

bool group_outlook::hasWork(time_point now) const
{
    return std::any_of(m_ranks.begin(), m_ranks.end(),
        [&](const auto& entry) { return entry.second.hasWork && now - entry.second.heardAt <= m_options.heardLimit; });
}

bool group_outlook::isHeard(time_point now) const
{
    return std::any_of(m_ranks.begin(), m_ranks.end(),
        [&](const auto& entry) { return now - entry.second.heardAt <= m_options.heardLimit; });
}

// Without any news nothing is known, which is no reason to refuse everybody.
bool group_outlook::isStanding(time_point now) const { return m_isStanding && isHeard(now); }

bool group_outlook::mayProbe(time_point now) const
{
    return condition(now) == group_condition::Standing && !hasWork(now) && now >= m_nextProbeAt;
}

bool group_outlook::areAllHeard(time_point now) const
{
    const auto heard = std::count_if(m_ranks.begin(), m_ranks.end(),
        [&](const auto& entry) { return now - entry.second.heardAt <= m_options.heardLimit; });
    return m_size > 0 && static_cast<std::uint32_t>(heard) >= m_size;
}

group_condition group_outlook::condition(time_point now) const
{
    if (isKnownBroken(now))
        return group_condition::Broken;
    return isStanding(now) ? group_condition::Standing : group_condition::Open;
}

group_forecast group_outlook::forecast(time_point now) const
{
    const auto known = condition(now);
    if (known == group_condition::Open)
        return { .openAt = now, .openBy = now, .isForming = false };
    // What has stood for a while will stand for about as long again.
    if (known == group_condition::Standing) {
        const auto likely = now + (now - m_stepAt);
        return { .openAt = likely, .openBy = likely, .isForming = false };
    }
    if (m_isBroken && areAllHeard(now)) {
        const auto since = m_allHeardSince.value_or(now);
        const auto formed = std::max<time_point>(since + m_options.formTime, now);
        return { .openAt = formed, .openBy = formed, .isForming = true };
    }
    const auto soonest = now + leastOutageLeft;
    return { .openAt = std::max<time_point>(m_stoppedAt + m_usualOutage, soonest),
        .openBy = std::max<time_point>(m_stoppedAt + m_longestOutage, soonest),
        .isForming = false };
}

} // namespace coltsfootbend
