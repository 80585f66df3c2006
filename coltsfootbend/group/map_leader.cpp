#include "coltsfootbend/group/map_leader.h"

#include "coltsfootbend/base/log_event.h"
#include "coltsfootbend/net/fiber_signal.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace coltsfootbend {

namespace {

// Interval between rounds while the group is incomplete. A group that forms anew uses its initial map.
constexpr std::chrono::milliseconds waitInterval { 100 };
// Timeout of holding a pass, including repetitions.
constexpr std::chrono::milliseconds holdTimeout { 250 };
// Timeout of a single hold order: an engine answers an order immediately or not at all.
constexpr std::chrono::milliseconds holdAnswerTimeout { 40 };
// Timeouts of releasing a pass at all ranks, and at the holder alone.
constexpr std::chrono::milliseconds releaseTimeout { 600 };
constexpr std::chrono::milliseconds holderReleaseTimeout { 150 };
// Passes that are tried as the pass of a switch before the change is abandoned.
constexpr int maxHoldTries = 3;
// Timeouts of preparing a map without copies on one rank and on all.
constexpr std::chrono::milliseconds markTimeout { 200 };
constexpr std::chrono::milliseconds retireTimeout { 600 };
// Interval at which a change is tried again to be retired.
constexpr std::chrono::milliseconds retireInterval { 20 };
// Range of the random increment of a map version, which makes versions differ between leaders that do not know of each
// other.
constexpr std::uint32_t maxVersionIncrement = 1U << 16U;

std::string describe(const armed_switch& target)
{
    return "version=" + std::to_string(target.version) + " step=" + std::to_string(target.step);
}

// Describes how many ranks are missing and lists the first few, so that the length of a log line does not grow with the
// group.
std::string describeMissing(const std::vector<std::optional<wire::rank_state>>& states)
{
    constexpr std::size_t maxListed = 8;
    std::string listed;
    std::size_t missing = 0;
    for (std::size_t rank = 0; rank < states.size(); ++rank) {
        if (states[rank])
            continue;
        if (++missing <= maxListed)
            listed += (listed.empty() ? "" : ",") + std::to_string(rank);
    }
    return "missing=" + std::to_string(missing) + " first=" + (listed.empty() ? "-" : listed);
}

// An order to the local rank, carried out while the orders to the other ranks are under way.
class local_rank_order {
public:
    local_rank_order(
        fiber_runtime& runtime, map_participant& participant, const wire::rank_order& order, duration timeout)
        : m_work(std::make_shared<work>(runtime))
        , m_deadline(clock_type::now() + timeout)
    {
        runtime.spawn([work = m_work, &participant, order, deadline = m_deadline] {
            work->state = participant.answer(order, deadline);
            work->isDone.notify();
        });
    }

    // Blocks until the rank has answered or the deadline has passed.
    result<wire::rank_state> wait()
    {
        if (!m_work->state)
            (void)m_work->isDone.waitUntil(m_deadline);
        if (!m_work->state)
            return fail(error_kind::TimedOut, "the local engine did not answer", "Check the engine's log");
        return *m_work->state;
    }

private:
    struct work {
        explicit work(fiber_runtime& runtime)
            : isDone(runtime)
        {
        }
        std::optional<result<wire::rank_state>> state;
        fiber_signal isDone;
    };

    const std::shared_ptr<work> m_work; // Shared with the fiber, which may outlive this object.
    const time_point m_deadline;
};

// Returns the rows of `after` that differ from `before`.
std::vector<wire::rank_row> changedRows(const group_map& before, const group_map& after)
{
    std::vector<wire::rank_row> rows;
    for (std::uint32_t set = 0; set < after.size(); ++set) {
        for (rank_number rank = 0; rank < after[set].size(); ++rank) {
            if (after[set][rank] != before[set][rank])
                rows.push_back({ set, rank, after[set][rank] });
        }
    }
    return rows;
}

// Returns whether `map` can be the map of one rank for a model with `sets` sets of `experts` experts. Maps are what
// engines report.
bool fitsModel(const rank_experts& map, std::uint32_t sets, std::uint32_t experts)
{
    const auto isOfModel = [experts](std::uint32_t held) { return held < experts; };
    return map.size() == sets && std::all_of(map.begin(), map.end(), [&](const auto& set) {
        return std::all_of(set.begin(), set.end(), isOfModel);
    });
}

// Replaces earlier answers by later ones of the same rank.
void replaceEarlier(std::vector<result<wire::rank_state>>& answers, const std::vector<result<wire::rank_state>>& later)
{
    for (const auto& answer : later) {
        if (!answer)
            continue;
        const auto earlier = std::find_if(answers.begin(), answers.end(), [&](const auto& earlier) {
            return earlier && earlier->group == answer->group && earlier->rank == answer->rank;
        });
        if (earlier != answers.end())
            *earlier = answer;
    }
}

} // namespace

