#include "coltsfootbend/group/rank_orders.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

// An order says nothing about another formation, or about a group that is not whole. On the wire it names its epoch and
// not its group: that it reaches no other group rests on the report that was read just before, for an engine that joins
// another group is broken and formed anew first, which takes longer than an order.
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
        // An order that was refused may be one that was carried out before: the report tells, and soon.
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
                    return ruledOut(isRefused ? issued.error().message : "it has moved on");
            }
            hasLooked = true;
            m_runtime.sleepFor(m_options.lookEvery);
        }
        if (isRefused)
            return ruledOut(issued.error().message);
        if (clock_type::now() >= deadline)
            return fail(error_kind::TimedOut, "the engine did not confirm the order", "Look at the engine's log");
    }
    return fail(error_kind::Denied, "another agent leads now", "Nothing: it finishes what was begun");
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
        // A version is taken once only, so an accepted order is waited for and not repeated.
        if (isAccepted)
            return {};
        auto done = m_engine.prepare(formation.epoch, version, map, limit);
        isAccepted = done || done.error().kind == error_kind::Stale;
        // Either it was carried out before, unanswered, or it never will be: the copy limit decides.
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
    // Confirmed, or the pass has begun, after which an engine refuses it: in both cases the report is right from now
    // on.
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
        // Another formation holds nothing.
        return isIn(report, formation) && report.held == step ? confirmation::Pending : confirmation::Confirmed;
    };
    if (const auto report = m_engine.report(std::min(deadline, clock_type::now() + m_options.reportLimit));
        report && judge(*report) == confirmation::Confirmed)
        return *report; // Most ranks hold nothing.
    return untilConfirmed([&](time_point limit) { return m_engine.release(formation.epoch, step, limit); }, judge,
        m_options.repeatAfter, deadline, isCurrent);
}

} // namespace coltsfootbend
