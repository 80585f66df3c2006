// The part of `backend_picker` that states why a request is refused and when its caller should return.

#include "coltsfootbend/gateway/backend_picker.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

// Time a new server takes to register; the wait that is stated when a deployment has no server.
constexpr std::chrono::milliseconds registrationTime { 2000 };
// The wait that is stated when all data centres of a deployment are evacuated: an evacuation has no stated end.
constexpr std::chrono::milliseconds evacuationRetryTime { 2000 };
// Retry times are jittered by up to this part of the stated time, so that retries do not arrive at once.
constexpr double retryJitterRatio = 0.5;
// Shortest retry time given to a caller.
constexpr std::chrono::milliseconds minRetryAfter { 250 };
// Lower bound for the permitted rate when waits are computed: servers may permit almost nothing, or a rate that is not
// known yet.
constexpr double minPermitsPerSecond = 0.05;
// Part of what the servers can take that is planned for returning callers even if new ones take all.
constexpr double minReturningShare = 0.1;

duration jittered(duration base, std::minstd_rand& random)
{
    return duration(static_cast<duration::rep>(
        static_cast<double>(base.count()) * std::uniform_real_distribution<double>(1, 1 + retryJitterRatio)(random)));
}

} // namespace

refused_pick backend_picker::refuse(
    refusal_reason reason, duration wait, duration startLatency, const pick_request& request, time_point now)
{
    const auto maxHonoured = std::max<duration>((request.deadline - now) / retryAfterDivisor, duration::zero());
    const auto jitteredWait = std::max<duration>(jittered(wait, m_random), minRetryAfter);
    return { .reason = reason,
        .retryAfter = std::min(jitteredWait, std::max<duration>(maxHonoured, minRetryAfter)),
        .expectedWait = wait,
        .startLatency = startLatency,
        .expectedOpenAt = {} };
}

refused_pick backend_picker::refuseForNoCandidates(const pick_request& request, time_point now)
{
    auto openAt = time_point::max();
    const backend_state* first = nullptr;
    bool isAnyInUse = false;
    bool isAnyEvacuated = false;
    bool isAnyElsewhere = false;
    auto reason = refusal_reason::BackingOff;
    for (const auto& [id, state] : m_backends) {
        if (state.server.deployment != request.deployment || state.server.isLeaving)
            continue;
        isAnyElsewhere = isAnyElsewhere || !isAtHome(state, request);
        if (!isAtHome(state, request))
            continue;
        isAnyInUse = isAnyInUse || isInUse(state);
        isAnyEvacuated = isAnyEvacuated || !isInUse(state);
        if (!isInUse(state))
            continue;
        const auto backoffEnd = m_notices.unavailableUntil(state.server.instance(), now);
        const auto coldEnd = isExcluded(request, state.server) ? std::nullopt : state.nextColdSendAt;
        const auto until = backoffEnd ? backoffEnd : coldEnd;
        if (!until || *until >= openAt)
            continue;
        openAt = *until;
        first = &state;
        reason = backoffEnd ? refusal_reason::BackingOff : refusal_reason::Cold;
    }
    if (!isAnyInUse && !isAnyEvacuated && isAnyElsewhere)
        return refuse(refusal_reason::NoHomeServers, registrationTime, {}, request, now);
    if (!isAnyInUse && isAnyEvacuated)
        return refuse(refusal_reason::Evacuated, evacuationRetryTime, {}, request, now);
    if (!first)
        return refuse(refusal_reason::NoServers, registrationTime, {}, request, now);
    auto refused
        = refuse(reason, openAt - now, startLatencyAt(*first, m_deployments[request.deployment]), request, now);
    refused.expectedOpenAt = openAt;
    // A retry before the backoff ends would be refused again, so the time exceeds it even if callers do not wait that
    // long. Jittered, so that callers do not retry at once.
    refused.retryAfter = std::max<duration>(jittered(openAt - now, m_random), minRetryAfter);
    return refused;
}