map_leader::map_leader(fiber_runtime& runtime, map_participant& participant, order_dispatcher& dispatcher,
    const options& options, std::minstd_rand::result_type seed)
    : m_runtime(runtime)
    , m_participant(participant)
    , m_dispatcher(dispatcher)
    , m_options(options)
    , m_planner(options.planner)
    , m_random(seed)
    , m_demand(options.sets, options.experts)
    , m_leaderRun(std::uniform_int_distribution<std::uint64_t>(1)(m_random))
    , m_timing(options.timing)
{
}

void map_leader::yieldToHigherTerm(const wire::rank_state& state)
{
    if (state.term > m_term)
        m_participant.observeTerm(state.term);
}

wire::order_scope map_leader::queryScope(rank_number rank) const
{
    return { .term = m_term,
        .group = m_group,
        .epoch = m_epoch,
        .engineIncarnation = rank < m_incarnations.size() ? m_incarnations[rank] : 0 };
}

wire::order_scope map_leader::nextOrderScope()
{
    auto scope = queryScope(m_localRank);
    scope.leaderRun = m_leaderRun;
    scope.serial = ++m_serial;
    return scope;
}

dispatch_result map_leader::sendToAll(const wire::rank_order& order, const std::vector<addressee>& to, duration timeout)
{
    auto dispatched = m_dispatcher.dispatch(order, to, clock_type::now() + timeout,
        { .interval = m_options.heartbeatInterval, .send = [this] { sendHeartbeat(); } });
    for (const auto& state : dispatched.states) {
        if (state && state->group == m_group)
            yieldToHigherTerm(*state);
    }
    return dispatched;
}

std::vector<addressee> map_leader::addresseesOf(const std::vector<member>& members) const
{
    std::vector<addressee> to;
    to.reserve(members.size());
    for (const auto& member : members)
        to.push_back({ .channel = member.channel,
            .incarnation = member.rank < m_incarnations.size() ? m_incarnations[member.rank] : 0 });
    return to;
}

// Only ranks that reported this formation receive orders: a rank of another group with an equal epoch number would
// carry the order out as well.
template <typename Order>
std::vector<result<wire::rank_state>> map_leader::orderAll(
    Order order, const std::vector<member>& members, duration timeout)
{
    order.scope = nextOrderScope();
    local_rank_order localOrder(m_runtime, m_participant, order, timeout);
    order.scope.engineIncarnation = 0;
    auto states = sendToAll(order, addresseesOf(members), timeout).states;
    states.insert(states.begin(), localOrder.wait());
    return states;
}

template <typename Order> std::vector<result<wire::rank_state>> map_leader::orderMembers(Order order, duration timeout)
{
    order.scope = nextOrderScope();
    order.scope.engineIncarnation = 0;
    return sendToAll(order, addresseesOf(m_members), timeout).states;
}

void map_leader::sendHeartbeat()
{
    const auto deadline = clock_type::now() + m_options.queryTimeout;
    const wire::rank_query query { .scope = { .term = m_term, .group = m_group, .epoch = m_epoch } };
    // The answers are not needed: a newer leader's term also arrives with the answers to the step itself.
    m_runtime.spawn([&dispatcher = m_dispatcher, query, to = addresseesOf(m_members), deadline] {
        (void)dispatcher.dispatch(query, to, deadline, {});
    });
}

// Prefers ranks in the local data centre: counts are by far the largest part of the answers, and traffic between data
// centres is expensive. Selects the same ranks in every round, so that the counts of each rank cover exactly one round.
void map_leader::selectDemandSources(std::vector<addressee>& to) const
{
    std::vector<std::pair<bool, std::size_t>> candidates;
    for (std::size_t index = 0; index < to.size(); ++index)
        candidates.emplace_back(to[index].channel->relayTarget().dataCentre != 0, index);
    std::sort(candidates.begin(), candidates.end());
    candidates.resize(std::min<std::size_t>(candidates.size(), m_options.maxDemandSources));
    for (const auto& [isRemote, index] : candidates)
        to[index].reportsDemand = true;
}

