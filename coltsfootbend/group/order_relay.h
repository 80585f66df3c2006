#pragma once

// Hands a leader's order on to many ranks along a tree, and gathers their states on the way back: nobody speaks with
// more than a few others, whatever the size of the group. The tree follows data centres, so that an order crosses to
// each of them once. It is drawn anew with each order from the targets that are left, so that no process keeps it, and
// an agent that does not take an order is gone round at once. Whoever hands an order on adds nothing to it: each rank
// judges the scope by itself. Not for what is ordered: see `group/map_leader.h`.
//
//     order_relay relay(runtime, transport);
//     auto answers = relay.deliver(order, targets, deadline);

#include "coltsfootbend/base/error.h"
#include "coltsfootbend/base/time.h"
#include "coltsfootbend/net/fiber_runtime.h"
#include "coltsfootbend/wire/messages.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace coltsfootbend {

// Takes a relayed order to the agent that it is for.
class relay_transport {
public:
    virtual ~relay_transport() = default;
    // Returns what the agent and those below it answered. Fails as soon as the agent is known to be gone or silent, and
    // at `deadline` at the latest; what was ordered may have been carried out all the same.
    virtual result<wire::relayed_answers> send(const wire::relayed_order&, time_point deadline) = 0;
};

// What is done time and again while answers are waited for.
struct rank_beat {
    duration every {};
    std::function<void()> beat;
};

// States by rank in any order, and counts summed over the ranks.
struct gathered_states {
    std::vector<wire::rank_state> states;
    std::vector<std::uint32_t> demand;
};

// Parts the targets into those that are spoken with directly, which come first in each branch, and those below them:
// the targets of the first one's data centre in at most `fanOut` branches, and all of another data centre in one.
// Precondition: the targets of a data centre stand side by side. O(targets).
std::vector<std::vector<wire::relay_target>> splitTargets(
    const std::vector<wire::relay_target>& targets, std::size_t fanOut);

class order_relay {
public:
    struct options {
        // Of one data centre, and of other data centres: a rank speaks with at most twice as many. More make
        // no change faster, but grow what the leader sends and receives.
        std::size_t fanOut = 3;
        // An agent that did not take an order is not spoken with for this long.
        duration silentPause = std::chrono::milliseconds(1000);
        // Kept back at each hop, so that what was gathered comes back in time.
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

    // Hands `order` to all targets, and returns once all have answered, at `deadline` at the latest. States of ranks
    // that did not answer are missing. Blocks the calling fiber.
    gathered_states deliver(
        const wire::rank_order&, const std::vector<wire::relay_target>&, time_point deadline, const rank_beat& = {});

private:
    struct delivery;

    void deliverBranch(delivery&, const std::vector<wire::relay_target>& branch, time_point deadline);
    void noteSilent(const std::string& host);
    bool isSilent(const std::string& host) const;

    fiber_runtime& m_runtime;
    relay_transport& m_transport;
    const options m_options;
    std::map<std::string, time_point> m_silentUntil; // By host; only those that were silent lately.
};

} // namespace coltsfootbend
