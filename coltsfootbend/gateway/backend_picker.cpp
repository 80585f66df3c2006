#include "coltsfootbend/gateway/backend_picker.h"

#include "coltsfootbend/gateway/server_choice.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

// Own requests count on top of a report until a later report must include them: the reports' interval and lag.
constexpr std::chrono::milliseconds reportLag { 150 };
// What the gateways send within this time is not in anybody's report yet: the agents' interval and the way there.
constexpr double unseenSeconds = 0.2;
// Weight of a new gap between two requests in the rate.
constexpr double rateSmoothing = 0.05;
constexpr double longestGapSeconds = 2;
// A server that fails everything still gets a request now and then, which shows when it is well again.
constexpr double highestFailureShare = 0.9;
// Without servers: about how long a new one takes to register.
constexpr std::chrono::milliseconds registrationTime { 2000 };
// Returns are spread over this share of the stated time, so that they do not come as one wave.
constexpr double retrySpread = 0.5;
constexpr std::chrono::milliseconds leastRetryAfter { 250 };
// Reports of a group that has just opened do not show yet what all gateways send to it.
constexpr std::chrono::milliseconds reportsSettleAfter { 300 };
// All gateways together send a request this often into a group that stands with nothing to run.
constexpr std::chrono::milliseconds probeEvery { 30 };
// Where servers take next to nothing, or how much is not known yet.
constexpr double leastShare = 0.05;
// Callers that were refused before get no more of the slots than this: the rest is for new ones.
constexpr double returningShareOfSlots = 0.8;

duration jittered(duration base, std::minstd_rand& random)
{
    return duration(static_cast<duration::rep>(
        static_cast<double>(base.count()) * std::uniform_real_distribution<double>(1, 1 + retrySpread)(random)));
}

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
        const bool isNews = enterLife(state, server.life);
        const auto life = state.server.life;
        if (state.server.address != server.address)
            state.replacedUntil = {};
        state.server = server;
        if (!isNews)
            state.server.life = life; // The engine told of its restart before the store did.
    }
    std::erase_if(m_backends, [&](const auto& entry) { return !servers.contains(entry.first); });
    for (const auto& deployment : catalogue.deployments())
        m_deployments[deployment.id].engine = deployment.engine;
    for (auto& [key, outlook] : m_groups) {
        if (const auto& engine = m_deployments[key.deployment].engine)
            outlook.setFormTime(engine->formTime);
    }
}

bool backend_picker::enterLife(backend_state& state, backend_life life)
{
    if (life < state.server.life)
        return life.isNone();
    if (life == state.server.life)
        return true;
    auto server = state.server;
    server.life = life;
    state = {};
    state.server = std::move(server);
    return true;
}

backend_picker::backend_state* backend_picker::find(const backend_instance& instance)
{
    const auto found = m_backends.find(instance.id);
    return found == m_backends.end() || found->second.server.life != instance.life ? nullptr : &found->second;
}

void backend_picker::report(const endpoint& address, const engine_report& report, time_point now)
{
    for (auto& [id, state] : m_backends) {
        if (state.server.address != address || !enterLife(state, report.life))
            continue;
        state.report = report;
        state.reportedAt = now;
        std::erase_if(state.sentAt, [&](time_point sent) { return sent + reportLag < now; });
        if (report.group.empty())
            continue;
        const group_key key { state.server.deployment, report.group };
        auto known = m_groups.find(key);
        if (known == m_groups.end()) {
            known = m_groups.emplace(key, group_outlook()).first;
            if (const auto& engine = m_deployments[key.deployment].engine)
                known->second.setFormTime(engine->formTime);
        }
        known->second.hear(address, report, now);
    }
}

const group_outlook* backend_picker::groupOf(const backend_state& state) const
{
    if (!state.report || state.report->group.empty())
        return nullptr;
    const auto found = m_groups.find({ state.server.deployment, state.report->group });
    return found == m_groups.end() ? nullptr : &found->second;
}