map_leader::states_by_rank map_leader::collectStates(duration timeout)
{
    m_allRanksAnswered = false;
    wire::rank_query query { .scope = { .term = m_term, .group = m_participant.group(), .epoch = m_epoch },
        .wantsDemand = true,
        .wantsMap = m_requestsMap };
    // A leader whose engine does not answer, or whose rank has changed, does no round, so that another rank takes over.
    const auto localState = m_participant.answer(query, clock_type::now() + timeout);
    if (!localState || localState->group != query.scope.group || leaderOf(m_term) != localState->rank
        || !isPlaceInGroup(localState->rank, localState->ranks))
        return {};
    m_group = localState->group;
    m_localRank = localState->rank;
    states_by_rank states(localState->ranks);
    states[localState->rank] = *localState;
    std::vector<addressee> to; // A copy: `m_peers` may be replaced while this fiber is blocked.
    for (const auto& channel : m_peers)
        to.push_back({ .channel = channel });
    selectDemandSources(to);
    auto dispatched = sendToAll(query, to, timeout);
    m_relayedDemand = std::move(dispatched.demand);
    std::map<rank_number, member> membersByDistance;
    for (std::size_t i = 0; i < dispatched.states.size(); ++i) {
        const auto& answer = dispatched.states[i];
        if (!answer || answer->group != m_group || answer->rank >= states.size() || answer->rank == localState->rank)
            continue;
        states[answer->rank] = *answer;
        if (answer->epoch == localState->epoch)
            membersByDistance[(answer->rank + localState->ranks - localState->rank) % localState->ranks]
                = { answer->rank, to[i].channel };
    }
    m_members.clear();
    for (auto& [distance, member] : membersByDistance)
        m_members.push_back(std::move(member));
    m_allRanksAnswered = m_members.size() + 1 == states.size();
    return states;
}

bool map_leader::isConfirmed(const group_resolution& seen)
{
    const auto states = collectStates(m_options.queryTimeout);
    return !isSuperseded() && !states.empty() && resolve(states) == seen;
}

duration map_leader::runRound(leader_term term)
{
    m_term = term;
    const auto states = collectStates(m_options.queryTimeout);
    if (isSuperseded() || states.empty())
        return waitInterval;
    updateEstimates(states);
    const auto resolution = resolve(states);
    logWaitReason(resolution, states);
    if (isRetiring(resolution) && m_retirement->marked)
        return retireAndRelease(resolution, states);
    switch (resolution.kind) {
    case group_action::Wait:
        return waitInterval;
    case group_action::Arm:
        logEvent(log_event::MapChangeStep, "finish=arm " + describe(resolution.target));
        if (armAll(resolution.target))
            releaseAll(resolution.target.step);
        return duration::zero();
    case group_action::Disarm:
        logEvent(log_event::MapChangeFailed, "finish=disarm " + describe(resolution.target));
        return retireAndRelease(resolution, states);
    case group_action::Release:
        logEvent(log_event::MapChangeStep, "finish=release step=" + std::to_string(resolution.heldStep));
        if (!resolution.isArmed)
            return retireAndRelease(resolution, states);
        releaseAll(resolution.heldStep);
        return duration::zero();
    case group_action::DisarmWithoutLeader:
    case group_action::ReleaseWithoutLeader:
        if (!isConfirmed(resolution))
            return duration::zero();
        logEvent(log_event::MapChangeFailed,
            std::string(resolution.kind == group_action::DisarmWithoutLeader ? "finish=disarm_without_leader "
                                                                             : "finish=release_without_leader ")
                + describe(resolution.target));
        return retireAndRelease(resolution, states);
    case group_action::Ready:
        return planAndChange(states);
    }
    return waitInterval;
}

// Logs the reason and the missing ranks only when the reason changes: a group may be stalled for as long as its leader
// waits.
void map_leader::logWaitReason(const group_resolution& resolution, const states_by_rank& states)
{
    const std::string reason = resolution.kind == group_action::Wait ? resolution.reason : "";
    if (reason == m_waitReason)
        return;
    m_waitReason = reason;
    if (reason.empty())
        return;
    logEvent(log_event::MapChangeStep,
        "wait=\"" + reason + "\" held=" + std::to_string(resolution.heldStep) + " " + describeMissing(states));
}

