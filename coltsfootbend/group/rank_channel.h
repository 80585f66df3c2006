#pragma once

// Sends a leader's orders to the ranks of its group: to one rank through its `rank_channel`, or to many at the same
// time through an `order_dispatcher`, directly or relayed by other ranks. Not for deciding on the orders: see
// `group/map_leader.h`.
//
//     direct_dispatcher dispatcher(runtime);
//     const auto result = dispatcher.dispatch(
//         query, { { channel, incarnation } }, deadline, { .interval = 400ms, .send = sendHeartbeat });

#include "coltsfootbend/group/map_participant.h"
#include "coltsfootbend/group/order_relay.h"

#include <functional>
#include <memory>
#include <vector>

namespace coltsfootbend {

// Connection from a leader to one rank.
class rank_channel {
public:
    virtual ~rank_channel() = default;
    // Sends an order to the rank and returns the rank's state afterwards. Fails if the rank cannot be reached.
    virtual result<wire::rank_state> ask(const wire::rank_order&, time_point deadline) = 0;
    // Orders the rank's engine, directly from this VM, not to begin pass `step`. Fails like `rank_engine::hold`. The
    // order names no group, so it may only be sent to ranks that have just reported the leader's own formation.
    virtual result<void> hold(group_epoch, pass_number step, time_point deadline) = 0;

    // Returns the address of the rank's agent for relayed orders; the sender sets the target's number and incarnation.
    virtual wire::relay_target relayTarget() const = 0;
    // True while the rank's agent is known to be unresponsive, so that only `ask` reaches the rank.
    virtual bool isAgentUnresponsive() const = 0;
    // Notifies the channel of the rank's answer to a relayed order, or of the lack of one.
    virtual void onRelayedAnswer(const result<wire::rank_state>&) = 0;
};

// One rank that an order is sent to.
struct addressee {
    std::shared_ptr<rank_channel> channel;
    std::uint64_t incarnation = 0; // Of its engine, as the leader knows it; 0 if not reported.
    bool reportsDemand = false; // True if the rank answers an order for demand counts with its own counts.
};

// Answers to one order: the states in the order of the addressees, with `TimedOut` for ranks that did not answer, and
// the demand counts that relays have summed.
struct dispatch_result {
    std::vector<result<wire::rank_state>> states;
    std::vector<std::uint32_t> demand;
};

// Sends one order to many ranks at the same time.
class order_dispatcher {
public:
    virtual ~order_dispatcher() = default;
    // Returns once all ranks have answered, at `deadline` at the latest. The scope of the order to each rank names the
    // incarnation of its engine. Blocks the calling fiber.
    virtual dispatch_result dispatch(
        const wire::rank_order&, const std::vector<addressee>&, time_point deadline, const rank_heartbeat&)
        = 0;
};

// Sends the order to each rank through its channel. Only for a few ranks: the messages and the memory of this process
// grow with their number.
class direct_dispatcher final : public order_dispatcher {
public:
    explicit direct_dispatcher(fiber_runtime& runtime)
        : m_runtime(runtime)
    {
    }

    dispatch_result dispatch(
        const wire::rank_order&, const std::vector<addressee>&, time_point deadline, const rank_heartbeat&) override;

private:
    fiber_runtime& m_runtime;
};

// Sends the order along a relay tree of the ranks, and directly to ranks whose agents are unresponsive.
class relay_dispatcher final : public order_dispatcher {
public:
    relay_dispatcher(fiber_runtime& runtime, order_relay& relay)
        : m_relay(relay)
        , m_direct(runtime)
        , m_runtime(runtime)
    {
    }

    dispatch_result dispatch(
        const wire::rank_order&, const std::vector<addressee>&, time_point deadline, const rank_heartbeat&) override;

private:
    order_relay& m_relay;
    direct_dispatcher m_direct;
    fiber_runtime& m_runtime;
};

// Returns `order` as it is sent to one rank: its scope names the incarnation, and the rank is asked for demand counts
// only if it reports them.
wire::rank_order orderFor(wire::rank_order order, std::uint64_t engineIncarnation, bool reportsDemand);

} // namespace coltsfootbend
