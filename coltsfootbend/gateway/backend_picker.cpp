#include "coltsfootbend/gateway/backend_picker.h"

#include "coltsfootbend/gateway/server_choice.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

// How long a sent request is counted on top of the server's report: the agents' report interval plus the transfer time.
// A later report includes it.
constexpr std::chrono::milliseconds reportLag { 150 };
// Requests sent within this time are in no report yet: the agents' report interval plus the transfer time.
constexpr double unreportedWindowSeconds = 0.2;
// Weight of a new gap between two requests in the moving average of the gaps between requests.
constexpr double rateSmoothingFactor = 0.05;
// Longer gaps between two requests count as this long, so that an idle time does not dominate the average.
constexpr double maxGapSeconds = 2;
// Failure rates above this count as this rate: a server that fails every request still gets an occasional one, which
// shows when it has recovered.
constexpr double maxFailureRate = 0.9;
// For this long after a group opened, its reports do not include yet what all gateways send to it.
constexpr std::chrono::milliseconds reportSettleTime { 300 };
// Interval at which all gateways together send a probing request to a stalled group that has no work.
constexpr std::chrono::milliseconds probeInterval { 30 };
// Part of the slots that returning callers, which were refused before, may fill; the rest is reserved for new ones.
constexpr double maxReturningSlotShare = 0.8;

} // namespace

backend_picker::backend_picker(options options, std::minstd_rand::result_type seed)
    : m_options(std::move(options))
    , m_random(seed)
{
}

void backend_picker::setServers(const std::map<backend_id, backend_server>& servers, const catalogue& catalogue)
{
    for (const auto& [id, server] : servers) {
        auto& state = m_backends[id];
        const bool isCurrent = enterIncarnation(state, server.incarnation);
        const auto known = state.server.incarnation;
        if (state.server.address != server.address)
            state.replacedUntil = {};
        state.server = server;
        if (!isCurrent)
            state.server.incarnation = known; // The engine reported its restart before the store did.
    }
    std::erase_if(m_backends, [&](const auto& entry) { return !servers.contains(entry.first); });
    m_backendsAt.clear();
    for (const auto& [id, state] : m_backends)
        m_backendsAt[state.server.address].push_back(id);
    for (const auto& deployment : catalogue.deployments()) {
        auto& state = m_deployments[deployment.id];
        state.engine = deployment.engine;
        state.coldTime = deployment.coldTime;
        state.coldRequestsPerSecond = deployment.coldRequestsPerSecond;
        m_groups.configure(deployment);
    }
}

bool backend_picker::enterIncarnation(backend_state& state, backend_incarnation received)
{
    if (received < state.server.incarnation)
        return received.isNone();
    if (received == state.server.incarnation)
        return true;
    auto server = state.server;
    server.incarnation = received;
    state = {};
    state.server = std::move(server);
    return true;
}

backend_picker::backend_state* backend_picker::find(const backend_instance& instance)
{
    const auto found = m_backends.find(instance.id);
    return found == m_backends.end() || found->second.server.incarnation != instance.incarnation ? nullptr
                                                                                                 : &found->second;
}

void backend_picker::receiveReport(const endpoint& address, const engine_report& report, time_point now)
{
    const auto listed = m_backendsAt.find(address);
    if (listed == m_backendsAt.end())
        return;
    for (const auto& id : listed->second) {
        auto& state = m_backends.at(id);
        const auto listedIncarnation = state.server.incarnation;
        if (!enterIncarnation(state, report.incarnation))
            continue;
        // The server has restarted under its name, and the list does not state yet how long it is cold.
        if (state.server.incarnation != listedIncarnation && !listedIncarnation.isNone())
            state.reportedColdUntil = now + m_deployments[state.server.deployment].coldTime;
        state.report = report;
        state.reportedAt = now;
        state.agentReportedAt = now;
        std::erase_if(state.unreportedSentAt, [&](time_point sent) { return sent + reportLag < now; });
        const auto unreported = std::min<std::size_t>(state.unreportedSentAt.size(), state.inFlight);
        m_deployments[state.server.deployment].share.record(
            static_cast<double>(state.inFlight - unreported), report.running + report.waiting);
        m_groups.receiveReport(state.server.deployment, address, report, now);
    }
}

