#include "coltsfootbend/gateway/group_monitor.h"

#include <algorithm>
#include <cmath>

namespace coltsfootbend {

namespace {

// Passes per measurement of the pass length: reports arrive at intervals, so fewer passes give too coarse a result.
constexpr std::uint64_t minMeasuredPasses = 4;
// Weight of a new sample in the moving average of the pass length.
constexpr double passSmoothingFactor = 0.3;
// Part by which the number of running requests may change during a measurement from which the stretch is computed.
constexpr double maxRunningChange = 0.25;
// Longer samples are dropped: they are pauses of an idle group, which makes no passes.
constexpr double maxPassMs = 1000;
// Weight of a new outage in the moving average of outage lengths.
constexpr double meanOutageSmoothingFactor = 0.5;
// Weight with which a shorter outage lowers the longest recent one.
constexpr double maxOutageSmoothingFactor = 0.15;
// Expected remainder of an outage that exceeds its expected length: it may end at any moment.
constexpr std::chrono::milliseconds minRemainingOutage { 500 };

} // namespace

const char* toString(group_condition condition)
{
    switch (condition) {
    case group_condition::Open:
        return "open";
    case group_condition::Stalled:
        return "standing";
    case group_condition::Broken:
        return "broken";
    }
    return "open";
}

void group_monitor::receiveReport(const endpoint& address, const engine_report& report, time_point now)
{
    // A report of a lower epoch is outdated, unless it comes from an engine that has just restarted.
    const bool isRestart = report.incarnation > m_newestIncarnation;
    m_newestIncarnation = std::max(m_newestIncarnation, report.incarnation);
    if (report.epoch < m_epoch && !isRestart)
        return;
    if (report.epoch != m_epoch)
        enterEpoch(report, now);
    m_size = std::max(m_size, report.ranks);
    m_ranks[address] = { now, report.running };
    updateStep(report.step, now);
    updateStalled(now);
    if (report.isOpen)
        onOpen(now);
    else
        onBroken(now);
}

void group_monitor::enterEpoch(const engine_report& report, time_point now)
{
    m_epoch = report.epoch;
    m_step = report.step;
    m_stepAt = now;
    m_isStalled = false;
    m_measuredStep = report.step;
    m_measuredAt = now;
    m_measuredRunning = 0;
    m_passMs = 0; // The new formation uses another map.
    m_stretch.onFormation(now);
    m_size = report.ranks;
    m_ranks.clear();
}

void group_monitor::updateStep(std::uint64_t step, time_point now)
{
    if (step > m_step) {
        m_step = step;
        m_stepAt = now;
        m_isStalled = false;
    }
    const auto passes = m_step - m_measuredStep;
    if (passes < minMeasuredPasses)
        return;
    const double sample = toMilliseconds(now - m_measuredAt) / static_cast<double>(passes);
    const double running = meanRunning(now);
    // Reported numbers lag behind the passes, so they only fit while they hardly change.
    if (sample < maxPassMs && std::abs(running - m_measuredRunning) <= maxRunningChange * running)
        m_stretch.recordPasses(sample, running, now);
    if (sample < maxPassMs)
        m_passMs = m_passMs == 0 ? sample : m_passMs + passSmoothingFactor * (sample - m_passMs);
    m_measuredStep = m_step;
    m_measuredAt = now;
    m_measuredRunning = running;
}

void group_monitor::onBroken(time_point now)
{
    if (!m_isBroken)
        m_outageStartedAt = m_hasBeenOpen ? m_stepAt : now;
    m_isBroken = true;
    m_brokenEpoch = m_epoch;
    m_brokenReportedAt = now;
    if (!areAllRanksReporting(now))
        m_allReportingSince.reset();
    else if (!m_allReportingSince)
        m_allReportingSince = now;
}

void group_monitor::onOpen(time_point now)
{
    // Ranks detect a failure one after the other: a report of a rank that has not detected it yet does not end the
    // outage.
    if (!m_isBroken)
        m_hasBeenOpen = true;
    if (!m_isBroken || (m_epoch == m_brokenEpoch && now - m_brokenReportedAt < m_options.maxReportAge))
        return;
    m_isBroken = false;
    m_allReportingSince.reset();
    m_openSince = now;
    m_isStalled = false;
    const bool isFirstFormation = !m_hasBeenOpen; // Not an outage, so its length is not learnt.
    m_hasBeenOpen = true;
    m_stepAt = now;
    m_measuredStep = m_step;
    m_measuredAt = now;
    m_stretch.onFormation(now);
    if (isFirstFormation)
        return;
    const duration lasted = now - m_outageStartedAt;
    m_meanOutage += fromMilliseconds(meanOutageSmoothingFactor * toMilliseconds(lasted - m_meanOutage));
    m_maxRecentOutage = std::max(lasted,
        m_maxRecentOutage - fromMilliseconds(maxOutageSmoothingFactor * toMilliseconds(m_maxRecentOutage - lasted)));
}

void group_monitor::receiveFailureProof(time_point now) { onBroken(now); }

bool group_monitor::isKnownBroken(time_point now) const
{
    return m_isBroken && now <= m_brokenReportedAt + m_options.maxBrokenAge;
}

// A group counts as stalled once it has work and makes no passes. Only a pass ends that: when all waiting requests have
// left, the group has no work and cannot be told from an idle one.
void group_monitor::updateStalled(time_point now)
{
    const auto limit
        = std::max<duration>(m_options.stallTimeout, fromMilliseconds(m_options.stallTimeoutPasses * m_passMs));
    m_isStalled = m_isStalled || (now - m_stepAt > limit && hasWork(now));
}

bool group_monitor::hasWork(time_point now) const
{
    return std::any_of(m_ranks.begin(), m_ranks.end(), [&](const auto& entry) {
        return entry.second.running > 0 && now - entry.second.receivedAt <= m_options.maxReportAge;
    });
}

bool group_monitor::isAnyRankReporting(time_point now) const
{
    return std::any_of(m_ranks.begin(), m_ranks.end(),
        [&](const auto& entry) { return now - entry.second.receivedAt <= m_options.maxReportAge; });
}

// Without recent reports the condition is unknown, which is no reason to refuse all requests.
bool group_monitor::isStalled(time_point now) const { return m_isStalled && isAnyRankReporting(now); }

bool group_monitor::mayProbe(time_point now) const
{
    return condition(now) == group_condition::Stalled && !hasWork(now) && now >= m_nextProbeAt;
}

bool group_monitor::areAllRanksReporting(time_point now) const
{
    const auto reporting = std::count_if(m_ranks.begin(), m_ranks.end(),
        [&](const auto& entry) { return now - entry.second.receivedAt <= m_options.maxReportAge; });
    return m_size > 0 && static_cast<std::uint32_t>(reporting) >= m_size;
}

double group_monitor::meanRunning(time_point now) const
{
    double sum = 0;
    double reporting = 0;
    for (const auto& [address, rank] : m_ranks) {
        if (now - rank.receivedAt > m_options.maxReportAge)
            continue;
        sum += rank.running;
        ++reporting;
    }
    return reporting > 0 ? sum / reporting : 0;
}

group_condition group_monitor::condition(time_point now) const
{
    if (isKnownBroken(now))
        return group_condition::Broken;
    return isStalled(now) ? group_condition::Stalled : group_condition::Open;
}

group_forecast group_monitor::forecast(time_point now) const
{
    const auto known = condition(now);
    if (known == group_condition::Open)
        return { .openAt = now, .openBy = now, .isForming = false };
    // A stall is expected to last as long again as it has lasted.
    if (known == group_condition::Stalled) {
        const auto estimate = now + (now - m_stepAt);
        return { .openAt = estimate, .openBy = estimate, .isForming = false };
    }
    if (m_isBroken && areAllRanksReporting(now)) {
        const auto since = m_allReportingSince.value_or(now);
        const auto formed = std::max<time_point>(since + m_options.formTime, now);
        return { .openAt = formed, .openBy = formed, .isForming = true };
    }
    const auto earliest = now + minRemainingOutage;
    return { .openAt = std::max<time_point>(m_outageStartedAt + m_meanOutage, earliest),
        .openBy = std::max<time_point>(m_outageStartedAt + m_maxRecentOutage, earliest),
        .isForming = false };
}

} // namespace coltsfootbend
