#pragma once

// Repeats orders to one engine until its report confirms them. An order may be lost, its answer may be late, and it may
// be carried out seconds after a later order, so only the report is reliable. All calls are safe to repeat. Not for
// deciding what to order: see `group/map_leader.h`.
//
//     rank_orders orders(runtime, engine);
//     auto report = orders.arm(formation, { version, step }, deadline, [&] { return term == currentTerm; });

#include "coltsfootbend/group/rank_engine.h"
#include "coltsfootbend/net/fiber_runtime.h"

#include <functional>
#include <optional>

namespace coltsfootbend {

class rank_orders {
public:
    struct options {
        // Timeout of one order. An engine answers at once or not at all, but the first calls of a process are slower.
        duration answerTimeout = std::chrono::milliseconds(40);
        // Timeout of reading one report.
        duration reportTimeout = std::chrono::milliseconds(120);
        // Interval between reading reports.
        duration reportInterval = std::chrono::milliseconds(8);
        // Time after which an unconfirmed order is sent again.
        duration retryInterval = std::chrono::milliseconds(16);
        // Maximum time for copying the experts that a prepared map needs.
        duration copyTimeout = std::chrono::milliseconds(2500);
    };
    // Returns false once another leader has taken over or the order is superseded; no more orders are sent then.
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

    // Each call returns the report that confirms the order. Fails with `Stale` if the engine's state rules the order
    // out (another formation, a broken group, the pass has begun), with `TimedOut` at `deadline`, and with `Denied`
    // once `is_current` returns false.
    result<rank_report> prepare(
        const group_formation&, engine_map_version, const group_map&, time_point deadline, const is_current&);
    result<rank_report> arm(const group_formation&, const armed_switch&, time_point deadline, const is_current&);
    result<rank_report> disarm(const group_formation&, engine_map_version, time_point deadline, const is_current&);
    result<rank_report> release(const group_formation&, pass_number step, time_point deadline, const is_current&);

    // Discards the record of orders after a restart of the engine, which cannot carry out earlier orders any more.
    void reset();

    // Returns a switch that was ordered in `epoch` but not confirmed; the engine may still carry it out.
    std::optional<armed_switch> uncertainSwitch(group_epoch epoch) const;
    // Returns the highest map version that was ever ordered in `epoch`, or 0.
    engine_map_version highestOrderedVersion(group_epoch epoch) const
    {
        return epoch == m_epoch ? m_highestVersion : 0;
    }

private:
    enum class confirmation { Confirmed, Pending, Impossible };
    using send_order = std::function<result<void>(time_point deadline)>;
    using check_report = std::function<confirmation(const rank_report&)>;

    result<rank_report> repeatUntilConfirmed(
        const send_order&, const check_report&, duration retryInterval, time_point deadline, const is_current&);
    void enterEpoch(group_epoch);

    fiber_runtime& m_runtime;
    rank_engine& m_engine;
    const options m_options;
    // Orders name an epoch but no group, so a late order may be carried out in another group with the same epoch
    // number. The record is therefore kept by epoch, regardless of the group.
    group_epoch m_epoch = 0;
    std::optional<armed_switch> m_uncertainSwitch;
    engine_map_version m_highestVersion = 0;
};

} // namespace coltsfootbend