group_key backend_picker::groupKeyOf(const backend_state& state)
{
    return { state.server.deployment, state.report ? state.report->group : "" };
}

bool backend_picker::isGroupKnownClosed(const backend_state& state, time_point now) const
{
    const auto* group = groupOf(state);
    return group && group->condition(now) != group_condition::Open;
}

bool backend_picker::isGroupUnknown(const backend_state& state) const
{
    const auto found = m_deployments.find(state.server.deployment);
    return found != m_deployments.end() && found->second.engine && found->second.engine->hasExpertMaps()
        && !groupOf(state);
}

// After an outage servers register again before their agents have reported that the group is still broken. Requests
// that were sent to such servers as if they were idle used up their attempts. If no report arrives although no group is
// known to be closed, the agent itself may be unreachable, and the server is used.
bool backend_picker::isGroupOpen(const backend_state& state, time_point now) const
{
    if (!isGroupUnknown(state))
        return !isGroupKnownClosed(state, now);
    return state.groupUnknownSince && now >= *state.groupUnknownSince + maxFirstReportWait
        && !m_groups.isAnyClosed(state.server.deployment, now);
}

duration backend_picker::silenceOf(const backend_state& state, time_point now)
{
    return state.inFlight > 0 ? now - std::max(state.lastDataAt, state.awaitedSince) : duration::zero();
}

bool backend_picker::isAvoided(const backend_state& state, time_point now) const
{
    return now < state.ejectedUntil || now < state.avoidedUntil || isSilent(state, now)
        || hasStoppedReporting(state, now);
}

bool backend_picker::isSilent(const backend_state& state, time_point now) const
{
    const auto silence = silenceOf(state, now);
    if (silence < m_options.silenceLimit)
        return false;
    // A server whose first events take long now is not silent.
    const auto deployment = m_deployments.find(state.server.deployment);
    return deployment == m_deployments.end() || silence >= 2 * predictFirstEvent(state, deployment->second, now);
}

// Without reports the load of a server is taken to be what this gateway itself sends to it, so a server whose VM is
// suspended would look like the emptiest one of all.
bool backend_picker::hasStoppedReporting(const backend_state& state, time_point now) const
{
    if (state.agentReportedAt == time_point {})
        return false;
    const duration pause = now - std::max(state.agentReportedAt, state.lastDataAt);
    return pause > m_options.maxReportAge && pause < m_options.maxReportPause;
}

bool backend_picker::mayTakeOver(const backend_state& state, const pick_request& request, time_point now) const
{
    if (!request.silentSince)
        return true;
    const bool isSending = state.inFlight == 0 || state.lastDataAt > *request.silentSince;
    return isSending && !isAvoided(state, now);
}

duration backend_picker::backoffAfter(std::uint32_t count) const
{
    constexpr std::uint32_t maxDoublings = 8;
    const auto factor = 1U << std::min(count - 1, maxDoublings);
    return std::min<duration>(m_options.baseEjectionTime * factor, m_options.maxEjectionTime);
}

server_condition backend_picker::conditionOf(const backend_instance& server, time_point now) const
{
    const auto found = m_backends.find(server.id);
    if (found == m_backends.end())
        return server_condition::Silent;
    if (isGroupKnownClosed(found->second, now))
        return server_condition::GroupStalled;
    return silenceOf(found->second, now) >= m_options.silenceLimit ? server_condition::Silent
                                                                   : server_condition::Sending;
}

void backend_picker::onGroupFailed(const backend_instance& server, time_point now)
{
    const auto* state = find(server);
    if (!state || !state->report)
        return;
    m_groups.receiveFailureProof(groupKeyOf(*state), now);
}

void backend_picker::receiveResponseLoad(
    const backend_instance& server, std::uint32_t running, std::uint32_t waiting, time_point now)
{
    auto* found = find(server);
    if (!found)
        return;
    auto& state = *found;
    if (!state.report)
        state.report.emplace();
    state.report->running = running;
    state.report->waiting = waiting;
    state.reportedAt = now;
    state.unreportedSentAt.clear();
}