bool backend_picker::isMoving(const backend_state& state, time_point now) const
{
    const auto* group = groupOf(state);
    return !group || group->condition(now) == group_condition::Open;
}

bool backend_picker::isMoving(const backend_instance& server, time_point now) const
{
    const auto found = m_backends.find(server.id);
    return found == m_backends.end() || isMoving(found->second, now);
}

bool backend_picker::isOpen(const deployment_id& deployment, time_point now) const
{
    return std::any_of(m_backends.begin(), m_backends.end(),
        [&](const auto& entry) { return isServing(entry.second, deployment, now) && isMoving(entry.second, now); });
}

void backend_picker::groupFailed(const backend_instance& server, time_point now)
{
    const auto* state = find(server);
    if (!state || !state->report)
        return;
    const auto found = m_groups.find({ state->server.deployment, state->report->group });
    if (found != m_groups.end())
        found->second.hearProof(now);
}

std::vector<backend_picker::group_view> backend_picker::groups(time_point now) const
{
    std::vector<group_view> views;
    for (const auto& [key, outlook] : m_groups) {
        views.push_back({ .deployment = key.deployment,
            .group = key.group,
            .condition = outlook.condition(now),
            .forecast = outlook.forecast(now),
            .lastPassAt = outlook.lastPassAt(),
            .passMs = outlook.passMs() });
    }
    return views;
}

void backend_picker::responseLoad(
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
    state.sentAt.clear();
}

double backend_picker::loadOf(const backend_state& state, time_point now) const
{
    double load = state.inFlight;
    if (state.report && now - state.reportedAt <= m_options.reportLimit) {
        const double reported
            = state.report->running + state.report->waiting + static_cast<double>(state.sentAt.size());
        load = std::max(load, reported);
    }
    return load;
}

bool backend_picker::isBehindNew(const pick_request& request, const deployment_state& deployment, time_point now) const
{
    double slots = 0;
    double inFlight = 0;
    double load = 0;
    bool isReported = true;
    for (const auto& [id, state] : m_backends) {
        if (!isServing(state, request.deployment, now) || !isMoving(state, now))
            continue;
        slots += deployment.engine->slots;
        inFlight += state.inFlight;
        load += loadOf(state, now);
        const auto* group = groupOf(state);
        isReported = isReported && group && now > group->openSince() + reportsSettleAfter
            && now - state.reportedAt <= m_options.reportLimit;
    }
    if (inFlight < returningShareOfSlots * slots / m_gateways)
        return false;
    // Callers come back to gateways unevenly: what one has too many of, another has room for, and reports show it.
    // By the own part alone, some were refused while slots were free.
    const double others = deployment.requestsPerSecond * (m_gateways - 1) * unseenSeconds;
    return !isReported || load + others >= returningShareOfSlots * slots;
}

pass_model backend_picker::modelOf(const backend_state& state, const engine_model& engine) const
{
    const auto* group = groupOf(state);
    return { engine, group ? group->passMs() : 0 };
}

duration backend_picker::startLatencyAt(const backend_state& state, const deployment_state& deployment) const
{
    return deployment.engine ? modelOf(state, *deployment.engine).start() : duration::zero();
}

duration backend_picker::predictFirst(const backend_state& state, const deployment_state& group, time_point now) const
{
    if (!group.engine)
        return fromMilliseconds(state.latencyMs);
    return modelOf(state, *group.engine).firstEvent(loadOf(state, now));
}

double backend_picker::scoreOf(const backend_state& state, const deployment_state& group, time_point now) const
{
    double score = loadOf(state, now);
    if (state.server.dataCentre != m_options.home)
        score += m_options.otherDataCentreHandicap;
    if (!group.engine && state.latencyMs > 0)
        score = (score + 1) * state.latencyMs / 10; // Slower servers have to be that much emptier.
    if (state.report && state.report->pace > 1)
        score = (score + 1) * state.report->pace;
    const double good = 1 - std::min(state.failureShare, highestFailureShare);
    return (score + 1) / (good * good);
}

