#pragma once

// Drives one map change in a group through its three phases: prepare, promise, decide. Any process may run a
// coordinator, several may run concurrently, and a paused one may resume: the ranks guarantee safety. Repeats requests
// until every rank has answered, completes what an earlier coordinator had decided, and abandons the change cleanly
// while nothing is decided. Deterministic. One object serves one epoch.
//
//     map_coordinator change({ .epoch = epoch, .map = map, .ranks = 256, .decisionDeadline = deadline });
//     for (const auto& order : change.tick(now)) send(order.rank, order.message);
//     for (const auto& order : change.handle(now, rank, message)) ...

#include "coltsfootbend/base/time.h"
#include "coltsfootbend/group/map_messages.h"

#include <optional>
#include <vector>

namespace coltsfootbend {

// A message to be sent to one rank.
struct coordinator_order {
    rank_number rank = 0;
    coordinator_message message;
};

// The coordinator of one epoch.
class map_coordinator {
public:
    enum class state {
        Preparing, // The ranks load the map.
        Proposing, // The ranks promise a limit of their steps.
        Deciding, // The decision is being sent to the ranks.
        Done, // Every rank uses the decided schedule.
        Abandoned, // The deadline passed before this epoch decided.
        Superseded, // A rank has promised a higher epoch, or has restarted: a higher epoch has to complete the change.
    };

    struct options {
        map_epoch epoch;
        map_version map;
        rank_number ranks = 0;
        // Time at which the change is abandoned if nothing is decided.
        time_point decisionDeadline {};
        // Interval at which requests without an answer are repeated.
        duration retryInterval = std::chrono::milliseconds(50);
    };

    explicit map_coordinator(const options&);

    // Returns the messages to send now. Call at the start and periodically afterwards.
    std::vector<coordinator_order> tick(time_point now);

    // Processes one rank's answer. Returns the messages to send in response.
    std::vector<coordinator_order> handle(time_point now, rank_number, const rank_message&);

    state current() const { return m_state; }
    // Returns the first step under the new map; 0 before the decision.
    step_number switchStep() const { return m_switchStep; }
    // Returns the highest epoch seen. The next epoch must be higher.
    map_epoch highestEpochSeen() const { return m_highestEpochSeen; }

private:
    struct rank_state {
        bool loaded = false;
        std::optional<switch_promised> promise;
        bool applied = false;
    };

    void on(rank_number, const map_loaded&);
    void on(rank_number, const switch_promised&);
    void on(rank_number, const switch_applied&);
    void on(rank_number, const switch_refused&);
    // Builds the decision from the promises of all ranks.
    void decide();
    // Returns the current phase's request for every rank that has not answered it.
    std::vector<coordinator_order> pendingRequests(time_point now);
    // Ends the change without a decision, and returns the messages that lift the promises.
    std::vector<coordinator_order> abandon();

    const options m_options;
    state m_state = state::Preparing;
    std::vector<rank_state> m_ranks;
    std::optional<decide_switch> m_decision;
    step_number m_switchStep = 0;
    map_epoch m_highestEpochSeen;
    time_point m_retryAt {};
};

} // namespace coltsfootbend