double backend_picker::loadOf(const backend_state& state, time_point now) const
{
    double load = state.inFlight;
    if (state.report && now - state.reportedAt <= m_options.maxReportAge) {
        const double reported
            = state.report->running + state.report->waiting + static_cast<double>(state.unreportedSentAt.size());
        load = std::max(load, reported);
    }
    return load;
}

bool backend_picker::mustYieldToNew(
    const pick_request& request, const deployment_state& deployment, time_point now) const
{
    double slots = 0;
    double inFlight = 0;
    double load = 0;
    bool isReported = true;
    for (const auto& [id, state] : m_backends) {
        if (!isServing(state, request.deployment, now) || !isGroupOpen(state, now))
            continue;
        slots += passModelOf(state, *deployment.engine).runningLimit(request.gapTarget);
        inFlight += state.inFlight;
        load += loadOf(state, now);
        const auto* group = groupOf(state);
        isReported = isReported && group && now > group->openSince() + reportSettleTime
            && now - state.reportedAt <= m_options.maxReportAge;
    }
    const double gateways = equivalentGateways(deployment);
    if (inFlight < maxReturningSlotShare * slots / gateways)
        return false;
    // Callers return to gateways unevenly, so another gateway may leave slots unused that this one needs; reports show
    // that. Judged by this gateway's share alone, requests would be refused while slots are free.
    const double otherGateways = deployment.requestsPerSecond * (gateways - 1) * unreportedWindowSeconds;
    return !isReported || load + otherGateways >= maxReturningSlotShare * slots;
}

double backend_picker::reservedSlots(
    const pick_request& request, const deployment_state& deployment, std::size_t servers) const
{
    return request.moreUrgentPerSecond * equivalentGateways(deployment) * unreportedWindowSeconds
        / static_cast<double>(servers);
}

pass_model backend_picker::passModelOf(const backend_state& state, const engine_model& engine) const
{
    const auto* group = groupOf(state);
    return { engine, group ? group->passMs() : 0, group ? group->stretch() : 0 };
}

duration backend_picker::startLatencyAt(const backend_state& state, const deployment_state& deployment) const
{
    return deployment.engine ? passModelOf(state, *deployment.engine).startLatency() : duration::zero();
}

duration backend_picker::predictFirstEvent(
    const backend_state& state, const deployment_state& deployment, time_point now) const
{
    if (!deployment.engine)
        return fromMilliseconds(state.meanLatencyMs);
    return passModelOf(state, *deployment.engine).firstEventLatency(loadOf(state, now));
}

double backend_picker::scoreOf(const backend_state& state, const deployment_state& deployment, time_point now) const
{
    double score = loadOf(state, now);
    if (state.server.dataCentre != m_options.localDataCentre)
        score += m_options.remoteDataCentrePenalty;
    if (!deployment.engine && state.meanLatencyMs > 0)
        score = (score + 1) * state.meanLatencyMs / 10; // A slower server needs a proportionally lower load.
    if (state.report && state.report->pace > 1)
        score = (score + 1) * state.report->pace;
    const double successRate = 1 - std::min(state.failureRate, maxFailureRate);
    return (score + 1) / (successRate * successRate);
}

bool backend_picker::isServing(const backend_state& state, const deployment_id& deployment, time_point now) const
{
    return state.server.deployment == deployment && isInUse(state)
        && !m_notices.isUnavailable(state.server.instance(), now);
}

bool backend_picker::isAtHome(const backend_state& state, const pick_request& request) const
{
    if (!request.homeRegions)
        return true;
    const auto region = m_options.regions.find(state.server.dataCentre);
    return region != m_options.regions.end() && request.homeRegions->contains(region->second);
}