bool backend_picker::isServing(const backend_state& state, const deployment_id& deployment, time_point now) const
{
    return state.server.deployment == deployment && !state.server.isLeaving
        && !m_notices.isClosed(state.server.instance(), now);
}

std::vector<backend_picker::backend_state*> backend_picker::candidates(const pick_request& request, time_point now)
{
    std::vector<backend_state*> all;
    std::vector<backend_state*> trusted;
    bool isAnyOpen = false;
    for (auto& [id, state] : m_backends) {
        const bool isExcluded = std::find(request.excluded.begin(), request.excluded.end(), state.server.instance())
            != request.excluded.end();
        if (!isServing(state, request.deployment, now) || isExcluded || now < state.replacedUntil)
            continue;
        all.push_back(&state);
        if (now < state.ejectedUntil)
            continue;
        trusted.push_back(&state);
        isAnyOpen = isAnyOpen || m_notices.mayTake(state.server.instance(), now);
    }
    // A suspicion may be wrong; refusing everybody because of it would be worse.
    return isAnyOpen ? trusted : all;
}

pick_refused backend_picker::refuse(
    pick_refusal reason, duration wait, duration startLatency, const pick_request& request, time_point now)
{
    const auto honoured = std::max<duration>((request.deadline - now) / mostHonouredPart, duration::zero());
    const auto asked = std::max<duration>(jittered(wait, m_random), leastRetryAfter);
    return { .reason = reason,
        .retryAfter = std::min(asked, std::max<duration>(honoured, leastRetryAfter)),
        .expectedWait = wait,
        .startLatency = startLatency,
        .expectedOpenAt = {} };
}

pick_refused backend_picker::refuseForWantOfServers(const pick_request& request, time_point now)
{
    auto openAt = time_point::max();
    const backend_state* first = nullptr;
    for (const auto& [id, state] : m_backends) {
        const auto until = m_notices.closedUntil(state.server.instance(), now);
        if (state.server.deployment != request.deployment || state.server.isLeaving || !until || *until >= openAt)
            continue;
        openAt = *until;
        first = &state;
    }
    if (!first)
        return refuse(pick_refusal::NoServers, registrationTime, {}, request, now);
    auto refused = refuse(
        pick_refusal::Resting, openAt - now, startLatencyAt(*first, m_deployments[request.deployment]), request, now);
    refused.expectedOpenAt = openAt;
    // Beyond the rest, also where that is later than callers heed, and not all of them in the same moment.
    refused.retryAfter = std::max<duration>(jittered(openAt - now, m_random), leastRetryAfter);
    return refused;
}

pick_refused backend_picker::refuseForGroups(
    const std::vector<backend_state*>& servers, const pick_request& request, time_point now)
{
    std::optional<group_forecast> first;
    bool isStanding = false;
    const backend_state* firstServer = servers.front();
    for (const auto* state : servers) {
        const auto* group = groupOf(*state);
        const auto forecast = group->forecast(now);
        isStanding = isStanding || group->condition(now) == group_condition::Standing;
        if (first && forecast.openAt >= first->openAt)
            continue;
        first = forecast;
        firstServer = state;
    }
    auto refused = refuse(isStanding ? pick_refusal::GroupStanding : pick_refusal::GroupDown, first->openBy - now,
        startLatencyAt(*firstServer, m_deployments[request.deployment]), request, now);
    refused.expectedOpenAt = first->openAt;
    // Beyond the outage, also where that is later than callers heed: one that is back too early is lost, and one
    // that comes later than need be is served just as late.
    refused.retryAfter = std::max<duration>(first->openBy - now, leastRetryAfter);
    return refused;
}