void map_leader::updateEstimates(const states_by_rank& states)
{
    for (const auto& state : states) {
        if (state)
            m_demand.add(state->demand);
    }
    m_demand.add(m_relayedDemand);
    m_demand.endRound();
    updateFormation(states);
    const auto& any = *std::find_if(states.begin(), states.end(), [](const auto& state) { return state.has_value(); });
    m_timing.recordPass(any->step, clock_type::now());
}

void map_leader::updateFormation(const states_by_rank& states)
{
    m_incarnations.resize(states.size());
    bool isRestarted = false;
    const auto epoch = states[m_localRank]->epoch;
    for (std::size_t rank = 0; rank < states.size(); ++rank) {
        const auto& state = states[rank];
        if (!state)
            continue;
        isRestarted = isRestarted
            || (m_incarnations[rank] != 0 && state->engineIncarnation != 0
                && m_incarnations[rank] != state->engineIncarnation);
        m_incarnations[rank] = state->engineIncarnation;
    }
    if (epoch == m_epoch && m_group == m_knownGroup && !isRestarted)
        return;
    m_knownGroup = m_group;
    logEvent(log_event::GroupChanged, "group=" + m_group + " epoch=" + std::to_string(epoch));
    m_epoch = epoch;
    m_map.reset();
    m_pendingVersion = 0;
    m_timing.restart();
}

bool map_leader::isMapKnown(const wire::rank_state& state) const { return m_map && m_mapVersion == state.mapVersion; }

bool map_leader::learnMap(const states_by_rank& states)
{
    const auto version = states.front()->mapVersion;
    const bool isOwnChange = m_pendingVersion != 0 && version == m_pendingVersion;
    const bool isReported = std::all_of(states.begin(), states.end(), [&](const auto& state) {
        return state && state->mapVersion == version && fitsModel(state->map, m_options.sets, m_options.experts);
    });
    m_requestsMap = !isOwnChange && !isReported;
    if (m_requestsMap)
        return false;
    m_mapVersion = version;
    if (isOwnChange) {
        m_map = m_pendingMap;
        logEvent(log_event::MapChanged, "group=" + m_group + " version=" + std::to_string(version));
        return true;
    }
    m_map.emplace(m_options.sets, rank_experts(states.size()));
    for (std::size_t rank = 0; rank < states.size(); ++rank) {
        for (std::size_t set = 0; set < m_options.sets; ++set)
            (*m_map)[set][rank] = states[rank]->map[set];
    }
    return true;
}

duration map_leader::planAndChange(const states_by_rank& states)
{
    const bool wasRequested = m_requestsMap;
    if (!isMapKnown(*states.front()) && !learnMap(states)) // A map that does not fit now hardly fits at once.
        return wasRequested ? m_options.roundInterval : duration::zero();
    if (!m_demand.isKnown())
        return m_options.roundInterval;
    std::vector<double> paces;
    for (const auto& state : states)
        paces.push_back(std::max(1.0, state->pace));
    const double factor = idleGainFactor(states);
    const auto plan = m_planner.plan(*m_map, m_demand.demand(), paces, m_options.planner.gainPerMove * factor);
    if (plan.gain() < m_options.minGain * factor)
        return m_options.roundInterval;
    executeChange(states, plan);
    return std::min<duration>(m_options.roundInterval, waitInterval);
}

double map_leader::idleGainFactor(const states_by_rank& states) const
{
    // Share of occupied slots above which every longer pass delays requests.
    constexpr double fullLoadShare = 0.75;
    // Factor in a group without any request.
    constexpr double maxFactor = 5;
    double requests = 0;
    for (const auto& state : states)
        requests += state->requests;
    const double share = requests / (static_cast<double>(states.size()) * m_options.slots);
    return 1 + (maxFactor - 1) * std::max(0.0, fullLoadShare - share) / fullLoadShare;
}

