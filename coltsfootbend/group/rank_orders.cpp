#include "coltsfootbend/group/rank_orders.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

// Returns whether the report is of this formation and the group is open. An order names its epoch but not its group on
// the wire, so the report that is read just before the order ensures that the order reaches no other group: an engine
// that joins another group first leaves its broken group and is formed again, which takes longer than an order.
bool isIn(const rank_report& report, const group_formation& formation)
{
    return report.group && report.group->isOpen
        && group_formation { report.group->name, report.group->epoch, report.life } == formation;
}

tl::unexpected<error> ruledOut(const std::string& why)
{
    return fail(error_kind::Stale, "the engine's state rules the order out: " + why, "Read the group's state anew");
}

} // namespace

void rank_orders::enterEpoch(group_epoch epoch)
{
    if (epoch == m_epoch)
        return;
    m_epoch = epoch;
    m_uncertain.reset();
    m_highest = 0;
}

void rank_orders::forget()
{
    m_epoch = 0;
    m_uncertain.reset();
    m_highest = 0;
}

std::optional<armed_switch> rank_orders::uncertainSwitch(group_epoch epoch) const
{
    return epoch == m_epoch ? m_uncertain : std::nullopt;
}

result<rank_report> rank_orders::untilConfirmed(const issue_order& issue, const judge_report& judge,
    duration repeatAfter, time_point deadline, const is_current& isCurrent)
{
    while (isCurrent()) {
        const auto issuedAt = clock_type::now();
        const auto issued = issue(std::min(deadline, issuedAt + m_options.answerLimit));
        // A refused order may have been carried out by an earlier attempt, which the report then shows soon.
        const bool isRefused = !issued && issued.error().kind == error_kind::Stale;
        const auto lookUntil = std::min(deadline, clock_type::now() + repeatAfter);
        bool hasLooked = false;
        while (!hasLooked || clock_type::now() < lookUntil) {
            const auto report = m_engine.report(std::min(deadline, clock_type::now() + m_options.reportLimit));
            if (report) {
                const auto verdict = judge(*report);
                if (verdict == confirmation::Confirmed)
                    return *report;
                if (verdict == confirmation::Impossible)
                    return ruledOut(isRefused ? issued.error().message : "the order is no longer possible");
            }
            hasLooked = true;
            m_runtime.sleepFor(m_options.lookEvery);
        }
        if (isRefused)
            return ruledOut(issued.error().message);
        if (clock_type::now() >= deadline)
            return fail(error_kind::TimedOut, "the engine did not confirm the order", "Check the engine's log");
    }
    return fail(error_kind::Denied, "another agent is the leader now", "Nothing: the new leader completes the change");
}

result<rank_report> rank_orders::prepare(const group_formation& formation, engine_map_version version,
    const group_map& map, time_point deadline, const is_current& isCurrent)
{
    enterEpoch(formation.epoch);
    m_highest = std::max(m_highest, version);
    const auto judge = [&](const rank_report& report) {
        if (!isIn(report, formation))
            return confirmation::Impossible;
        if (report.prepared == version || report.mapVersion == version)
            return confirmation::Confirmed;
        return report.armed || report.prepared.value_or(0) > version ? confirmation::Impossible : confirmation::Pending;
    };
    bool isAccepted = false;
    const auto issue = [&](time_point limit) -> result<void> {
        // An engine accepts a version only once, so an accepted order is not repeated.
        if (isAccepted)
            return {};
        auto done = m_engine.prepare(formation.epoch, version, map, limit);
        isAccepted = done || done.error().kind == error_kind::Stale;
        // A refused order was either accepted by an earlier attempt without an answer or never will be, so it is not
        // repeated either: the report confirms it, or the copy timeout expires.
        return isAccepted ? result<void> {} : done;
    };
    return untilConfirmed(
        issue, judge, m_options.repeatAfter, std::min(deadline, clock_type::now() + m_options.copyLimit), isCurrent);
}

result<rank_report> rank_orders::arm(
    const group_formation& formation, const armed_switch& target, time_point deadline, const is_current& isCurrent)
{
    enterEpoch(formation.epoch);
    const auto judge = [&](const rank_report& report) {
        if (!isIn(report, formation))
            return confirmation::Impossible;
        const bool isArmed
            = report.armed && report.armed->version == target.version && report.armed->step == target.step;
        if (isArmed || report.mapVersion == target.version)
            return confirmation::Confirmed;
        return report.step >= target.step ? confirmation::Impossible : confirmation::Pending;
    };
    m_uncertain = target;
    auto done = untilConfirmed([&](time_point limit) { return m_engine.arm(formation.epoch, target, limit); }, judge,
        m_options.repeatAfter, deadline, isCurrent);
    // Either the switch is confirmed, or the pass has begun, after which the engine refuses the order. The report is
    // accurate in both cases.
    if (done || done.error().kind == error_kind::Stale)
        m_uncertain.reset();
    return done;
}

result<rank_report> rank_orders::disarm(
    const group_formation& formation, engine_map_version version, time_point deadline, const is_current& isCurrent)
{
    enterEpoch(formation.epoch);
    const auto judge = [&](const rank_report& report) {
        const bool isArmed = report.armed && report.armed->version == version;
        return isIn(report, formation) && isArmed ? confirmation::Pending : confirmation::Confirmed;
    };
    return untilConfirmed([&](time_point limit) { return m_engine.disarm(formation.epoch, version, limit); }, judge,
        m_options.repeatAfter, deadline, isCurrent);
}

result<rank_report> rank_orders::release(
    const group_formation& formation, pass_number step, time_point deadline, const is_current& isCurrent)
{
    enterEpoch(formation.epoch);
    const auto judge = [&](const rank_report& report) {
        // An engine in another formation holds no pass of this one.
        return isIn(report, formation) && report.held == step ? confirmation::Pending : confirmation::Confirmed;
    };
    if (const auto report = m_engine.report(std::min(deadline, clock_type::now() + m_options.reportLimit));
        report && judge(*report) == confirmation::Confirmed)
        return *report; // Most ranks hold no pass.
    return untilConfirmed([&](time_point limit) { return m_engine.release(formation.epoch, step, limit); }, judge,
        m_options.repeatAfter, deadline, isCurrent);
}

} // namespace coltsfootbend