void backend_picker::noteRate(deployment_state& group, time_point now)
{
    if (group.lastSentAt != time_point {}) {
        const double gap = std::clamp(toMilliseconds(now - group.lastSentAt) / 1000, 0.001, longestGapSeconds);
        // Averages the gaps, not their inverses: requests come in clumps.
        const double mean = group.requestsPerSecond > 0 ? 1 / group.requestsPerSecond : gap;
        group.requestsPerSecond = 1 / (mean + rateSmoothing * (gap - mean));
    }
    group.lastSentAt = now;
}

backend_picker::backend_state& backend_picker::choose(
    const std::vector<backend_state*>& usable, const deployment_state& group, time_point now)
{
    const double unseen = std::max(1.0, group.requestsPerSecond * m_gateways * unseenSeconds);
    std::vector<double> scores;
    scores.reserve(usable.size());
    for (const auto* state : usable)
        scores.push_back(scoreOf(*state, group, now));
    return *usable[chooseServer(scores, unseen, std::uniform_real_distribution<double>()(m_random))];
}

bool backend_picker::keepProbed(std::vector<backend_state*>& servers, time_point now)
{
    const auto found = std::find_if(servers.begin(), servers.end(), [&](const auto* state) {
        const auto* group = groupOf(*state);
        return group && group->mayProbe(now);
    });
    if (found == servers.end())
        return false;
    const group_key probed { (*found)->server.deployment, (*found)->report->group };
    m_groups.at(probed).noteProbe(now + probeEvery * m_gateways);
    std::erase_if(servers, [&](const auto* state) { return state->report->group != probed.group; });
    return true;
}

// Wishes are drawn by chance, so that many limited servers are asked for evenly.
void backend_picker::wishForPermit(const std::vector<backend_state*>& servers, time_point now)
{
    std::vector<const backend_state*> lacking;
    for (const auto* state : servers) {
        if (!m_notices.mayTake(state->server.instance(), now))
            lacking.push_back(state);
    }
    if (lacking.empty())
        return;
    const auto& server = lacking[std::uniform_int_distribution<std::size_t>(0, lacking.size() - 1)(m_random)]->server;
    const auto serial = m_notices.wish(server.instance(), now);
    if (serial && m_askPermit)
        m_askPermit(server, *serial);
}

std::optional<pick_refused> backend_picker::keepPermitted(
    std::vector<backend_state*>& servers, const pick_request& request, time_point now)
{
    wishForPermit(servers, now);
    const auto lacking = std::partition(servers.begin(), servers.end(),
        [&](const auto* state) { return m_notices.mayTake(state->server.instance(), now); });
    const bool isAnyFree = std::any_of(
        servers.begin(), lacking, [&](const auto* state) { return !m_notices.isLimited(state->server.instance()); });
    const auto permits = static_cast<std::size_t>(std::distance(servers.begin(), lacking));
    const auto& line = m_deployments[request.deployment].line;
    const auto ahead = request.place ? line.ahead(*request.place) : line.aheadOfNew(request.priority);
    if (!isAnyFree && ahead >= permits)
        return refuseForLimits(servers, ahead - permits, request, now);
    servers.erase(lacking, servers.end());
    return std::nullopt;
}

pick_refused backend_picker::refuseForLimits(
    const std::vector<backend_state*>& servers, std::size_t ahead, const pick_request& request, time_point now)
{
    double share = 0;
    auto firstAt = time_point::max();
    for (const auto* state : servers) {
        share += m_notices.shareOf(state->server.instance());
        firstAt = std::min(firstAt, m_notices.expectedAt(state->server.instance(), now));
    }
    const auto perRequest = fromMilliseconds(1000 / std::max(share, leastShare));
    auto& deployment = m_deployments[request.deployment];
    const auto wait = firstAt - now + static_cast<int>(ahead) * perRequest;
    auto refused = refuse(pick_refusal::Limited, wait, startLatencyAt(*servers.front(), deployment), request, now);
    refused.spacing = perRequest;
    return refused;
}

