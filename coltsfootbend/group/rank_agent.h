#pragma once

// One rank's part in agreeing on expert maps: grants steps to its engine together with the map to run them under, and
// makes and keeps promises to coordinators. All ranks of a group run each step under the same map, even if messages are
// lost, late, duplicated or reordered, or processes restart or pause: no rank runs a step beyond its promised limit
// before it has received the decision, and a decision takes effect beyond the limits of all ranks. Correctness does not
// depend on timing. Deterministic. Not for planning maps.
//
//     rank_agent agent({ .rank = 3, .ownIncarnation = incarnation(7), .promiseMargin = 64 });
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
        incarnation ownIncarnation; // Of this agent's process.
        // Number of steps that a promise allows beyond those already granted; long enough for a decision to arrive.
        step_number promiseMargin = 64;
        // Last step that the engine ran, or was granted and may still run, before this incarnation.
        step_number lastEngineStep = 0;
    };

    // Largest number of steps that may be granted beyond the last one that the engine has run.
    static constexpr step_number maxGrantAhead = 1024;

    explicit rank_agent(const options&);

    // Grants `step` and returns the map under which the engine may run it; none if the engine must wait.
    // Preconditions: steps are granted in order, and at most `maxGrantAhead` beyond the last that the engine has run.
    std::optional<map_version> grant(step_number step);

    // Handles one message of a coordinator and returns the answer, if there is one.
    std::optional<rank_message> handle(const coordinator_message&);

    // Records that the engine has loaded a map. Returns the answer to the coordinator that requested it, if any.
    std::optional<rank_message> onMapLoaded(map_version);

    // Map that the engine should load next; none if there is nothing to load.
    std::optional<map_version> mapToLoad() const { return m_mapToLoad; }

    const map_schedule& schedule() const { return m_schedule; }
    step_number granted() const { return m_granted; }
    // Last step that may be granted now.
    step_number limit() const { return m_limit; }
    // False in a new incarnation until a decision includes it; no step is granted before.
    bool hasJoined() const { return m_hasJoined; }

private:
    static constexpr step_number unlimited = std::numeric_limits<step_number>::max();

    std::optional<rank_message> on(const prepare_map&);
    std::optional<rank_message> on(const propose_switch&);
    std::optional<rank_message> on(const decide_switch&);
    std::optional<rank_message> on(const release_promise&);

    void selectNextMap();

    const options m_options;
    map_schedule m_schedule;
    map_epoch m_promised;
    map_epoch m_preparedFor;
    std::optional<map_version> m_mapToLoad;
    std::set<map_version> m_loaded;
    step_number m_granted;
    step_number m_limit;
    bool m_hasJoined = false;
};

} // namespace coltsfootbend