std::vector<backend_picker::backend_state*> backend_picker::candidates(const pick_request& request, time_point now)
{
    std::vector<backend_state*> all;
    std::vector<backend_state*> preferred;
    bool canAnyTake = false;
    for (auto& [id, state] : m_backends) {
        if (!isServing(state, request.deployment, now) || !isAtHome(state, request) || isExcluded(request, state.server)
            || now < state.replacedUntil || !mayTakeOver(state, request, now) || !mayStartOn(state, now))
            continue;
        if (isGroupUnknown(state) && !state.groupUnknownSince)
            state.groupUnknownSince = now;
        all.push_back(&state);
        if (isAvoided(state, now))
            continue;
        preferred.push_back(&state);
        canAnyTake = canAnyTake || m_notices.canAcquire(state.server.instance(), now);
    }
    // An ejection or the silence of a server may not matter, so both are ignored if no other server can take the
    // request: refusing every request would be worse.
    return canAnyTake ? preferred : all;
}

// The gateways' first requests to a cold server are spread over the interval at random, so that all of them together
// keep to the rate that it accepts, also those that cannot reach each other.
duration backend_picker::coldInterval(const deployment_state& deployment) const
{
    return deployment.coldRequestsPerSecond > 0
        ? fromMilliseconds(1000 * equivalentGateways(deployment) / deployment.coldRequestsPerSecond)
        : duration::zero();
}

bool backend_picker::mayStartOn(backend_state& state, time_point now)
{
    if (!isCold(state, now)) {
        state.nextColdSendAt.reset();
        return true;
    }
    if (!state.nextColdSendAt) {
        const auto interval = toMilliseconds(coldInterval(m_deployments[state.server.deployment]));
        state.nextColdSendAt = now + fromMilliseconds(std::uniform_real_distribution<double>(0, interval)(m_random));
    }
    return now >= *state.nextColdSendAt;
}

void backend_picker::updateRequestRate(deployment_state& deployment, time_point now)
{
    if (deployment.lastSentAt != time_point {}) {
        const double gap = std::clamp(toMilliseconds(now - deployment.lastSentAt) / 1000, 0.001, maxGapSeconds);
        // Requests arrive in bursts, so the gaps are averaged and not the rates, which their inverses are.
        const double mean = deployment.requestsPerSecond > 0 ? 1 / deployment.requestsPerSecond : gap;
        deployment.requestsPerSecond = 1 / (mean + rateSmoothingFactor * (gap - mean));
    }
    deployment.lastSentAt = now;
}

bool backend_picker::hasFreeSlot(const backend_state& state, const deployment_state& deployment,
    const pick_request& request, std::size_t servers, time_point now) const
{
    return !deployment.engine
        || loadOf(state, now) + 1 + reservedSlots(request, deployment, servers)
        <= passModelOf(state, *deployment.engine).runningLimit(request.gapTarget);
}

// A request that had trouble elsewhere is not used to find out whether a limit has ended.
backend_picker::backend_state* backend_picker::findUnconfirmed(const std::vector<backend_state*>& usable,
    const deployment_state& deployment, const pick_request& request, time_point now) const
{
    if (request.silentSince || request.isResumption || !request.excluded.empty())
        return nullptr;
    const auto found = std::find_if(usable.begin(), usable.end(), [&](const auto* state) {
        return m_notices.mustConfirmLimit(state->server.instance(), now)
            && hasFreeSlot(*state, deployment, request, usable.size(), now);
    });
    return found == usable.end() ? nullptr : *found;
}

// All gateways wait for the answer that shows the end of a limit, and a permit that is not used at once lapses. By load
// alone most permits for a server with a low limit would lapse.
backend_picker::backend_state& backend_picker::choose(const std::vector<backend_state*>& usable,
    const deployment_state& deployment, const pick_request& request, time_point now)
{
    if (auto* unconfirmed = findUnconfirmed(usable, deployment, request, now))
        return *unconfirmed;
    // The loads include what this gateway has sent, so only the requests of the others are unreported.
    const double unreported
        = 1 + deployment.requestsPerSecond * (equivalentGateways(deployment) - 1) * unreportedWindowSeconds;
    std::vector<double> scores;
    scores.reserve(usable.size());
    for (const auto* state : usable)
        scores.push_back(scoreOf(*state, deployment, now));
    return *usable[chooseServer(scores, unreported, std::uniform_real_distribution<double>()(m_random))];
}

