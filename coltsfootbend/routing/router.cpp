#include "coltsfootbend/routing/router.h"

#include "coltsfootbend/base/hash.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace coltsfootbend {

namespace {

// Weight of the latest measurement in the smoothed slowdown.
constexpr double slowdownSmoothing = 0.2;
// Bounds of one measurement, so that a single outlier does not dominate the average.
constexpr double minSlowdown = 0.25;
constexpr double maxSlowdown = 20;
// Number of workers sampled for the mean pending time.
constexpr std::size_t meanSamples = 8;

} // namespace

router::router(const options& options)
    : m_options(options)
    , m_random(options.seed)
{
}

void router::setWorkers(const std::vector<routing_worker>& workers)
{
    std::vector<worker_state> next;
    next.reserve(workers.size());
    for (const auto& worker : workers) {
        const auto known = m_index.find(worker.place.worker);
        if (known != m_index.end() && m_workers[known->second].worker.place == worker.place)
            next.push_back(std::move(m_workers[known->second]));
        else
            next.emplace_back();
        next.back().worker = worker;
    }
    m_workers = std::move(next);
    m_index.clear();
    m_names.clear();
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        m_index[m_workers[i].worker.place.worker] = i;
        m_names.push_back(m_workers[i].worker.place.worker);
    }
}

void router::setLeaving(const vm_id& worker)
{
    if (const auto found = m_index.find(worker); found != m_index.end())
        m_workers[found->second].worker.leaving = true;
}

void router::observe(time_point now, const vm_id& worker, const load_report& report)
{
    const auto found = m_index.find(worker);
    if (found == m_index.end())
        return;
    auto& state = m_workers[found->second];
    state.report = report;
    state.measuredAt = now - report.age;
    // The report includes the attempts of this entry VM that were sent before the measurement.
    while (!state.unreportedOrder.empty()) {
        const auto own = state.inFlight.find(state.unreportedOrder.front());
        if (own != state.inFlight.end() && own->second.sentAt > state.measuredAt)
            break;
        if (own != state.inFlight.end())
            markReported(state, own->second);
        state.unreportedOrder.pop_front();
    }
}

void router::markReported(worker_state& state, sent_attempt& own)
{
    if (own.isReported)
        return;
    own.isReported = true;
    state.unreported[own.priority] -= own.expected;
}

void router::recordDispatch(
    time_point now, const vm_id& worker, const attempt_id& attempt, const routing_request& request)
{
    const auto found = m_index.find(worker);
    if (found == m_index.end())
        return;
    auto& state = m_workers[found->second];
    const auto expected = request.serviceTime
        + fromMilliseconds(toMilliseconds(request.prefillTime) * (1 - cachedPrefixShare(state, request)));
    state.inFlight[attempt] = { .sentAt = now, .expected = expected, .priority = request.priority };
    if (state.unreported.size() <= request.priority)
        state.unreported.resize(request.priority + 1);
    state.unreported[request.priority] += expected;
    state.unreportedOrder.push_back(attempt);
    rememberPrefixes(state, request);
}

void router::recordEnd(time_point, const vm_id& worker, const attempt_id& attempt, std::optional<duration> served)
{
    const auto found = m_index.find(worker);
    if (found == m_index.end())
        return;
    auto& state = m_workers[found->second];
    const auto own = state.inFlight.find(attempt);
    if (own == state.inFlight.end())
        return;
    if (served && own->second.expected > duration::zero()) {
        const double ratio = toMilliseconds(*served) / toMilliseconds(own->second.expected);
        const double measured = std::clamp(ratio, minSlowdown, maxSlowdown);
        state.slowdown += slowdownSmoothing * (measured - state.slowdown);
        state.failures = 0;
        state.nextEjection = {};
    }
    markReported(state, own->second);
    state.inFlight.erase(own);
}

void router::recordFailure(time_point now, const vm_id& worker)
{
    const auto found = m_index.find(worker);
    if (found == m_index.end())
        return;
    auto& state = m_workers[found->second];
    if (++state.failures < m_options.failuresToEject)
        return;
    const auto ejected = std::count_if(
        m_workers.begin(), m_workers.end(), [&](const worker_state& other) { return other.ejectedUntil > now; });
    if (static_cast<double>(ejected + 1) > m_options.maxEjectedShare * static_cast<double>(m_workers.size()))
        return;
    state.nextEjection = state.nextEjection == duration::zero()
        ? m_options.initialEjection
        : std::min(state.nextEjection * 2, m_options.maxEjection);
    state.ejectedUntil = now + state.nextEjection;
    state.failures = m_options.failuresToEject - 1; // Ejects it again at its first failure after its return.
}

std::optional<run_place> router::choose(time_point now, const routing_request& request, const std::vector<vm_id>& tried)
{
    for (const auto scope : { search_scope::Local, search_scope::AllDataCentres, search_scope::IncludingSuspected }) {
        if (const auto index = pick(now, request, tried, scope))
            return m_workers[*index].worker.place;
    }
    return std::nullopt;
}

bool router::isUsable(
    time_point now, const worker_state& state, const std::vector<vm_id>& tried, search_scope scope) const
{
    if (state.worker.leaving)
        return false;
    if (scope == search_scope::Local && state.worker.remote)
        return false;
    if (scope != search_scope::IncludingSuspected && (state.worker.suspected || state.ejectedUntil > now))
        return false;
    return std::find(tried.begin(), tried.end(), state.worker.place.worker) == tried.end();
}