void map_leader::executeChange(const states_by_rank& states, const map_plan& plan)
{
    engine_map_version highest = 0;
    for (const auto& state : states)
        highest = std::max(highest, state->highestVersion);
    const auto version = highest + 1 + std::uniform_int_distribution<std::uint32_t>(0, maxVersionIncrement)(m_random);
    logEvent(log_event::MapPlanned,
        "group=" + m_group + " epoch=" + std::to_string(m_epoch) + " version=" + std::to_string(version)
            + " moves=" + std::to_string(plan.moves) + " skew_before=" + std::to_string(plan.skewBefore).substr(0, 5)
            + " skew_after=" + std::to_string(plan.skewAfter).substr(0, 5)
            + " drift=" + std::to_string(m_demand.drift()).substr(0, 5));
    const auto step = prepareAll(version, plan.next);
    if (!step)
        return;
    const auto held = holdFuturePass(*step);
    logEvent(log_event::MapChangeStep,
        "step=prepared version=" + std::to_string(version) + " begun=" + std::to_string(*step)
            + " held=" + std::to_string(held.value_or(0)));
    if (!held || isSuperseded())
        return; // A hold that takes effect later is found and released by the next round.
    m_pendingVersion = version;
    m_pendingMap = plan.next;
    if (!armAll({ version, *held }))
        return;
    releaseHeldPass(*held);
    logEvent(log_event::MapChangeStep,
        "step=armed version=" + std::to_string(version)
            + " passes_ms=" + std::to_string(std::lround(m_timing.passMilliseconds())));
}

std::optional<pass_number> map_leader::prepareAll(engine_map_version version, const group_map& map)
{
    // Most ranks know the map in use, so only the changed rows are sent at first; ranks that lack the base receive the
    // whole map.
    wire::rank_prepare prepare;
    prepare.version = version;
    prepare.baseVersion = m_mapVersion;
    prepare.changes = changedRows(*m_map, map);
    auto answers = orderAll(prepare, m_members, m_options.prepareTimeout);
    std::vector<member> ranksWithoutBase;
    for (std::size_t i = 1; i < answers.size(); ++i) {
        if (answers[i] && answers[i]->lacksBase)
            ranksWithoutBase.push_back(m_members[i - 1]);
    }
    const bool isBaseMissing = !ranksWithoutBase.empty() || (answers[0] && answers[0]->lacksBase);
    if (isBaseMissing && !isSuperseded()) {
        prepare.changes.clear();
        prepare.map = map;
        replaceEarlier(answers, orderAll(prepare, ranksWithoutBase, m_options.prepareTimeout));
    }
    pass_number step = 0;
    for (const auto& answer : answers) {
        if (!answer || answer->preparedVersion != version || !isOfFormation(*answer)) {
            logEvent(log_event::MapChangeFailed,
                "step=prepare version=" + std::to_string(version) + " why=\""
                    + (answer ? "rank " + std::to_string(answer->rank) + " did not prepare the map"
                              : toString(answer.error()))
                    + "\"");
            return std::nullopt;
        }
        step = std::max(step, answer->step);
    }
    return step;
}

const map_leader::member* map_leader::holder() const
{
    return m_members.empty() ? nullptr : &m_members[m_holderIndex % m_members.size()];
}

result<wire::rank_state> map_leader::holdPassAt(const member& holder, pass_number step)
{
    const auto deadline = clock_type::now() + holdTimeout;
    result<wire::rank_state> state = fail(error_kind::TimedOut, "the engine did not confirm the hold", "");
    while (clock_type::now() < deadline && !isSuperseded()) {
        // The result is ignored: the rank's state shows whether the hold was carried out.
        (void)holder.channel->hold(m_epoch, step, std::min(deadline, clock_type::now() + holdAnswerTimeout));
        state = holder.channel->ask(wire::rank_query { .scope = queryScope(holder.rank) }, deadline);
        if (!state || !isOfFormation(*state) || state->heldStep != 0 || state->step >= step)
            break;
    }
    if (state && state->group == m_group)
        yieldToHigherTerm(*state);
    return state;
}

// Counts from the pass that the local rank has just begun, since the other ranks reported theirs before they copied
// experts. Passes before the switch run under the worse map, so the held pass is as near as arming permits; if the
// group reaches it early, only the remainder of arming delays it.
//
// The pass is held at another rank's engine, by a direct order from this process. If the local engine held the pass and
// its VM stalled, no other process could release it before the VM resumed, which takes longer than the timeouts of the
// group's streams.
std::optional<pass_number> map_leader::holdFuturePass(pass_number step)
{
    const auto* chosen = holder();
    for (int tries = 0; chosen && tries < maxHoldTries && !isSuperseded(); ++tries) {
        const auto current = m_participant.answer(
            wire::rank_query { .scope = queryScope(m_localRank) }, clock_type::now() + holdTimeout);
        if (current)
            step = std::max(step, current->step);
        // An order to release an earlier pass may still be carried out, so no pass is held that was released before.
        const auto target = std::max(step + m_timing.passesAhead(), m_participant.lastReleasedStep(m_epoch) + 1);
        const auto state = holdPassAt(*chosen, target);
        if (state && state->heldStep == target && isOfFormation(*state))
            return target;
        if (!state || !isOfFormation(*state) || state->heldStep != 0)
            break;
        step = std::max(step, state->step);
    }
    ++m_holderIndex; // The next change uses another holder.
    logEvent(log_event::MapChangeFailed, "step=hold");
    return std::nullopt;
}