bool backend_picker::keepProbeTargets(std::vector<backend_state*>& servers, time_point now)
{
    const auto found = std::find_if(servers.begin(), servers.end(), [&](const auto* state) {
        const auto* group = groupOf(*state);
        return group && group->mayProbe(now);
    });
    if (found == servers.end())
        return false;
    const auto probed = groupKeyOf(**found);
    const double gateways = allEquivalentGateways(m_deployments[probed.deployment]);
    m_groups.onProbeSent(probed, now + fromMilliseconds(gateways * toMilliseconds(probeInterval)));
    std::erase_if(servers, [&](const auto* state) { return groupKeyOf(*state) != probed; });
    return true;
}

// Chooses the server at random, so that permit requests spread evenly over the limited servers.
void backend_picker::requestPermit(const std::vector<backend_state*>& servers, time_point now)
{
    std::vector<const backend_state*> withoutPermit;
    for (const auto* state : servers) {
        if (!m_notices.canAcquire(state->server.instance(), now))
            withoutPermit.push_back(state);
    }
    if (withoutPermit.empty())
        return;
    const auto& server
        = withoutPermit[std::uniform_int_distribution<std::size_t>(0, withoutPermit.size() - 1)(m_random)]->server;
    const auto serial = m_notices.beginPermitRequest(server.instance(), now);
    if (serial && m_sendPermitRequest)
        m_sendPermitRequest(server, *serial);
}

backend_picker::server_summary backend_picker::summarise(const deployment_id& deployment, time_point now) const
{
    server_summary summary;
    for (const auto& [id, state] : m_backends) {
        if (state.server.deployment != deployment)
            continue;
        ++summary.listed;
        summary.reporting += state.report && !hasStoppedReporting(state, now) ? 1 : 0;
        summary.leaving += state.server.isLeaving || m_notices.isLeaving(state.server.instance()) ? 1 : 0;
        summary.evacuated += m_evacuated.contains(state.server.dataCentre) ? 1 : 0;
        summary.unavailable += m_notices.isUnavailable(state.server.instance(), now) ? 1 : 0;
        summary.avoided += isAvoided(state, now) ? 1 : 0;
        summary.groupClosed += isGroupOpen(state, now) ? 0 : 1;
    }
    return summary;
}

std::optional<refused_pick> backend_picker::keepPermitted(
    std::vector<backend_state*>& servers, const pick_request& request, time_point now)
{
    requestPermit(servers, now);
    const auto withoutPermit = std::partition(servers.begin(), servers.end(),
        [&](const auto* state) { return m_notices.canAcquire(state->server.instance(), now); });
    const bool isAnyUnlimited = std::any_of(servers.begin(), withoutPermit,
        [&](const auto* state) { return !m_notices.isLimited(state->server.instance()); });
    const auto permitted = static_cast<std::size_t>(withoutPermit - servers.begin());
    if (!isAnyUnlimited && (permitted == 0 || (!request.hasTurn && request.ahead >= permitted)))
        return refuseForLimits(servers, request.ahead - std::min(request.ahead, permitted), request, now);
    servers.erase(withoutPermit, servers.end());
    return std::nullopt;
}