std::optional<std::size_t> router::pick(
    time_point now, const routing_request& request, const std::vector<vm_id>& tried, search_scope scope)
{
    std::optional<std::size_t> best;
    double bestCost = std::numeric_limits<double>::infinity();
    const auto consider = [&](std::size_t index, std::optional<double> cachedShare = {}) {
        if (!isUsable(now, m_workers[index], tried, scope))
            return false;
        const double cost = costMs(
            now, m_workers[index], request, cachedShare.value_or(cachedPrefixShare(m_workers[index], request)));
        if (cost < bestCost) {
            bestCost = cost;
            best = index;
        }
        return true;
    };

    if (m_workers.empty())
        return std::nullopt;
    if (!request.prefixes.empty()) {
        // Ranks the workers by the shortest prefix, the best available estimate of the longest prefix that many
        // requests share.
        const auto key = std::to_string(request.prefixes.front());
        const double bound = m_options.affinityLoadBound
            * (meanPendingMs(now, request.priority) + toMilliseconds(request.serviceTime + request.prefillTime));
        bool isFirst = true;
        for (const auto& name : rendezvousRanking(key, m_names, m_options.affinityCandidates)) {
            const auto index = m_index.at(name);
            // All entry VMs compute the same ranking, so the first worker holds the prefix if any entry VM has sent it.
            // If none has, the prefill costs the same on every worker.
            const auto cachedShare = isFirst ? std::optional<double>(1) : std::nullopt;
            isFirst = false;
            if (pendingMs(now, m_workers[index], request.priority) <= bound)
                consider(index, cachedShare);
        }
    }
    std::size_t considered = 0;
    const std::size_t start = m_random() % m_workers.size();
    const std::size_t stride = m_workers.size() > 1 ? 1 + m_random() % (m_workers.size() - 1) : 1;
    std::size_t index = start;
    for (std::size_t probes = 0; probes < m_workers.size() && considered < m_options.randomCandidates; ++probes) {
        if (consider(index))
            ++considered;
        index = (index + stride) % m_workers.size();
    }
    if (best)
        return best;
    // The stride may have skipped the only usable worker.
    for (std::size_t i = 0; i < m_workers.size() && !best; ++i)
        consider(i);
    return best;
}

double router::pendingMs(time_point now, const worker_state& state, std::uint32_t priority) const
{
    const double slots = std::max<std::uint32_t>(state.report.slots, 1);
    double pending = 0;
    if (!state.report.pendingService.empty()) {
        const auto index = std::min<std::size_t>(priority, state.report.pendingService.size() - 1);
        const double drained = toMilliseconds(now - state.measuredAt) * slots / state.slowdown;
        pending = std::max(0.0, toMilliseconds(state.report.pendingService[index]) - drained);
    }
    for (std::size_t other = 0; other < state.unreported.size() && other <= priority; ++other)
        pending += toMilliseconds(state.unreported[other]);
    return pending * state.slowdown / slots;
}

double router::costMs(
    time_point now, const worker_state& state, const routing_request& request, double cachedShare) const
{
    const double wait = pendingMs(now, state, request.priority);
    const double prefill = toMilliseconds(request.prefillTime) * (1 - cachedShare) * state.slowdown;
    const double service = toMilliseconds(request.serviceTime) * state.slowdown;
    double skew = 0;
    if (state.report.groupSlowestPending > duration::zero()) {
        const double slots = std::max<std::uint32_t>(state.report.slots, 1);
        const double slowest = toMilliseconds(state.report.groupSlowestPending) / slots;
        skew = std::max(0.0, wait + (prefill + service) / slots - slowest);
    }
    return wait + prefill + service + m_options.skewWeight * skew;
}

double router::cachedPrefixShare(const worker_state& state, const routing_request& request) const
{
    for (std::size_t i = request.prefixes.size(); i > 0; --i) {
        if (state.prefixes.contains(request.prefixes[i - 1]))
            return static_cast<double>(i) / static_cast<double>(request.prefixes.size());
    }
    return 0;
}

void router::rememberPrefixes(worker_state& state, const routing_request& request)
{
    for (const auto prefix : request.prefixes) {
        if (const auto known = state.prefixes.find(prefix); known != state.prefixes.end())
            state.prefixOrder.erase(known->second);
        state.prefixOrder.push_front(prefix);
        state.prefixes[prefix] = state.prefixOrder.begin();
    }
    while (state.prefixOrder.size() > m_options.maxPrefixes) {
        state.prefixes.erase(state.prefixOrder.back());
        state.prefixOrder.pop_back();
    }
}

// Returns the mean over a few workers drawn at random, which suffices to detect an overloaded worker at constant cost.
double router::meanPendingMs(time_point now, std::uint32_t priority)
{
    const auto samples = std::min(meanSamples, m_workers.size());
    double sum = 0;
    for (std::size_t i = 0; i < samples; ++i)
        sum += pendingMs(now, m_workers[m_random() % m_workers.size()], priority);
    return sum / static_cast<double>(std::max<std::size_t>(samples, 1));
}

duration router::expectedWait(time_point now, const vm_id& worker, std::uint32_t priority) const
{
    const auto found = m_index.find(worker);
    return found == m_index.end() ? duration::zero()
                                  : fromMilliseconds(pendingMs(now, m_workers[found->second], priority));
}

} // namespace coltsfootbend
