#include "coltsfootbend/group/order_relay.h"

#include "coltsfootbend/group/relayed_states.h"
#include "coltsfootbend/wire/codec.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>
#include <thread>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

using target_list = std::vector<wire::relay_target>;

// Returns targets numbered from 0, split evenly over the data centres, those of one data centre adjacent.
target_list targetsOf(std::uint32_t ranks, std::uint32_t dataCentres)
{
    target_list targets;
    for (std::uint32_t rank = 0; rank < ranks; ++rank)
        targets.push_back({ rank, std::to_string(rank), 1000 + rank, rank * dataCentres / ranks });
    return targets;
}

// Agents that relay orders to each other in memory. Agents in `unreachable` do not accept orders; agents in
// `terminating` terminate after relaying the order, before they answer.
class model_agents final : public relay_transport {
public:
    model_agents(fiber_runtime& runtime, std::uint32_t ranks)
        : m_runtime(runtime)
        , m_ranks(ranks)
        , m_relay(runtime, *this)
    {
    }

    result<wire::relayed_answers> send(const wire::relayed_order& order, time_point deadline) override
    {
        ++messages;
        bytes += wire::encode({ .sender = {}, .senderIncarnation = {}, .version = {}, .content = order }).size();
        m_runtime.sleepFor(1ms);
        if (unreachable.contains(order.own.number)) {
            m_runtime.sleepFor(20ms);
            return fail(error_kind::TimedOut, "the agent is unreachable");
        }
        const auto limit = clock_type::now() + std::chrono::milliseconds(order.timeLeftMs);
        auto gathered = m_relay.deliver(order.order, order.others, limit);
        if (terminating.contains(order.own.number))
            return fail(error_kind::Lost, "the agent terminated before its answer");
        wire::rank_state own;
        own.rank = order.own.number;
        own.ranks = m_ranks;
        own.target = order.own.number;
        own.engineIncarnation = order.own.engineIncarnation;
        gathered.states.push_back(own);
        addCounts(gathered.demand, { 1, order.own.number });
        m_runtime.sleepUntil(std::min(deadline, clock_type::now() + 1ms));
        return packStates(gathered.states, std::move(gathered.demand));
    }

    order_relay& relay() { return m_relay; }

    std::set<std::uint32_t> unreachable;
    std::set<std::uint32_t> terminating;
    std::size_t messages = 0;
    std::size_t bytes = 0;

private:
    fiber_runtime& m_runtime;
    const std::uint32_t m_ranks;
    order_relay m_relay;
};

void withAgents(std::uint32_t ranks, const std::function<void(model_agents&)>& work)
{
    std::thread([&] {
        fiber_runtime runtime;
        runtime.spawn([&] {
            model_agents agents(runtime, ranks);
            work(agents);
            runtime.sleepFor(50ms);
            runtime.stop();
        });
        runtime.run();
    }).join();
}

std::set<std::uint32_t> numbersOf(const gathered_states& gathered)
{
    std::set<std::uint32_t> numbers;
    for (const auto& state : gathered.states)
        numbers.insert(state.target);
    return numbers;
}

RC_GTEST_PROP(OrderRelay, EachTargetIsInExactlyOneBranchAndBranchesAreLimited, ())
{
    const auto ranks = *rc::gen::inRange<std::uint32_t>(0, 300);
    const auto dataCentres = *rc::gen::inRange<std::uint32_t>(1, 12);
    const auto fanOut = *rc::gen::inRange<std::size_t>(1, 9);
    const auto branches = splitTargets(targetsOf(ranks, dataCentres), fanOut);
    RC_ASSERT(branches.size() <= 2 * fanOut);
    std::set<std::uint32_t> seen;
    for (const auto& branch : branches) {
        RC_ASSERT(!branch.empty());
        for (const auto& target : branch)
            RC_ASSERT(seen.insert(target.number).second);
    }
    RC_ASSERT(seen.size() == ranks);
}

