#include "coltsfootbend/group/rank_orders.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

// Returns whether the report is of this formation and the group is open. An order names its epoch but not its group on
// the wire, so the report that is read just before the order ensures that the order reaches no other group: an engine
// that joins another group first leaves its broken group and is formed again, which takes longer than an order.
bool isInOpenFormation(const rank_report& report, const group_formation& formation)
{
    return report.group && report.group->isOpen
        && group_formation { report.group->name, report.group->epoch, report.incarnation } == formation;
}

tl::unexpected<error> staleOrderError(const std::string& reason)
{
    return fail(error_kind::Stale, "the engine's state rules the order out: " + reason, "Read the group's state again");
}

} // namespace

void rank_orders::enterEpoch(group_epoch epoch)
{
    if (epoch == m_epoch)
        return;
    m_epoch = epoch;
    m_uncertainSwitch.reset();
    m_highestVersion = 0;
}

void rank_orders::reset()
{
    m_epoch = 0;
    m_uncertainSwitch.reset();
    m_highestVersion = 0;
}

std::optional<armed_switch> rank_orders::uncertainSwitch(group_epoch epoch) const
{
    return epoch == m_epoch ? m_uncertainSwitch : std::nullopt;
}

result<rank_report> rank_orders::repeatUntilConfirmed(const send_order& sendOrder, const check_report& check,
    duration retryInterval, time_point deadline, const is_current& isCurrent)
{
    while (isCurrent()) {
        const auto sentAt = clock_type::now();
        const auto sent = sendOrder(std::min(deadline, sentAt + m_options.answerTimeout));
        // A refused order may have been carried out by an earlier attempt, which the report then shows soon.
        const bool isRefused = !sent && sent.error().kind == error_kind::Stale;
        const auto pollUntil = std::min(deadline, clock_type::now() + retryInterval);
        bool hasPolled = false;
        while (!hasPolled || clock_type::now() < pollUntil) {
            const auto report = m_engine.report(std::min(deadline, clock_type::now() + m_options.reportTimeout));
            if (report) {
                const auto outcome = check(*report);
                if (outcome == confirmation::Confirmed)
                    return *report;
                if (outcome == confirmation::Impossible)
                    return staleOrderError(isRefused ? sent.error().message : "the order is no longer possible");
            }
            hasPolled = true;
            m_runtime.sleepFor(m_options.reportInterval);
        }
        if (isRefused)
            return staleOrderError(sent.error().message);
        if (clock_type::now() >= deadline)
            return fail(error_kind::TimedOut, "the engine did not confirm the order", "Check the engine's log");
    }
    return fail(error_kind::Denied, "another agent is the leader now", "Nothing: the new leader completes the change");
}

result<rank_report> rank_orders::prepare(const group_formation& formation, engine_map_version version,
    const group_map& map, time_point deadline, const is_current& isCurrent)
{
    enterEpoch(formation.epoch);
    m_highestVersion = std::max(m_highestVersion, version);
    const auto check = [&](const rank_report& report) {
        if (!isInOpenFormation(report, formation))
            return confirmation::Impossible;
        if (report.prepared == version || report.mapVersion == version)
            return confirmation::Confirmed;
        return report.armed || report.prepared.value_or(0) > version ? confirmation::Impossible : confirmation::Pending;
    };
    bool isAccepted = false;
    const auto sendOrder = [&](time_point limit) -> result<void> {
        // An engine accepts a version only once, so an accepted order is not repeated.
        if (isAccepted)
            return {};
        auto done = m_engine.prepare(formation.epoch, version, map, limit);
        isAccepted = done || done.error().kind == error_kind::Stale;
        // A refused order was either accepted by an earlier attempt without an answer or never will be, so it is not
        // repeated either: the report confirms it, or the copy timeout expires.
        return isAccepted ? result<void> {} : done;
    };
    return repeatUntilConfirmed(sendOrder, check, m_options.retryInterval,
        std::min(deadline, clock_type::now() + m_options.copyTimeout), isCurrent);
}

result<rank_report> rank_orders::arm(
    const group_formation& formation, const armed_switch& target, time_point deadline, const is_current& isCurrent)
{
    enterEpoch(formation.epoch);
    const auto check = [&](const rank_report& report) {
        if (!isInOpenFormation(report, formation))
            return confirmation::Impossible;
        const bool isArmed
            = report.armed && report.armed->version == target.version && report.armed->step == target.step;
        if (isArmed || report.mapVersion == target.version)
            return confirmation::Confirmed;
        return report.step >= target.step ? confirmation::Impossible : confirmation::Pending;
    };
    m_uncertainSwitch = target;
    auto done = repeatUntilConfirmed([&](time_point limit) { return m_engine.arm(formation.epoch, target, limit); },
        check, m_options.retryInterval, deadline, isCurrent);
    // Either the switch is confirmed, or the pass has begun, after which the engine refuses the order. The report is
    // accurate in both cases.
    if (done || done.error().kind == error_kind::Stale)
        m_uncertainSwitch.reset();
    return done;
}

result<rank_report> rank_orders::disarm(
    const group_formation& formation, engine_map_version version, time_point deadline, const is_current& isCurrent)
{
    enterEpoch(formation.epoch);
    const auto check = [&](const rank_report& report) {
        const bool isArmed = report.armed && report.armed->version == version;
        return isInOpenFormation(report, formation) && isArmed ? confirmation::Pending : confirmation::Confirmed;
    };
    return repeatUntilConfirmed([&](time_point limit) { return m_engine.disarm(formation.epoch, version, limit); },
        check, m_options.retryInterval, deadline, isCurrent);
}

result<rank_report> rank_orders::release(
    const group_formation& formation, pass_number step, time_point deadline, const is_current& isCurrent)
{
    enterEpoch(formation.epoch);
    const auto check = [&](const rank_report& report) {
        // An engine in another formation holds no pass of this one.
        return isInOpenFormation(report, formation) && report.held == step ? confirmation::Pending
                                                                           : confirmation::Confirmed;
    };
    if (const auto report = m_engine.report(std::min(deadline, clock_type::now() + m_options.reportTimeout));
        report && check(*report) == confirmation::Confirmed)
        return *report; // Most ranks hold no pass.
    return repeatUntilConfirmed([&](time_point limit) { return m_engine.release(formation.epoch, step, limit); }, check,
        m_options.retryInterval, deadline, isCurrent);
}

} // namespace coltsfootbend
