#pragma once

// Gives orders to one engine until its report confirms them. An order may be lost, answered but late, or carried out
// seconds after a later one; only the report tells. Everything here may be repeated without harm. Not for deciding what
// to order: see `group/map_leader.h`.
//
//     rank_orders orders(runtime, engine);
//     auto done = orders.arm(formation, { version, step }, deadline, [&] { return term == currentTerm; });

#include "coltsfootbend/group/rank_engine.h"
#include "coltsfootbend/net/fiber_runtime.h"

#include <functional>
#include <optional>

namespace coltsfootbend {

class rank_orders {
public:
    struct options {
        // An engine answers at once, or not at all; the first calls of a process take longer than later ones.
        duration answerLimit = std::chrono::milliseconds(40);
        duration reportLimit = std::chrono::milliseconds(120);
        // Between two looks at the report.
        duration lookEvery = std::chrono::milliseconds(8);
        // An order that is not confirmed by then is given again.
        duration repeatAfter = std::chrono::milliseconds(16);
        // The copy of experts that a prepared map needs takes this long at most.
        duration copyLimit = std::chrono::milliseconds(2500);
    };
    // False once somebody else is in charge: nothing more is ordered.
    using is_current = std::function<bool()>;

    rank_orders(fiber_runtime& runtime, rank_engine& engine)
        : rank_orders(runtime, engine, options {})
    {
    }
    rank_orders(fiber_runtime& runtime, rank_engine& engine, const options& options)
        : m_runtime(runtime)
        , m_engine(engine)
        , m_options(options)
    {
    }

    // Each returns the report that confirms it. Fail with `Stale` when the engine's state rules it out (another
    // formation, a broken group, the pass has begun), with `TimedOut` at `deadline`, with `Denied` when no longer
    // current.
    result<rank_report> prepare(
        const group_formation&, engine_map_version, const group_map&, time_point deadline, const is_current&);
    result<rank_report> arm(const group_formation&, const armed_switch&, time_point deadline, const is_current&);
    result<rank_report> disarm(const group_formation&, engine_map_version, time_point deadline, const is_current&);
    result<rank_report> release(const group_formation&, pass_number step, time_point deadline, const is_current&);

    // The engine was started anew, so that nothing that it was ordered before can still be carried out.
    void forget();

    // A switch that was ordered in `epoch` and is not confirmed: it may still come.
    std::optional<armed_switch> uncertainSwitch(group_epoch epoch) const;
    // The highest version ever ordered in `epoch`.
    engine_map_version highestOrdered(group_epoch epoch) const { return epoch == m_epoch ? m_highest : 0; }

private:
    enum class confirmation { Confirmed, Pending, Impossible };
    using issue_order = std::function<result<void>(time_point deadline)>;
    using judge_report = std::function<confirmation(const rank_report&)>;

    result<rank_report> untilConfirmed(
        const issue_order&, const judge_report&, duration repeatAfter, time_point deadline, const is_current&);
    void enterEpoch(group_epoch);

    fiber_runtime& m_runtime;
    rank_engine& m_engine;
    const options m_options;
    // An order names an epoch only, so one that is late may be carried out in another group whose epoch counts alike:
    // what was ordered is remembered by epoch, whatever the group.
    group_epoch m_epoch = 0;
    std::optional<armed_switch> m_uncertain;
    engine_map_version m_highest = 0;
};

} // namespace coltsfootbend