TEST(OrderRelay, OrderIsSentOnceToEachOtherDataCentre)
{
    constexpr std::uint32_t dataCentres = 5;
    std::size_t remoteBranches = 0;
    for (const auto& branch : splitTargets(targetsOf(129, dataCentres), 6)) {
        const bool isNear = branch.front().dataCentre == 0;
        remoteBranches += isNear ? 0 : 1;
        for (const auto& target : branch)
            EXPECT_EQ(target.dataCentre, branch.front().dataCentre);
    }
    EXPECT_EQ(remoteBranches, dataCentres - 1);
}

TEST(OrderRelay, AllRanksAnswerAndTheirCountsAreSummed)
{
    constexpr std::uint32_t ranks = 129;
    withAgents(ranks, [](model_agents& agents) {
        const auto got = agents.relay().deliver(wire::rank_query {}, targetsOf(ranks, 5), clock_type::now() + 2s);
        EXPECT_EQ(numbersOf(got).size(), std::size_t { ranks });
        EXPECT_EQ(got.demand, (std::vector<std::uint32_t> { ranks, ranks * (ranks - 1) / 2 }));
        EXPECT_EQ(agents.messages, std::size_t { ranks }) << "each rank receives the order once";
        for (const auto& state : got.states)
            EXPECT_EQ(state.engineIncarnation, 1000 + state.target) << "the order names the incarnation of each rank";
    });
}

TEST(OrderRelay, UnreachableAgentsAreBypassedWithinTheSameOrder)
{
    constexpr std::uint32_t ranks = 63;
    withAgents(ranks, [](model_agents& agents) {
        const auto targets = targetsOf(ranks, 3);
        for (const auto& branch : splitTargets(targets, order_relay::options {}.fanOut))
            agents.unreachable.insert(branch.front().number);
        const auto startedAt = clock_type::now();
        const auto got = agents.relay().deliver(wire::rank_query {}, targets, startedAt + 2s);
        EXPECT_EQ(numbersOf(got).size(), ranks - agents.unreachable.size());
        EXPECT_LT(clock_type::now() - startedAt, 500ms) << "does not wait for the deadline";
        agents.messages = 0;
        (void)agents.relay().deliver(wire::rank_query {}, targets, clock_type::now() + 2s);
        EXPECT_EQ(agents.messages, ranks - agents.unreachable.size()) << "unreachable agents are not retried at once";
    });
}

TEST(OrderRelay, BranchIsSentToTheNextAgentIfTheFirstTerminatesBeforeItsAnswer)
{
    constexpr std::uint32_t ranks = 63;
    withAgents(ranks, [](model_agents& agents) {
        const auto targets = targetsOf(ranks, 3);
        agents.terminating.insert(splitTargets(targets, order_relay::options {}.fanOut).back().front().number);
        const auto got = agents.relay().deliver(wire::rank_query {}, targets, clock_type::now() + 2s);
        EXPECT_EQ(numbersOf(got).size(), ranks - 1);
    });
}

// The deadline limits the whole delivery even if no agent is reachable.
TEST(OrderRelay, RanksThatDoNotAnswerByTheDeadlineAreMissing)
{
    constexpr std::uint32_t ranks = 40;
    withAgents(ranks, [](model_agents& agents) {
        for (std::uint32_t rank = 0; rank < ranks; ++rank)
            agents.unreachable.insert(rank);
        const auto startedAt = clock_type::now();
        const auto got = agents.relay().deliver(wire::rank_query {}, targetsOf(ranks, 2), startedAt + 100ms);
        EXPECT_TRUE(got.states.empty());
        EXPECT_LT(clock_type::now() - startedAt, 200ms);
    });
}

TEST(OrderRelay, HeartbeatsAreSentDuringALongDelivery)
{
    withAgents(4, [](model_agents& agents) {
        agents.unreachable = { 0, 1, 2, 3 };
        int heartbeats = 0;
        (void)agents.relay().deliver(wire::rank_query {}, targetsOf(4, 1), clock_type::now() + 300ms,
            { .interval = 5ms, .send = [&heartbeats] { ++heartbeats; } });
        EXPECT_GE(heartbeats, 2);
    });
}

} // namespace
} // namespace coltsfootbend