tl::expected<picked_backend, refused_pick> backend_picker::pick(const pick_request& request, time_point now)
{
    auto& deployment = m_deployments[request.deployment];
    auto usable = candidates(request, now);
    if (usable.empty())
        return tl::unexpected(refuseForNoCandidates(request, now));
    const auto firstNotOpen
        = std::partition(usable.begin(), usable.end(), [&](const auto* state) { return isGroupOpen(*state, now); });
    if (firstNotOpen != usable.begin())
        usable.erase(firstNotOpen, usable.end());
    else if (request.silentSince || request.isInquiry || request.isResumption || !keepProbeTargets(usable, now))
        return tl::unexpected(refuseForGroups(usable, request, now));
    if (auto refused = keepPermitted(usable, request, now))
        return tl::unexpected(*refused);
    auto& chosen = choose(usable, deployment, request, now);
    const auto predictedLatency = predictFirstEvent(chosen, deployment, now);
    const double load = loadOf(chosen, now);
    if (deployment.engine && !request.isResumption) {
        const double limit = passModelOf(chosen, *deployment.engine).runningLimit(request.gapTarget);
        // An idle server takes any request.
        const double reserved = std::min(reservedSlots(request, deployment, usable.size()), limit - 1);
        const double waiting = load + 1 + reserved - limit;
        const bool isTooLate
            = predictedLatency > (request.isReturning ? request.deadline - now : request.latencyTarget);
        // It would run, but slow down all others or take a slot that more urgent requests need.
        const bool wouldSlowOthers = load + 1 <= deployment.engine->slots || reserved > 0;
        const bool mustYield = request.isReturning && mustYieldToNew(request, deployment, now);
        if (mustYield || (waiting > 0 && (isTooLate || wouldSlowOthers)))
            return tl::unexpected(refuseForLoad(chosen, deployment, request, now));
    }
    if (chosen.nextColdSendAt && !request.isInquiry)
        chosen.nextColdSendAt = now + coldInterval(deployment);
    return picked_backend { .server = chosen.server,
        .predictedLatency = predictedLatency,
        .load = load,
        .reportAge = chosen.report ? std::optional<duration>(now - chosen.reportedAt) : std::nullopt };
}

void backend_picker::onRequestSent(const backend_instance& server, time_point now)
{
    auto* state = find(server);
    if (!state)
        return;
    updateRequestRate(m_deployments[state->server.deployment], now);
    if (state->inFlight == 0)
        state->awaitedSince = now;
    ++state->inFlight;
    state->unreportedSentAt.push_back(now);
}

void backend_picker::onDataReceived(const backend_instance& server, time_point now)
{
    auto* state = find(server);
    if (!state)
        return;
    state->lastDataAt = now;
    state->consecutiveMoves = 0;
    state->avoidedUntil = {};
}

void backend_picker::onRequestFinished(
    const backend_instance& server, backend_outcome outcome, std::optional<duration> latency, time_point now)
{
    auto* found = find(server);
    if (!found)
        return;
    auto& state = *found;
    const bool wasSilent = isSilent(state, now);
    if (state.inFlight > 0)
        --state.inFlight;
    if (outcome == backend_outcome::Replaced)
        state.replacedUntil = now + m_options.maxReplacedTime;
    // While its group makes no passes, no rank can answer, so a failure does not indicate a fault of this server.
    if (isGroupKnownClosed(state, now))
        return;
    // Silence is no fault: sound servers pause. It only counts until the server sends something.
    if (outcome == backend_outcome::Unresponsive) {
        state.avoidedUntil = now + backoffAfter(++state.consecutiveMoves);
        return;
    }
    // The callers that waited have left, so no response can end the silence. Callers leave at the same time, so their
    // number does not show how long the silence lasts.
    if (outcome == backend_outcome::Abandoned) {
        if (wasSilent)
            state.avoidedUntil = std::max<time_point>(state.avoidedUntil, now + m_options.baseEjectionTime);
        return;
    }
    const bool isFailure = outcome == backend_outcome::Broken || outcome == backend_outcome::Failed;
    state.failureRate += m_options.smoothingFactor * ((isFailure ? 1 : 0) - state.failureRate);
    if (outcome == backend_outcome::Broken) {
        state.ejectedUntil = now + backoffAfter(++state.consecutiveBrokenExchanges);
        return;
    }
    state.consecutiveBrokenExchanges = 0;
    // The server is full or its group is broken; reports show when that ends.
    if (outcome == backend_outcome::Busy)
        state.ejectedUntil = now + m_options.baseEjectionTime / 2;
    if (latency && outcome == backend_outcome::Answered) {
        const double sample = toMilliseconds(*latency);
        state.meanLatencyMs
            += (state.meanLatencyMs == 0 ? 1 : m_options.smoothingFactor) * (sample - state.meanLatencyMs);
    }
}

} // namespace coltsfootbend