duration backend_picker::scheduleReturn(const pick_request& request, const pick_refused& refused, time_point now)
{
    if (refused.spacing <= duration::zero())
        return refused.retryAfter;
    auto& last = m_deployments[request.deployment].lastReturnAt;
    const auto honoured = std::max<duration>((request.deadline - now) / mostHonouredPart, leastRetryAfter);
    const auto returnAt = std::max(now + refused.retryAfter, last + refused.spacing);
    last = std::min(returnAt, now + honoured);
    return last - now;
}

tl::expected<picked_backend, pick_refused> backend_picker::pick(const pick_request& request, time_point now)
{
    auto& group = m_deployments[request.deployment];
    auto usable = candidates(request, now);
    if (usable.empty())
        return tl::unexpected(refuseForWantOfServers(request, now));
    const auto moving
        = std::partition(usable.begin(), usable.end(), [&](const auto* state) { return isMoving(*state, now); });
    if (moving != usable.begin())
        usable.erase(moving, usable.end());
    else if (!keepProbed(usable, now))
        return tl::unexpected(refuseForGroups(usable, request, now));
    if (auto refused = keepPermitted(usable, request, now))
        return tl::unexpected(*refused);
    auto& chosen = choose(usable, group, now);
    const auto predicted = predictFirst(chosen, group, now);
    const double load = loadOf(chosen, now);
    if (group.engine && !request.isResumption) {
        const double waiting = load + 1 - modelOf(chosen, *group.engine).runningLimit(request.gapTarget);
        const bool isTooLate = predicted > (request.isReturning ? request.deadline - now : request.latencyTarget);
        const bool isTooSlow = load + 1 <= group.engine->slots; // It would run, and slow all others down.
        const bool isBehind = request.isReturning && isBehindNew(request, group, now);
        if (isBehind || (waiting > 0 && (isTooLate || isTooSlow)))
            return tl::unexpected(
                refuse(pick_refusal::Overloaded, predicted, startLatencyAt(chosen, group), request, now));
    }
    return picked_backend { .server = chosen.server,
        .predicted = predicted,
        .load = load,
        .reportAge = chosen.report ? std::optional<duration>(now - chosen.reportedAt) : std::nullopt };
}

void backend_picker::sent(const backend_instance& server, time_point now)
{
    auto* state = find(server);
    if (!state)
        return;
    noteRate(m_deployments[state->server.deployment], now);
    ++state->inFlight;
    state->sentAt.push_back(now);
}

void backend_picker::finished(
    const backend_instance& server, backend_outcome outcome, std::optional<duration> latency, time_point now)
{
    auto* found = find(server);
    if (!found)
        return;
    auto& state = *found;
    if (state.inFlight > 0)
        --state.inFlight;
    // While the group does not move, no rank can answer, so that it says nothing of this one.
    if (outcome == backend_outcome::Replaced)
        state.replacedUntil = now + m_options.replacedLimit;
    if (outcome == backend_outcome::Abandoned || !isMoving(state, now))
        return;
    const bool isBreak = outcome == backend_outcome::Broken || outcome == backend_outcome::Silent;
    const bool isFailure = isBreak || outcome == backend_outcome::Failed;
    state.failureShare += m_options.smoothing * ((isFailure ? 1 : 0) - state.failureShare);
    if (isBreak) {
        ++state.consecutiveBreaks;
        const auto factor = 1U << std::min(state.consecutiveBreaks - 1, 8U);
        state.ejectedUntil = now + std::min<duration>(m_options.ejection * factor, m_options.longestEjection);
        return;
    }
    state.consecutiveBreaks = 0;
    if (outcome == backend_outcome::Busy)
        state.ejectedUntil = now + m_options.ejection / 2; // It is full or its group broke; reports tell when not.
    if (latency && outcome == backend_outcome::Answered) {
        const double sample = toMilliseconds(*latency);
        state.latencyMs += (state.latencyMs == 0 ? 1 : m_options.smoothing) * (sample - state.latencyMs);
    }
}

} // namespace coltsfootbend
