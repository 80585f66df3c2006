#pragma once

// One rank's part in agreeing on expert maps: it says which steps its engine may run and under which map, and makes and
// keeps promises to coordinators. In every step all ranks of a group run under the same map, whatever is lost, late,
// doubled, reordered, restarted or paused: no rank takes a step beyond its promised limit before it knows the decision,
// and a decision lies beyond every rank's limit. Timing plays no part. Deterministic; not for planning maps.
//
//     rank_agent agent({ .rank = 3, .life = life, .lead = 64 });
//     if (auto map = agent.grant(step)) engine.run(step, *map);
//     auto reply = agent.handle(message); // to be sent back, if any

#include "coltsfootbend/group/map_messages.h"

#include <limits>
#include <optional>
#include <set>

namespace coltsfootbend {

class rank_agent {
public:
    struct options {
        rank_number rank = 0;
        incarnation life;
        // How many steps beyond those granted a promise still allows; long enough for a decision to arrive.
        step_number lead = 64;
        // The last step that the engine took, or was granted and cannot be stopped from taking, before this life.
        step_number engineAt = 0;
    };

    static constexpr step_number maxGrantAhead = 1024;

    explicit rank_agent(const options&);

    // Returns the map under which the engine may run `step`, and grants it; none when it must wait.
    // Preconditions: steps are granted in order, and at most `maxGrantAhead` beyond the last that the engine has taken.
    std::optional<map_version> grant(step_number step);

    // Takes one message of a coordinator and returns the answer, if there is one.
    std::optional<rank_message> handle(const coordinator_message&);

    // Says that the engine has loaded a map. Returns the answer to the coordinator that asked for it, if one did.
    std::optional<rank_message> loaded(map_version);

    // The map that the engine should load next; none when there is nothing to load.
    std::optional<map_version> wantedMap() const { return m_wanted; }

    const map_schedule& schedule() const { return m_schedule; }
    step_number granted() const { return m_granted; }
    // The last step that may be granted now.
    step_number limit() const { return m_limit; }
    // A fresh life takes part in no step until a decision includes it.
    bool hasJoined() const { return m_joined; }

private:
    static constexpr step_number unlimited = std::numeric_limits<step_number>::max();

    std::optional<rank_message> on(const prepare_map&);
    std::optional<rank_message> on(const propose_switch&);
    std::optional<rank_message> on(const decide_switch&);
    std::optional<rank_message> on(const release_promise&);

    void wantNextMap();

    const options m_options;
    map_schedule m_schedule;
    map_epoch m_promised;
    map_epoch m_preparedFor;
    std::optional<map_version> m_wanted;
    std::set<map_version> m_loaded;
    step_number m_granted;
    step_number m_limit;
    bool m_joined = false;
};

} // namespace coltsfootbend
