#pragma once

// Relays a leader's order to many ranks along a tree, and gathers their states on the way back. Each process exchanges
// messages with only a few others, whatever the size of the group. The tree follows data centres, so that an order is
// sent to each of them once. Each order carries its remaining targets and each hop builds the tree below it from them:
// no process stores the tree, and an agent that does not accept an order is bypassed at once. Relays do not change the
// order, and each rank checks its scope independently. Not for the content of orders: see `group/map_leader.h`.
//
//     order_relay relay(runtime, transport);
//     auto answers = relay.deliver(order, targets, deadline);

#include "coltsfootbend/base/error.h"
#include "coltsfootbend/base/time.h"
#include "coltsfootbend/group/pending_answers.h"
#include "coltsfootbend/net/fiber_runtime.h"
#include "coltsfootbend/wire/messages.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace coltsfootbend {

// Sends relayed orders to agents.
class relay_transport {
public:
    virtual ~relay_transport() = default;
    // Returns the answers of the agent and of those below it in the tree. Fails as soon as the agent is found to be
    // terminated or unresponsive, and at `deadline` at the latest; the order may have been carried out even so.
    virtual result<wire::relayed_answers> send(const wire::relayed_order&, time_point deadline) = 0;
};

// Answers of ranks to one order: their states in any order, and their demand counts summed over the ranks.
struct gathered_states {
    std::vector<wire::rank_state> states;
    std::vector<std::uint32_t> demand;
};

// Splits the targets into branches. The first target of each branch receives the order directly and relays it to the
// rest of the branch. The targets in the first target's data centre form at most `fanOut` branches; so do those in
// other data centres, where the targets of one data centre stay in one branch. Precondition: targets of the same data
// centre are adjacent. O(targets).
std::vector<std::vector<wire::relay_target>> splitTargets(
    const std::vector<wire::relay_target>& targets, std::size_t fanOut);

class order_relay {
public:
    struct options {
        // Maximum number of branches within the data centre, and again to other data centres. A higher value makes no
        // change of maps faster, but increases what the leader sends and receives.
        std::size_t fanOut = 3;
        // Time for which an agent that did not accept an order is bypassed.
        duration unresponsivePeriod = std::chrono::milliseconds(1000);
        // Subtracted from the remaining time at each hop, so that gathered answers return before the deadline.
        duration hopSlack = std::chrono::milliseconds(15);
    };

    order_relay(fiber_runtime& runtime, relay_transport& transport)
        : order_relay(runtime, transport, options {})
    {
    }
    order_relay(fiber_runtime& runtime, relay_transport& transport, const options& options)
        : m_runtime(runtime)
        , m_transport(transport)
        , m_options(options)
    {
    }

    // Sends `order` to all targets, and returns once all have answered, at `deadline` at the latest. States of ranks
    // that did not answer are missing. Blocks the calling fiber.
    gathered_states deliver(const wire::rank_order&, const std::vector<wire::relay_target>&, time_point deadline,
        const rank_heartbeat& = {});

private:
    struct delivery;

    void deliverBranch(delivery&, const std::vector<wire::relay_target>& branch, time_point deadline);
    void markUnresponsive(const std::string& host);
    bool isUnresponsive(const std::string& host) const;

    fiber_runtime& m_runtime;
    relay_transport& m_transport;
    const options m_options;
    std::map<std::string, time_point> m_unresponsiveUntil; // By host; expired entries are removed.
};

} // namespace coltsfootbend