refused_pick backend_picker::refuseForGroups(
    const std::vector<backend_state*>& servers, const pick_request& request, time_point now)
{
    std::vector<group_key> keys;
    keys.reserve(servers.size());
    for (const auto* state : servers)
        keys.push_back(groupKeyOf(*state));
    const auto known = m_groups.forecast(keys, now);
    // Without any report, the first one is about to arrive: a new gateway has just subscribed to them.
    const group_forecast unknown { .openAt = now + maxFirstReportWait, .openBy = now + maxFirstReportWait };
    const auto forecast = known ? known->first : unknown;
    const auto reason = !known || known->isAnyStalled ? refusal_reason::GroupStalled : refusal_reason::GroupDown;
    const auto server = std::find_if(servers.begin(), servers.end(),
        [&](const auto* state) { return !known || groupKeyOf(*state) == known->group; });
    auto refused = refuse(
        reason, forecast.openBy - now, startLatencyAt(**server, m_deployments[request.deployment]), request, now);
    refused.expectedOpenAt = forecast.openAt;
    // The time exceeds the expected outage even if callers do not wait that long: a caller retries once, so one that
    // returns too early is lost, while one that returns later than necessary is still served.
    refused.retryAfter = std::max<duration>(forecast.openBy - now, minRetryAfter);
    refused.requestInterval = returnInterval(**server, request);
    return refused;
}

refused_pick backend_picker::refuseForLimits(
    const std::vector<backend_state*>& servers, std::size_t ahead, const pick_request& request, time_point now)
{
    double permitsPerSecond = 0;
    auto earliestPermitAt = time_point::max();
    for (const auto* state : servers) {
        permitsPerSecond += m_notices.shareOf(state->server.instance());
        earliestPermitAt = std::min(earliestPermitAt, m_notices.expectedAt(state->server.instance(), now));
    }
    const auto requestInterval = fromMilliseconds(1000 / std::max(permitsPerSecond, minPermitsPerSecond));
    const auto wait = earliestPermitAt - now + static_cast<int>(ahead) * requestInterval;
    // A caller that returns before its turn is refused again, so the time is stated even if it does not wait that long.
    return { .reason = refusal_reason::Limited,
        .retryAfter = std::max<duration>(jittered(wait, m_random), minRetryAfter),
        .expectedWait = wait,
        .requestInterval = requestInterval,
        .startLatency = startLatencyAt(*servers.front(), m_deployments[request.deployment]),
        .expectedOpenAt = {} };
}

duration backend_picker::returnInterval(const backend_state& server, const pick_request& request) const
{
    const auto found = m_deployments.find(request.deployment);
    if (found == m_deployments.end() || !found->second.engine)
        return duration::zero();
    const auto& deployment = found->second;
    const auto servers = std::count_if(m_backends.begin(), m_backends.end(), [&](const auto& entry) {
        return entry.second.server.deployment == request.deployment && isInUse(entry.second);
    });
    const double all
        = static_cast<double>(servers) * passModelOf(server, *deployment.engine).requestsPerSecond(request.gapTarget);
    const double own = all / equivalentGateways(deployment);
    const double forReturning = std::max(own - deployment.requestsPerSecond, minReturningShare * own);
    return forReturning > 0 ? fromMilliseconds(1000 / forReturning) : duration::zero();
}

duration backend_picker::scheduleRetry(const pick_request& request, const refused_pick& refused, time_point now)
{
    const return_request caller { .earliest = now + refused.retryAfter,
        .interval = refused.requestInterval,
        .deadline = request.deadline,
        .mayCrowd = refused.reason != refusal_reason::Limited };
    return m_deployments[request.deployment].returns.assign(caller, now) - now;
}

refused_pick backend_picker::refuseForLoad(
    const backend_state& chosen, const deployment_state& deployment, const pick_request& request, time_point now)
{
    auto refused = refuse(refusal_reason::Overloaded, predictFirstEvent(chosen, deployment, now),
        startLatencyAt(chosen, deployment), request, now);
    refused.requestInterval = returnInterval(chosen, request);
    return refused;
}

} // namespace coltsfootbend
