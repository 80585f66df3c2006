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
constexpr std::chrono::milliseconds waitCycle { 100 };
// Timeout of holding a pass, including repetitions.
constexpr std::chrono::milliseconds holdLimit { 250 };
// Timeout of a single hold order: an engine answers an order immediately or not at all.
constexpr std::chrono::milliseconds holdAnswerLimit { 40 };
// Timeouts of releasing a pass at all ranks, and at the holder alone.
constexpr std::chrono::milliseconds releaseLimit { 600 };
constexpr std::chrono::milliseconds holderReleaseLimit { 150 };
// Passes that are tried as the pass of a switch before the change is abandoned.
constexpr int holdTries = 3;
// Bounds of the number of passes between the current one and a switch.
constexpr pass_number leastPassesAhead = 2;
constexpr pass_number mostPassesAhead = 16;
// Range of the random increment of a map version, which makes versions differ between leaders that do not know of each
// other.
constexpr std::uint32_t versionSpread = 1U << 16U;
// Weight of the newest measurement in the smoothed pass duration.
constexpr double passSmoothing = 0.3;

std::string describe(const armed_switch& target)
{
    return "version=" + std::to_string(target.version) + " step=" + std::to_string(target.step);
}

// Describes how many ranks are missing and lists the first few, so that the length of a log line does not grow with the
// group.
std::string describeMissing(const std::vector<std::optional<wire::rank_state>>& states)
{
    constexpr std::size_t mostNamed = 8;
    std::string named;
    std::size_t missing = 0;
    for (std::size_t rank = 0; rank < states.size(); ++rank) {
        if (states[rank])
            continue;
        if (++missing <= mostNamed)
            named += (named.empty() ? "" : ",") + std::to_string(rank);
    }
    return "missing=" + std::to_string(missing) + " first=" + (named.empty() ? "-" : named);
}

// An order to the leader's own rank, carried out while the orders to the other ranks are under way.
class own_answer {
public:
    own_answer(fiber_runtime& runtime, map_participant& own, const wire::rank_order& order, duration limit)
        : m_work(std::make_shared<work>(runtime))
        , m_limit(clock_type::now() + limit)
    {
        runtime.spawn([work = m_work, &own, order, limit = m_limit] {
            work->state = own.answer(order, limit);
            work->isDone.notify();
        });
    }

