#include "coltsfootbend/group/rank_channel.h"

#include "coltsfootbend/net/fiber_signal.h"

#include <algorithm>
#include <tuple>

namespace coltsfootbend {

namespace {

// Maximum number of agents that are marked as unresponsive after one order. The engine of such an agent is called from
// the leader's VM for a while, which costs the leader one connection each. If more answers are missing at once, a
// branch of the relay tree was lost rather than single agents, and the next order is relayed to them again.
constexpr std::size_t maxMarkedUnresponsive = 8;
// Time to wait after the deadline for the fiber that collects direct answers, which ends at the same deadline.
constexpr std::chrono::milliseconds directAnswerGrace { 10 };

tl::unexpected<error> noAnswerError() { return fail(error_kind::TimedOut, "the rank did not answer", ""); }

// Answers to one call of `direct_dispatcher::dispatch`. Outlive the call, because a rank may answer after the deadline.
struct direct_requests {
    direct_requests(fiber_runtime& runtime, std::size_t count)
        : answers(count, noAnswerError())
        , pending(runtime, count)
    {
    }

    std::vector<result<wire::rank_state>> answers;
    pending_answers pending;
};

// Sorts the targets so that those of one data centre are adjacent, with the leader's data centre (number 0) first. The
// same ranks always give the same tree.
std::vector<wire::relay_target> sortedByDataCentre(std::vector<wire::relay_target> targets)
{
    std::sort(targets.begin(), targets.end(),
        [](const auto& a, const auto& b) { return std::tie(a.dataCentre, a.host) < std::tie(b.dataCentre, b.host); });
    return targets;
}

// The addressees, by the way in which the order is sent to them.
struct partitioned_addressees {
    std::vector<wire::relay_target> targets; // Relayed; the target's number is the index of the addressee.
    std::vector<addressee> directAddressees; // Sent directly.
    std::vector<std::size_t> directIndices; // Their indices among the addressees.
};

partitioned_addressees partitionAddressees(const std::vector<addressee>& to)
{
    partitioned_addressees partition;
    for (std::size_t i = 0; i < to.size(); ++i) {
        if (to[i].channel->isAgentUnresponsive()) {
            partition.directAddressees.push_back(to[i]);
            partition.directIndices.push_back(i);
            continue;
        }
        auto target = to[i].channel->relayTarget();
        target.number = static_cast<std::uint32_t>(i);
        target.engineIncarnation = to[i].incarnation;
        target.reportsDemand = to[i].reportsDemand;
        partition.targets.push_back(std::move(target));
    }
    return partition;
}

// Notifies the channels which ranks answered.
void notifyChannels(
    const partitioned_addressees& partition, const std::vector<addressee>& to, const dispatch_result& dispatched)
{
    const auto missing = std::count_if(partition.targets.begin(), partition.targets.end(),
        [&](const auto& target) { return !dispatched.states[target.number]; });
    const bool isBranchLost = static_cast<std::size_t>(missing) > maxMarkedUnresponsive;
    for (const auto& target : partition.targets) {
        const auto& state = dispatched.states[target.number];
        if (state || !isBranchLost)
            to[target.number].channel->onRelayedAnswer(state);
    }
}

// Answers of the ranks that receive the order directly. Outlive the call, because they may arrive after the deadline.
struct direct_answers {
    explicit direct_answers(fiber_runtime& runtime)
        : answered(runtime)
    {
    }

    std::vector<result<wire::rank_state>> states;
    fiber_signal answered;
};

} // namespace

wire::rank_order orderFor(wire::rank_order order, std::uint64_t engineIncarnation, bool reportsDemand)
{
    std::visit([engineIncarnation](auto& message) { message.scope.engineIncarnation = engineIncarnation; }, order);
    if (auto* query = std::get_if<wire::rank_query>(&order))
        query->wantsDemand = query->wantsDemand && reportsDemand;
    return order;
}

dispatch_result direct_dispatcher::dispatch(const wire::rank_order& order, const std::vector<addressee>& to,
    time_point deadline, const rank_heartbeat& heartbeat)
{
    auto requests = std::make_shared<direct_requests>(m_runtime, to.size());
    for (std::size_t i = 0; i < to.size(); ++i) {
        m_runtime.spawn([requests, i, to = to[i], order, deadline] {
            requests->answers[i] = to.channel->ask(orderFor(order, to.incarnation, to.reportsDemand), deadline);
            requests->pending.onAnswered();
        });
    }
    requests->pending.wait(deadline, heartbeat);
    return { requests->answers, {} };
}

dispatch_result relay_dispatcher::dispatch(const wire::rank_order& order, const std::vector<addressee>& to,
    time_point deadline, const rank_heartbeat& heartbeat)
{
    const auto partition = partitionAddressees(to);
    auto direct = std::make_shared<direct_answers>(m_runtime);
    if (!partition.directAddressees.empty()) {
        m_runtime.spawn([this, order, directAddressees = partition.directAddressees, deadline, direct] {
            direct->states = m_direct.dispatch(order, directAddressees, deadline, {}).states;
            direct->answered.notify();
        });
    }
    auto gathered = m_relay.deliver(order, sortedByDataCentre(partition.targets), deadline, heartbeat);
    dispatch_result dispatched { std::vector<result<wire::rank_state>>(to.size(), noAnswerError()),
        std::move(gathered.demand) };
    for (auto& state : gathered.states) {
        if (state.target < to.size())
            dispatched.states[state.target] = std::move(state);
    }
    notifyChannels(partition, to, dispatched);
    if (!partition.directAddressees.empty() && direct->states.empty())
        (void)direct->answered.waitUntil(deadline + directAnswerGrace);
    for (std::size_t i = 0; i < direct->states.size(); ++i)
        dispatched.states[partition.directIndices[i]] = direct->states[i];
    return dispatched;
}

} // namespace coltsfootbend
