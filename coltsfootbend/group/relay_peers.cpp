#include "coltsfootbend/group/relay_peers.h"

#include "coltsfootbend/group/rank_channel.h"
#include "coltsfootbend/group/relayed_states.h"
#include "coltsfootbend/net/fiber_signal.h"

#include <algorithm>
#include <memory>

namespace coltsfootbend {

namespace {

// Interval at which an agent acknowledges an order that it is working on. The first acknowledgement is sent at once.
constexpr std::chrono::milliseconds acknowledgeInterval { 120 };
// Time for the first acknowledgement, after which the agent is bypassed. An agent with 0.15 of a core answers within
// about 10 ms.
constexpr std::chrono::milliseconds acceptTimeout { 100 };
// Time between two acknowledgements, which allows one of them to be late.
constexpr std::chrono::milliseconds acknowledgeTimeout { 300 };

} // namespace

result<wire::relayed_answers> peer_relay_transport::send(const wire::relayed_order& order, time_point deadline)
{
    const endpoint address { order.own.host, m_port };
    auto stream = m_peers.open(address, order, true, std::min<time_point>(deadline, clock_type::now() + acceptTimeout));
    auto answers = stream ? awaitAnswers(**stream, deadline) : tl::unexpected(stream.error());
    if (answers)
        return answers;
    if (stream)
        (*stream)->reset();
    // The connection may be stalled permanently, so the next order opens a new one.
    if (answers.error().kind == error_kind::TimedOut && clock_type::now() < deadline)
        m_peers.drop(address);
    return answers;
}

result<wire::relayed_answers> peer_relay_transport::awaitAnswers(peer_stream& stream, time_point deadline)
{
    duration timeout = acceptTimeout;
    while (true) {
        auto message = stream.receive(std::min<time_point>(deadline, clock_type::now() + timeout));
        if (!message)
            return tl::unexpected(message.error());
        if (auto* answers = std::get_if<wire::relayed_answers>(&message->content))
            return std::move(*answers);
        if (!std::holds_alternative<wire::acknowledge>(message->content))
            return fail(error_kind::BadInput, "the agent answered a relayed order with an unexpected message",
                "Check that the versions of all agents are compatible");
        timeout = acknowledgeTimeout;
    }
}

void relay_node::registerHandler(peer_service& peers)
{
    peers.on<wire::relayed_order>(
        [this](peer_stream& stream, const wire::message&, const wire::relayed_order& order) { serve(stream, order); });
}

void relay_node::serve(peer_stream& stream, const wire::relayed_order& order)
{
    // Outlives the call if the requester's stream is closed.
    struct work {
        explicit work(fiber_runtime& runtime)
            : isDone(runtime)
        {
        }
        std::optional<wire::relayed_answers> answers;
        bool hasEnded = false;
        fiber_signal isDone;
    };
    const auto deadline = clock_type::now() + std::chrono::milliseconds(order.timeLeftMs);
    auto working = std::make_shared<work>(m_runtime);
    m_runtime.spawn([this, working, order, deadline] {
        (void)runLogged("relay", [&] { working->answers = answer(order, deadline); });
        working->hasEnded = true;
        working->isDone.notify();
    });
    while (!working->hasEnded) {
        if (!stream.send(wire::acknowledge {}, false))
            return;
        (void)working->isDone.waitUntil(clock_type::now() + acknowledgeInterval);
    }
    if (working->answers)
        (void)stream.send(std::move(*working->answers), true);
}

wire::relayed_answers relay_node::answer(const wire::relayed_order& order, time_point deadline)
{
    struct own_part {
        explicit own_part(fiber_runtime& runtime)
            : isDone(runtime)
        {
        }
        std::optional<gathered_states> gathered;
        fiber_signal isDone;
    };
    auto own = std::make_shared<own_part>(m_runtime);
    m_runtime.spawn([this, own, order, deadline] {
        own->gathered = answerForOwnRank(order, deadline);
        own->isDone.notify();
    });
    auto gathered = m_relay.deliver(order.order, order.others, deadline);
    if (!own->gathered)
        (void)own->isDone.waitUntil(deadline);
    if (own->gathered) {
        for (auto& state : own->gathered->states)
            gathered.states.push_back(std::move(state));
        addCounts(gathered.demand, own->gathered->demand);
    }
    return packStates(gathered.states, std::move(gathered.demand));
}

// Returns the state of the own rank; no state if the engine does not report it.
gathered_states relay_node::answerForOwnRank(const wire::relayed_order& order, time_point deadline)
{
    auto state
        = m_participant.answer(orderFor(order.order, order.own.engineIncarnation, order.own.reportsDemand), deadline);
    wire::rank_state ownState;
    if (state)
        ownState = std::move(*state);
    else if (state.error().kind != error_kind::NotFound)
        return {};
    // An engine without a group is reported as a state with an empty group name.
    ownState.target = order.own.number;
    auto demand = std::move(ownState.demand);
    ownState.demand.clear();
    return { { std::move(ownState) }, std::move(demand) };
}

} // namespace coltsfootbend