// Arms the local rank last: a superseded leader that the other ranks no longer obey must not arm its own rank alone.
bool map_leader::armAll(const armed_switch& target)
{
    wire::rank_arm arm { .scope = {}, .version = target.version, .step = target.step };
    const auto isArmed = [&](const result<wire::rank_state>& state) {
        return state && isOfFormation(*state) && state->term == m_term && !state->isArmUncertain
            && (state->mapVersion == target.version
                || (state->armedVersion == target.version && state->armedStep == target.step));
    };
    const auto begunAt = clock_type::now();
    const auto answers = orderMembers(arm, m_options.armTimeout);
    const bool allArmed = m_allRanksAnswered && std::all_of(answers.begin(), answers.end(), isArmed);
    if (!allArmed || isSuperseded()) {
        m_timing.recordArming(clock_type::now() - begunAt);
        logEvent(log_event::MapChangeFailed, "step=arm " + describe(target));
        return false;
    }
    arm.scope = nextOrderScope();
    const bool isLocalArmed = isArmed(m_participant.answer(arm, clock_type::now() + m_options.armTimeout));
    m_timing.recordArming(clock_type::now() - begunAt);
    return isLocalArmed && !isSuperseded();
}

void map_leader::disarmAll(engine_map_version version)
{
    (void)orderAll(wire::rank_disarm { .scope = {}, .version = version }, m_members, m_options.armTimeout);
}

bool map_leader::isRetiring(const group_resolution& resolution) const
{
    return m_retirement && m_retirement->step != 0 && m_retirement->step == resolution.heldStep
        && m_retirement->term == m_term && m_retirement->group == m_group && m_retirement->epoch == m_epoch;
}

duration map_leader::retireAndRelease(const group_resolution& resolution, const states_by_rank& states)
{
    if (!retireChange(resolution, states))
        return retireInterval;
    if (resolution.heldStep != 0)
        releaseAll(resolution.heldStep);
    return duration::zero();
}

// An order to arm, disarm or release may be carried out at any later time, also by a repetition of one that was
// confirmed. A change that is given up must therefore not be taken up again, and a pass that is released must not be
// that of a change for which a rank can still be armed. Engines refuse to be armed for a map once they have prepared a
// later one, and keep that through all changes of leaders and restarts of agents.
bool map_leader::retireChange(const group_resolution& resolution, const states_by_rank& states)
{
    const auto map = retirementMap(states);
    if (!map)
        return false;
    beginRetirement(resolution, states);
    if (!markRetirement(*map, states) || isSuperseded())
        return false;
    const auto armed = std::find_if(states.begin(), states.end(),
        [](const auto& state) { return state && state->armedVersion > state->mapVersion; });
    if (armed != states.end())
        disarmAll((*armed)->armedVersion);
    return retireOthers(*map, states.size()) && !isSuperseded();
}

void map_leader::beginRetirement(const group_resolution& resolution, const states_by_rank& states)
{
    engine_map_version highest = 0;
    for (const auto& state : states) {
        if (state)
            highest = std::max(highest, state->highestVersion);
    }
    const bool isContinued = isRetiring(resolution);
    // A version that was ordered earlier may have been prepared since.
    if (isContinued && highest <= m_retirement->version + states.size())
        return;
    const auto version = highest + 1 + std::uniform_int_distribution<std::uint32_t>(0, maxVersionIncrement)(m_random);
    m_retirement = retirement { .group = m_group,
        .epoch = m_epoch,
        .term = m_term,
        .step = resolution.heldStep,
        .version = version,
        .marked = {},
        .tried = 0,
        .retired = {},
        .missing = isContinued ? m_retirement->missing : resolution.missing };
    logEvent(log_event::MapChangeStep,
        "step=retire version=" + std::to_string(version) + " held=" + std::to_string(resolution.heldStep));
}

