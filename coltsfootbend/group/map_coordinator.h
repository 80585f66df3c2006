#pragma once

// Brings one map change about in a group: prepare, promise, decide. Any process may run one, several may at once, and
// one that was paused may wake: safety is the ranks'. It asks again until every rank has answered, finishes what an
// earlier coordinator had decided, and gives up cleanly while nothing is decided. Deterministic. One object for one
// epoch.
//
//     map_coordinator change({ .epoch = epoch, .map = map, .ranks = 256, .giveUpAt = deadline });
//     for (const auto& order : change.tick(now)) send(order.rank, order.message);
//     for (const auto& order : change.handle(now, rank, message)) ...

#include "coltsfootbend/base/time.h"
#include "coltsfootbend/group/map_messages.h"

#include <optional>
#include <vector>

namespace coltsfootbend {

struct coordinator_order {
    rank_number rank = 0;
    coordinator_message message;
};

class map_coordinator {
public:
    enum class state {
        Preparing,
        Proposing,
        Deciding,
        Done, // Every rank has taken the decision.
        GivenUp, // Nothing was decided by this epoch.
        Overtaken, // A rank has promised a higher epoch, or begun a new life: a higher epoch has to finish this.
    };

    struct options {
        map_epoch epoch;
        map_version map;
        rank_number ranks = 0;
        // Until a decision is made: when to give up.
        time_point giveUpAt {};
        duration askAgainAfter = std::chrono::milliseconds(50);
    };

    explicit map_coordinator(const options&);

    // Returns what to send now. Call at the start and from time to time.
    std::vector<coordinator_order> tick(time_point now);

    // Takes one rank's answer.
    std::vector<coordinator_order> handle(time_point now, rank_number, const rank_message&);

    state current() const { return m_state; }
    // The first step under the new map, once decided.
    step_number switchAt() const { return m_switchAt; }
    // The highest epoch heard of; the next one must be higher.
    map_epoch highestSeen() const { return m_highestSeen; }

private:
    struct rank_state {
        bool loaded = false;
        std::optional<switch_promised> promise;
        bool taken = false;
    };

    void on(rank_number, const map_loaded&);
    void on(rank_number, const switch_promised&);
    void on(rank_number, const switch_taken&);
    void on(rank_number, const switch_refused&);
    void decide();
    std::vector<coordinator_order> ask(time_point now);
    std::vector<coordinator_order> giveUp();

    const options m_options;
    state m_state = state::Preparing;
    std::vector<rank_state> m_ranks;
    std::optional<decide_switch> m_decision;
    step_number m_switchAt = 0;
    map_epoch m_highestSeen;
    time_point m_askAgainAt {};
};

} // namespace coltsfootbend