    // Blocks until the rank has answered or the deadline has passed.
    result<wire::rank_state> take()
    {
        if (!m_work->state)
            (void)m_work->isDone.waitUntil(m_limit);
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
    const time_point m_limit;
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

// Replaces earlier answers by later ones of the same rank.
void takeOver(std::vector<result<wire::rank_state>>& answers, const std::vector<result<wire::rank_state>>& later)
{
    for (const auto& answer : later) {
        if (!answer)
            continue;
        const auto former = std::find_if(answers.begin(), answers.end(), [&](const auto& former) {
            return former && former->group == answer->group && former->rank == answer->rank;
        });
        if (former != answers.end())
            *former = answer;
    }
}

} // namespace

map_leader::map_leader(fiber_runtime& runtime, map_participant& own, order_carrier& carrier, const options& options,
    std::minstd_rand::result_type seed)
    : m_runtime(runtime)
    , m_own(own)
    , m_carrier(carrier)
    , m_options(options)
    , m_planner(options.planner)
    , m_random(seed)
    , m_demand(options.sets, options.experts)
    , m_run(std::uniform_int_distribution<std::uint64_t>(1)(m_random))
{
}

void map_leader::noteTerm(const wire::rank_state& state)
{
    if (state.term > m_term)
        m_own.yield(state.term);
}

wire::order_scope map_leader::scopeOf(rank_number rank) const
{
    return { .term = m_term, .group = m_group, .epoch = m_epoch, .life = rank < m_lives.size() ? m_lives[rank] : 0 };
}

wire::order_scope map_leader::nextScope()
{
    auto scope = scopeOf(m_rank);
    scope.leaderRun = m_run;
    scope.serial = ++m_serial;
    return scope;
}

carried_order map_leader::askAll(const wire::rank_order& order, const std::vector<addressee>& to, duration limit)
{
    auto carried = m_carrier.carry(
        order, to, clock_type::now() + limit, { .every = m_options.beatEvery, .beat = [this] { beat(); } });
    for (const auto& state : carried.states) {
        if (state && state->group == m_group)
            noteTerm(*state);
    }
    return carried;
}

std::vector<addressee> map_leader::addresseesOf(const std::vector<member>& members) const
{
    std::vector<addressee> to;
    to.reserve(members.size());
    for (const auto& member : members)
        to.push_back({ .channel = member.channel, .life = member.rank < m_lives.size() ? m_lives[member.rank] : 0 });
    return to;
}

// Only ranks that reported this formation receive orders: a rank of another group with an equal epoch number would
// carry the order out as well.
template <typename Order>
std::vector<result<wire::rank_state>> map_leader::orderAll(
    Order order, const std::vector<member>& members, duration limit)
{
    order.scope = nextScope();
    own_answer own(m_runtime, m_own, order, limit);
    order.scope.life = 0;
    auto states = askAll(order, addresseesOf(members), limit).states;
    states.insert(states.begin(), own.take());
    return states;
}

template <typename Order> std::vector<result<wire::rank_state>> map_leader::orderOthers(Order order, duration limit)
{
    order.scope = nextScope();
    order.scope.life = 0;
    return askAll(order, addresseesOf(m_members), limit).states;
}

void map_leader::beat()
{
    const auto limit = clock_type::now() + m_options.queryLimit;
    const wire::rank_query query { .scope = { .term = m_term, .group = m_group, .epoch = m_epoch } };
    // The answers are not needed: a newer leader's term also arrives with the answers to the step itself.
    m_runtime.spawn([&carrier = m_carrier, query, to = addresseesOf(m_members), limit] {
        (void)carrier.carry(query, to, limit, {});
    });
}

// Prefers ranks in the own data centre: counts are by far the largest part of the answers, and traffic between data
// centres is expensive. Selects the same ranks in every round, so that the counts of each rank cover exactly one round.
void map_leader::chooseDemandSources(std::vector<addressee>& to) const
{
    std::vector<std::pair<bool, std::size_t>> farAndPlace;
    for (std::size_t place = 0; place < to.size(); ++place)
        farAndPlace.emplace_back(to[place].channel->relayTarget().dataCentre != 0, place);
    std::sort(farAndPlace.begin(), farAndPlace.end());
    farAndPlace.resize(std::min<std::size_t>(farAndPlace.size(), m_options.demandSources));
    for (const auto& [isFar, place] : farAndPlace)
        to[place].tellsDemand = true;
}

map_leader::states_by_rank map_leader::gather(duration limit)
{
    m_isComplete = false;
    wire::rank_query query { .scope = { .term = m_term, .group = m_own.group(), .epoch = m_epoch },
        .wantsDemand = true,
        .wantsMap = m_wantsMap };
    // A leader whose engine does not answer, or whose rank has changed, does no round, so that another rank takes over.
    const auto own = m_own.answer(query, clock_type::now() + limit);
    if (!own || own->group != query.scope.group || leaderOf(m_term) != own->rank)
        return {};
    m_group = own->group;
    m_rank = own->rank;
    states_by_rank states(own->ranks);
    states[own->rank] = *own;
    std::vector<addressee> to; // A copy: `m_others` may be replaced while this fiber is blocked.
    for (const auto& channel : m_others)
        to.push_back({ .channel = channel });
    chooseDemandSources(to);
    auto carried = askAll(query, to, limit);
    m_relayedDemand = std::move(carried.demand);
    std::map<rank_number, member> reached;
    for (std::size_t i = 0; i < carried.states.size(); ++i) {
        const auto& answer = carried.states[i];
        if (!answer || answer->group != m_group || answer->rank >= states.size() || answer->rank == own->rank)
            continue;
        states[answer->rank] = *answer;
        if (answer->epoch == own->epoch)
            reached[(answer->rank + own->ranks - own->rank) % own->ranks] = { answer->rank, to[i].channel };
    }
    m_members.clear();
    for (auto& [distance, member] : reached)
        m_members.push_back(std::move(member));
    m_isComplete = m_members.size() + 1 == states.size();
    return states;
}

bool map_leader::isConfirmed(const group_resolution& seen)
{
    const auto states = gather(m_options.queryLimit);
    return !isDeposed() && !states.empty() && resolve(states) == seen;
}

duration map_leader::lead(leader_term term)
{
    m_term = term;
    const auto states = gather(m_options.queryLimit);
    if (isDeposed() || states.empty())
        return waitCycle;
    learn(states);
    const auto todo = resolve(states);
    noteWaiting(todo, states);
    switch (todo.kind) {
    case group_todo::Wait:
        return waitCycle;
    case group_todo::Arm:
        logEvent(log_event::MapChangeStep, "finish=arm " + describe(todo.target));
        if (armAll(todo.target))
            releaseAll(todo.target.step);
        return duration::zero();
    case group_todo::Disarm:
        logEvent(log_event::MapChangeFailed, "finish=disarm " + describe(todo.target));
        disarmAll(todo.target.version);
        return duration::zero();
    case group_todo::Release:
        logEvent(log_event::MapChangeStep, "finish=release step=" + std::to_string(todo.heldStep));
        releaseAll(todo.heldStep);
        return duration::zero();
    case group_todo::DisarmWithoutLeader:
        if (isConfirmed(todo)) {
            logEvent(log_event::MapChangeFailed, "finish=disarm_without_leader " + describe(todo.target));
            disarmAll(todo.target.version);
        }
        return duration::zero();
    case group_todo::ReleaseWithoutLeader:
        if (isConfirmed(todo)) {
            logEvent(log_event::MapChangeFailed, "finish=release_without_leader step=" + std::to_string(todo.heldStep));
            releaseAll(todo.heldStep);
        }
        return duration::zero();
    case group_todo::Ready:
        return planAndChange(states);
    }
    return waitCycle;
}

// Logs the reason and the missing ranks only when the reason changes: a group may be stalled for as long as its leader
// waits.
void map_leader::noteWaiting(const group_resolution& todo, const states_by_rank& states)
{
    const std::string reason = todo.kind == group_todo::Wait ? todo.reason : "";
    if (reason == m_waitReason)
        return;
    m_waitReason = reason;
    if (reason.empty())
        return;
    logEvent(log_event::MapChangeStep,
        "wait=\"" + reason + "\" held=" + std::to_string(todo.heldStep) + " " + describeMissing(states));
}

void map_leader::learn(const states_by_rank& states)
{
    for (const auto& state : states) {
        if (state)
            m_demand.add(state->demand);
    }
    m_demand.add(m_relayedDemand);
    m_demand.endRound();
    noteFormation(states);
    const auto& any = *std::find_if(states.begin(), states.end(), [](const auto& state) { return state.has_value(); });
    notePasses(any->step);
}

void map_leader::notePasses(pass_number step)
{
    const auto now = clock_type::now();
    const auto steps = step > m_lastStep ? step - m_lastStep : 0;
    constexpr pass_number leastSteps = 4;
    if (m_lastStep != 0 && steps >= leastSteps)
        m_passMs += passSmoothing * (toMilliseconds(now - m_lastStepAt) / static_cast<double>(steps) - m_passMs);
    if (steps >= leastSteps || m_lastStep == 0) {
        m_lastStep = step;
        m_lastStepAt = now;
    }
}

void map_leader::noteFormation(const states_by_rank& states)
{
    m_lives.resize(states.size());
    bool isRestarted = false;
    const auto epoch = states[m_rank]->epoch;
    for (std::size_t rank = 0; rank < states.size(); ++rank) {
        const auto& state = states[rank];
        if (!state)
            continue;
        isRestarted = isRestarted || (m_lives[rank] != 0 && state->life != 0 && m_lives[rank] != state->life);
        m_lives[rank] = state->life;
    }
    if (epoch == m_epoch && m_group == m_formedGroup && !isRestarted)
        return;
    m_formedGroup = m_group;
    logEvent(log_event::GroupChanged, "group=" + m_group + " epoch=" + std::to_string(epoch));
    m_epoch = epoch;
    m_map.reset();
    m_nextVersion = 0;
    m_lastStep = 0;
}

bool map_leader::isMapKnown(const wire::rank_state& own) const { return m_map && m_mapVersion == own.mapVersion; }

duration map_leader::planAndChange(const states_by_rank& states)
{
    const auto version = states.front()->mapVersion;
    if (!isMapKnown(*states.front())) {
        const bool isOurs = m_nextVersion != 0 && version == m_nextVersion;
        const bool isTold = std::all_of(states.begin(), states.end(),
            [&](const auto& state) { return state->map.size() == m_options.sets && state->mapVersion == version; });
        m_wantsMap = !isOurs && !isTold;
        if (m_wantsMap)
            return duration::zero();
        m_mapVersion = version;
        if (isOurs) {
            m_map = m_nextMap;
            logEvent(log_event::MapChanged, "group=" + m_group + " version=" + std::to_string(version));
        } else {
            m_map.emplace(m_options.sets, rank_experts(states.size()));
            for (std::size_t rank = 0; rank < states.size(); ++rank) {
                for (std::size_t set = 0; set < m_options.sets; ++set)
                    (*m_map)[set][rank] = states[rank]->map[set];
            }
        }
    }
    if (!m_demand.isKnown())
        return m_options.cycle;
    std::vector<double> paces;
    for (const auto& state : states)
        paces.push_back(std::max(1.0, state->pace));
    const double factor = idleFactor(states);
    const auto plan = m_planner.plan(*m_map, m_demand.demand(), paces, m_options.planner.gainPerMove * factor);
    if (plan.gain() < m_options.leastGain * factor)
        return m_options.cycle;
    change(states, plan);
    return std::min<duration>(m_options.cycle, waitCycle);
}

double map_leader::idleFactor(const states_by_rank& states) const
{
    // Share of occupied slots above which every longer pass delays requests.
    constexpr double busyShare = 0.75;
    // Factor in a group without any request.
    constexpr double mostFactor = 5;
    double requests = 0;
    for (const auto& state : states)
        requests += state->requests;
    const double share = requests / (static_cast<double>(states.size()) * m_options.slots);
    return 1 + (mostFactor - 1) * std::max(0.0, busyShare - share) / busyShare;
}

void map_leader::change(const states_by_rank& states, const map_plan& plan)
{
    engine_map_version highest = 0;
    for (const auto& state : states)
        highest = std::max(highest, state->highestVersion);
    const auto version = highest + 1 + std::uniform_int_distribution<std::uint32_t>(0, versionSpread)(m_random);
    logEvent(log_event::MapPlanned,
        "group=" + m_group + " epoch=" + std::to_string(m_epoch) + " version=" + std::to_string(version)
            + " moves=" + std::to_string(plan.moves) + " skew_before=" + std::to_string(plan.skewBefore).substr(0, 5)
            + " skew_after=" + std::to_string(plan.skewAfter).substr(0, 5)
            + " drift=" + std::to_string(m_demand.drift()).substr(0, 5));
    const auto step = prepareAll(version, plan.next);
    if (!step)
        return;
    const auto held = holdAhead(*step);
    logEvent(log_event::MapChangeStep,
        "step=prepared version=" + std::to_string(version) + " begun=" + std::to_string(*step)
            + " held=" + std::to_string(held.value_or(0)));
    if (!held || isDeposed())
        return; // A hold that takes effect later is found and released by the next round.
    m_nextVersion = version;
    m_nextMap = plan.next;
    if (!armAll({ version, *held }))
        return;
    releaseHeld(*held);
    logEvent(log_event::MapChangeStep,
        "step=armed version=" + std::to_string(version) + " passes_ms=" + std::to_string(std::lround(m_passMs)));
}

std::optional<pass_number> map_leader::prepareAll(engine_map_version version, const group_map& map)
{
    // Most ranks know the map in use, so only the changed rows are sent at first; ranks that lack the base receive the
    // whole map.
    wire::rank_prepare prepare;
    prepare.version = version;
    prepare.baseVersion = m_mapVersion;
    prepare.changes = changedRows(*m_map, map);
    auto answers = orderAll(prepare, m_members, m_options.prepareLimit);
    std::vector<member> lacking;
    for (std::size_t i = 1; i < answers.size(); ++i) {
        if (answers[i] && answers[i]->lacksBase)
            lacking.push_back(m_members[i - 1]);
    }
    const bool isBaseMissing = !lacking.empty() || (answers[0] && answers[0]->lacksBase);
    if (isBaseMissing && !isDeposed()) {
        prepare.changes.clear();
        prepare.map = map;
        takeOver(answers, orderAll(prepare, lacking, m_options.prepareLimit));
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

// Delayed orders occur in bursts, so one slow arming is remembered for several changes.
void map_leader::noteArming(duration took)
{
    constexpr int rememberedShare = 3; // A quarter decays with each change.
    m_armingTime = std::max(took, m_armingTime * rememberedShare / (rememberedShare + 1));
}

pass_number map_leader::passesAhead() const
{
    constexpr int marginPercent = 140;
    const auto expected
        = std::clamp(m_armingTime * marginPercent / 100, m_options.leastArmingTime, m_options.mostArmingTime);
    const auto passes = static_cast<pass_number>(std::ceil(toMilliseconds(expected) / m_passMs));
    return std::clamp(passes, leastPassesAhead, mostPassesAhead);
}

const map_leader::member* map_leader::holder() const
{
    return m_members.empty() ? nullptr : &m_members[m_holder % m_members.size()];
}

result<wire::rank_state> map_leader::holdAt(const member& holder, pass_number step)
{
    const auto limit = clock_type::now() + holdLimit;
    result<wire::rank_state> state = fail(error_kind::TimedOut, "the engine did not confirm the hold", "");
    while (clock_type::now() < limit && !isDeposed()) {
        // The result is ignored: the rank's state shows whether the hold was carried out.
        (void)holder.channel->hold(m_epoch, step, std::min(limit, clock_type::now() + holdAnswerLimit));
        state = holder.channel->ask(wire::rank_query { .scope = scopeOf(holder.rank) }, limit);
        if (!state || !isOfFormation(*state) || state->heldStep != 0 || state->step >= step)
            break;
    }
    if (state && state->group == m_group)
        noteTerm(*state);
    return state;
}

// Counts from the pass that the own rank has just begun, since the other ranks reported theirs before they copied
// experts. Passes before the switch run under the worse map, so the held pass is as near as arming permits; if the
// group reaches it early, only the remainder of arming delays it.
//
// The pass is held at another rank's engine, by a direct order from this process. If the own engine held the pass and
// its VM stalled, no other process could release it before the VM resumed, which takes longer than the timeouts of the
// group's streams.
std::optional<pass_number> map_leader::holdAhead(pass_number step)
{
    const auto* found = holder();
    for (int tries = 0; found && tries < holdTries && !isDeposed(); ++tries) {
        const auto current = m_own.answer(wire::rank_query { .scope = scopeOf(m_rank) }, clock_type::now() + holdLimit);
        if (current)
            step = std::max(step, current->step);
        const auto wanted = step + passesAhead();
        const auto state = holdAt(*found, wanted);
        if (state && state->heldStep == wanted && isOfFormation(*state))
            return wanted;
        if (!state || !isOfFormation(*state) || state->heldStep != 0)
            break;
        step = std::max(step, state->step);
    }
    ++m_holder; // The next change uses another holder.
    logEvent(log_event::MapChangeFailed, "step=hold");
    return std::nullopt;
}

// Arms the own rank last: a superseded leader that the other ranks no longer obey must not arm its own rank alone.
bool map_leader::armAll(const armed_switch& target)
{
    wire::rank_arm arm { .scope = {}, .version = target.version, .step = target.step };
    const auto isArmed = [&](const result<wire::rank_state>& state) {
        return state && isOfFormation(*state) && state->term == m_term && !state->isArmUncertain
            && (state->mapVersion == target.version
                || (state->armedVersion == target.version && state->armedStep == target.step));
    };
    const auto begunAt = clock_type::now();
    const auto answers = orderOthers(arm, m_options.armLimit);
    const bool allArmed = m_isComplete && std::all_of(answers.begin(), answers.end(), isArmed);
    if (!allArmed || isDeposed()) {
        noteArming(clock_type::now() - begunAt);
        logEvent(log_event::MapChangeFailed, "step=arm " + describe(target));
        return false;
    }
    arm.scope = nextScope();
    const bool isOwnArmed = isArmed(m_own.answer(arm, clock_type::now() + m_options.armLimit));
    noteArming(clock_type::now() - begunAt);
    return isOwnArmed && !isDeposed();
}

void map_leader::disarmAll(engine_map_version version)
{
    (void)orderAll(wire::rank_disarm { .scope = {}, .version = version }, m_members, m_options.armLimit);
}

// Asks only the holder first: an order to all ranks takes a round trip through the whole group, during which passes may
// be stopped.
void map_leader::releaseHeld(pass_number step)
{
    if (isDeposed())
        return;
    if (const auto* at = holder()) {
        wire::rank_release release { .scope = nextScope(), .step = step };
        release.scope.life = scopeOf(at->rank).life;
        const auto state = at->channel->ask(release, clock_type::now() + holderReleaseLimit);
        if (state && isOfFormation(*state) && state->heldStep == 0)
            return;
    }
    releaseAll(step);
}

void map_leader::releaseAll(pass_number step)
{
    if (isDeposed())
        return;
    (void)orderAll(wire::rank_release { .scope = {}, .step = step }, m_members, releaseLimit);
}

} // namespace coltsfootbend