// Returns a copy, because preparing it changes the maps that the local rank knows.
std::optional<group_map> map_leader::retirementMap(const states_by_rank& states)
{
    const auto& local = *states[m_localRank];
    if (isMapKnown(local))
        return m_map;
    for (const auto version : { local.mapVersion, local.preparedVersion }) {
        if (const auto* known = m_participant.knownMap(m_epoch, version))
            return *known;
    }
    return learnMap(states) ? m_map : std::nullopt;
}

// The marker comes before any disarm: as long as all ranks are armed or can be, another leader may arm them all and
// release the pass. Each rank has a marker of its own, because one that was not confirmed may be prepared late.
bool map_leader::markRetirement(const group_map& map, const states_by_rank& states)
{
    auto& current = *m_retirement;
    std::vector<rank_number> candidates { m_localRank };
    for (const auto& member : m_members)
        candidates.push_back(member.rank);
    const auto deadline = clock_type::now() + retireTimeout;
    for (std::size_t i = 0; i < candidates.size() && !current.marked; ++i) {
        if (isSuperseded() || clock_type::now() >= deadline)
            break;
        const auto rank = candidates[current.tried % candidates.size()];
        const auto& state = states[rank];
        const bool isArmed = state && state->armedVersion != 0 && !state->isArmUncertain;
        if (state && !isArmed && prepareAt(rank, current.version + 1 + rank, map))
            current.marked = rank;
        else
            ++current.tried;
    }
    if (current.marked)
        current.retired.insert(*current.marked);
    return current.marked.has_value();
}

bool map_leader::prepareAt(rank_number rank, engine_map_version version, const group_map& map)
{
    wire::rank_prepare prepare {
        .scope = nextOrderScope(), .version = version, .map = map, .baseVersion = 0, .changes = {}
    };
    prepare.scope.engineIncarnation = queryScope(rank).engineIncarnation;
    const auto deadline = clock_type::now() + markTimeout;
    result<wire::rank_state> state = fail(error_kind::Unavailable, "the rank is not reached");
    if (rank == m_localRank)
        state = m_participant.answer(prepare, deadline);
    for (const auto& member : m_members) {
        if (member.rank == rank)
            state = member.channel->ask(prepare, deadline);
    }
    if (state && state->group == m_group)
        yieldToHigherTerm(*state);
    return state && isOfFormation(*state) && state->preparedVersion == version;
}

bool map_leader::retireOthers(const group_map& map, std::size_t ranks)
{
    auto& current = *m_retirement;
    wire::rank_prepare prepare { .scope = {}, .version = current.version, .map = map, .baseVersion = 0, .changes = {} };
    std::vector<member> others;
    for (const auto& member : m_members) {
        if (!current.retired.contains(member.rank))
            others.push_back(member);
    }
    std::vector<result<wire::rank_state>> answers;
    if (!current.retired.contains(m_localRank)) {
        answers = orderAll(prepare, others, retireTimeout);
    } else if (!others.empty()) {
        prepare.scope = nextOrderScope();
        prepare.scope.engineIncarnation = 0;
        answers = sendToAll(prepare, addresseesOf(others), retireTimeout).states;
    }
    for (const auto& answer : answers) {
        // A rank may have prepared its marker late.
        if (answer && isOfFormation(*answer) && answer->preparedVersion >= current.version && answer->armedVersion == 0)
            current.retired.insert(answer->rank);
    }
    auto settled = current.retired;
    if (current.missing)
        settled.insert(*current.missing);
    if (settled.size() < ranks)
        return false;
    logEvent(log_event::MapChangeStep, "step=retired version=" + std::to_string(current.version));
    return true;
}

// Asks only the holder first: an order to all ranks takes a round trip through the whole group, during which passes may
// be stopped.
void map_leader::releaseHeldPass(pass_number step)
{
    if (isSuperseded())
        return;
    if (const auto* at = holder()) {
        wire::rank_release release { .scope = nextOrderScope(), .step = step };
        release.scope.engineIncarnation = queryScope(at->rank).engineIncarnation;
        const auto state = at->channel->ask(release, clock_type::now() + holderReleaseTimeout);
        if (state && isOfFormation(*state) && state->heldStep == 0)
            return;
    }
    releaseAll(step);
}

void map_leader::releaseAll(pass_number step)
{
    if (isSuperseded())
        return;
    (void)orderAll(wire::rank_release { .scope = {}, .step = step }, m_members, releaseTimeout);
}

} // namespace coltsfootbend
