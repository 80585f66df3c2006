#include "coltsfootbend/gateway/table_follower.h"

#include "coltsfootbend/base/log_event.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace coltsfootbend {

namespace {

// Interval at which the fibers check whether gateways still follow the store, and whether a poll is pending again.
constexpr std::chrono::milliseconds stateCheckInterval { 100 };
// Longest sleep of the checking fiber: a check that has become due earlier is noticed within this time.
constexpr std::chrono::milliseconds maxCheckSleep { 1000 };

std::string tableLabel(watched_table table) { return "table=" + std::string(toString(table)); }

} // namespace

table_follower::table_follower(fiber_runtime& runtime, watched_store& store, metrics_service& metrics,
    watched_table table, owner& owner, options options)
    : m_runtime(runtime)
    , m_store(store)
    , m_metrics(metrics)
    , m_table(table)
    , m_owner(owner)
    , m_options(options)
    , m_retryDelay(options.initialRetryDelay)
    , m_rereadDelay(options.initialRereadDelay)
    , m_pollDelay(options.pollDelay)
{
}

void table_follower::start()
{
    // A pending call that is never answered is logged only at its timeout; until then this age shows it.
    m_metrics.gauge(std::string(toString(m_table)) + "_unconfirmed_seconds",
        [this] { return m_confirmedAt ? toMilliseconds(clock_type::now() - *m_confirmedAt) / 1000 : -1.0; });
    m_runtime.spawnLoop("store", [this] { follow(); });
    m_runtime.spawnLoop("store checks", [this] { checkLoop(); });
}

void table_follower::stop()
{
    m_stopped = true;
    cancelPoll();
}

void table_follower::follow()
{
    awaitCopy();
    while (!m_stopped) {
        noticeLaterEra();
        const bool hasCopy = m_hasSnapshot || !m_owner.revision(m_table).isNone();
        if (hasCopy && (m_owner.gatewaysFollowStore() || (isOnStandby() && isFollowed()))) {
            markRegained();
            m_retryDelay = m_options.initialRetryDelay; // Others call the store.
            m_runtime.sleepFor(stateCheckInterval);
            continue;
        }
        if (!m_hasSnapshot && hasReceivedTable()) {
            m_hasSnapshot = true;
            continue;
        }
        if (m_hasSnapshot && !m_lostSince && isFollowed()) {
            poll();
            continue;
        }
        if (!m_hasSnapshot && clock_type::now() < m_awaitTableUntil) {
            m_runtime.sleepUntil(std::min(m_awaitTableUntil, clock_type::now() + stateCheckInterval));
            continue;
        }
        if (auto done = m_hasSnapshot ? askForChanges() : readSnapshot(); !done) {
            markLost(done.error());
            backOffAfterFailure();
        }
    }
}

void table_follower::awaitCopy()
{
    const auto limit = clock_type::now() + m_options.initialWait + jitter(m_options.initialWait / 2);
    while (!m_stopped && m_owner.revision(m_table).isNone() && clock_type::now() < limit)
        m_runtime.sleepFor(stateCheckInterval);
}

result<void> table_follower::readSnapshot()
{
    const auto sentAt = clock_type::now();
    auto page = m_store.readAll(m_table, sentAt + m_options.readTimeout);
    recordCall("read", sentAt, page);
    if (!page)
        return tl::unexpected(page.error());
    const auto known = m_owner.position(m_table);
    if (page->revision < known)
        return fail(error_kind::Stale,
            "the store returned an older revision than before: page " + toString(page->revision) + ", known "
                + toString(known),
            "Read the table again");
    m_hasSnapshot = true;
    m_hasFollowedSinceRead = false;
    m_isConfirmedByOthers = false;
    markRegained();
    if (!runLogged("store", [&] { m_owner.receiveSnapshot(m_table, std::move(*page)); })) {
        m_hasSnapshot = false;
        return fail(error_kind::Internal, "the rows of the table could not be taken over", "Read the table again");
    }
    recordConfirmation(sentAt);
    return {};
}

table_follower::changes_call table_follower::beginCall(const char* name) const
{
    return { .name = name,
        .sentAt = clock_type::now(),
        .after = m_owner.position(m_table),
        .known = m_owner.revision(m_table) };
}

// A long poll would show only after its whole length that the store is down, and after a while that it goes on from the
// copy.
result<void> table_follower::askForChanges()
{
    const auto call = beginCall("ask");
    const auto page = m_store.changes(m_table, call.after, call.sentAt, call.sentAt + m_options.readTimeout, nullptr);
    return completeCall(call, page, call.sentAt);
}

void table_follower::poll()
{
    cancellation poll;
    const auto call = beginCall("poll");
    const auto waitUntil = call.sentAt + m_options.pollDuration;
    m_poll = &poll;
    const auto page = m_store.changes(m_table, call.after, waitUntil, waitUntil + m_options.pollAnswerMargin, &poll);
    m_poll = nullptr;
    // The state of the store was already updated where the poll was cancelled.
    if (poll.isCancelled())
        return;
    if (auto done = completeCall(call, page, clock_type::now()); !done) {
        markLost(done.error());
        backOffAfterFailure();
        return;
    }
    // Not after a short call: a store that answers those and refuses polls would be called without a growing pause.
    m_retryDelay = m_options.initialRetryDelay;
    if (m_hasSnapshot)
        m_runtime.sleepFor(nextPollDelay(call.sentAt));
}

duration table_follower::nextPollDelay(time_point pollSentAt)
{
    const bool isPrompt = clock_type::now() < pollSentAt + m_options.promptAnswerTime;
    const auto longest = m_owner.isDeploymentStarting() ? m_options.maxStartingPollDelay : m_options.maxPollDelay;
    if (m_duty == wire::store_duty::Unknown && isPrompt)
        m_pollDelay = std::min(2 * m_pollDelay, std::max(longest, m_options.pollDelay));
    else
        m_pollDelay = m_options.pollDelay;
    return m_pollDelay;
}

void table_follower::checkLoop()
{
    while (!m_stopped) {
        noticeLaterEra();
        const auto now = clock_type::now();
        if (m_poll && !m_lostSince && now >= m_nextCheckAt && !m_owner.gatewaysFollowStore())
            check();
        else
            m_runtime.sleepUntil(std::clamp(m_nextCheckAt, now + stateCheckInterval, now + maxCheckSleep));
    }
}

// A store that accepts calls and answers none holds a poll for its whole length, so that gateways would keep an old
// configuration long after the store's return. The check costs one call per second and table for all gateways together.
void table_follower::check()
{
    const auto call = beginCall("check");
    const auto page = m_store.changes(m_table, call.after, call.sentAt, call.sentAt + m_options.checkTimeout, nullptr);
    if (auto done = completeCall(call, page, call.sentAt); !done) {
        markLost(done.error());
        cancelPoll();
        return;
    }
    m_retryDelay = m_options.initialRetryDelay; // The poll is open, so the store does not refuse polls.
    if (page && !page->rows.empty())
        restartPoll();
    m_owner.storeChecked(m_table);
}

void table_follower::restartPoll()
{
    if (!m_poll)
        return;
    logEvent(log_event::StorePollStalled, tableLabel(m_table));
    cancelPoll();
}

result<void> table_follower::completeCall(const changes_call& call, const result<row_page>& done, time_point asOf)
{
    recordCall(call.name, call.sentAt, done);
    if (!done && done.error().kind != error_kind::Stale)
        return tl::unexpected(done.error());
    if (done && done->revision.era < m_owner.position(m_table).era)
        return fail(error_kind::Lost, "the store's answer is of an earlier era", "Call the store again");
    markRegained();
    // A peer may have provided a newer state in the meantime, to which these changes do not apply.
    const auto known = m_owner.revision(m_table);
    if (known != call.known) {
        if (done && !done->rows.empty())
            logEvent(log_event::DeploymentPageDropped,
                tableLabel(m_table) + " asked_for=" + std::to_string(call.known.number)
                    + " known=" + std::to_string(known.number) + " page=" + std::to_string(done->revision.number));
        return {};
    }
    // The store compares numbers only, so a page of another era may lack changes.
    if (!done || !done->revision.isInEraOf(call.after)) {
        // A call that the store held open has paced the reads by itself.
        if (clock_type::now() >= call.sentAt + m_options.promptAnswerTime)
            m_hasFollowedSinceRead = true;
        abandonPosition();
        return {};
    }
    m_hasFollowedSinceRead = true;
    m_owner.receiveChanges(m_table, *done);
    recordConfirmation(asOf);
    return {};
}

void table_follower::abandonPosition()
{
    m_hasSnapshot = false;
    m_abandonedPosition = m_owner.position(m_table);
    const bool isLaterEra = m_store.latestEra() > m_abandonedPosition.era;
    m_awaitTableUntil = clock_type::now() + (isLaterEra ? restoreDelay() : nextRereadDelay());
    cancelPoll();
}

void table_follower::noticeLaterEra()
{
    if (m_hasSnapshot && m_store.latestEra() > m_owner.position(m_table).era)
        abandonPosition();
}

bool table_follower::hasReceivedTable() const
{
    return !m_abandonedPosition.isNone() && m_owner.position(m_table).era > m_abandonedPosition.era;
}

// All processes notice at about the same time that the store has come back from an older copy. The delays are
// distributed so that, of any number of processes, few draw a short one. These read the table and provide it to the
// others before the delays of the others have passed.
duration table_follower::restoreDelay()
{
    constexpr std::size_t minProcesses = 2;
    const auto processes = static_cast<double>(std::max(m_owner.processCount(), minProcesses));
    const double drawn = std::uniform_real_distribution<double>(1 / processes, 1)(m_random);
    const double share = 1 + std::log(drawn) / std::log(processes); // From 0, rarely, to 1.
    return fromMilliseconds(share * toMilliseconds(m_options.maxRestoreDelay));
}

duration table_follower::nextRereadDelay()
{
    if (m_hasFollowedSinceRead) {
        m_rereadDelay = m_options.initialRereadDelay;
        return duration::zero();
    }
    const auto delay = m_rereadDelay - jitter(m_rereadDelay / 4);
    m_rereadDelay = std::min(2 * m_rereadDelay, m_options.maxRereadDelay);
    return delay;
}

void table_follower::recordCall(const char* name, time_point sentAt, const result<row_page>& done)
{
    m_metrics.count("store_calls_total",
        { { "table", toString(m_table) }, { "call", name }, { "outcome", done ? "ok" : toString(done.error().kind) } });
    if (done)
        return;
    logEvent(log_event::StoreCallFailed,
        tableLabel(m_table) + " call=" + name + " waited_ms="
            + std::to_string(remaining(sentAt, clock_type::now()).count()) + " why=\"" + toString(done.error()) + "\"");
}

bool table_follower::isOnStandby() const
{
    return m_duty == wire::store_duty::Standby && m_hasSnapshot && clock_type::now() < m_nextCheckAt;
}

void table_follower::receiveConfirmation(store_revision revision, time_point asOf)
{
    const auto known = m_owner.revision(m_table);
    if (!known.isInEraOf(revision) || known < revision)
        return;
    m_isConfirmedByOthers = true;
    recordConfirmation(asOf);
}

void table_follower::onEraChanged()
{
    m_confirmedAt.reset();
    m_hasFollowedSinceRead = false;
    m_isConfirmedByOthers = false;
    const time_point latest = clock_type::now() + m_options.checkInterval + m_options.dutyDelay + m_options.dutyJitter;
    m_nextCheckAt = latest - jitter(m_options.dutyJitter);
}

void table_follower::recordConfirmation(time_point asOf)
{
    if (m_confirmedAt && asOf <= *m_confirmedAt)
        return;
    m_confirmedAt = asOf;
    switch (m_duty) {
    case wire::store_duty::Check:
        m_nextCheckAt = asOf + m_options.checkInterval;
        break;
    case wire::store_duty::Follow:
        m_nextCheckAt = asOf + m_options.checkInterval + m_options.dutyDelay + jitter(m_options.dutyJitter / 2);
        break;
    case wire::store_duty::Standby: // Checks after the gateways that follow, whose reports may make the call
                                    // unnecessary.
        m_nextCheckAt = asOf + m_options.checkInterval + m_options.dutyDelay + m_options.dutyJitter
            - jitter(m_options.dutyJitter / 2);
        break;
    case wire::store_duty::Unknown:
        m_nextCheckAt = asOf + jitter(m_options.dutyJitter)
            + (m_owner.isDeploymentStarting() ? m_options.startingCheckInterval : m_options.checkInterval);
        break;
    }
}

void table_follower::setDuty(wire::store_duty duty)
{
    const bool isFirst = m_duty == wire::store_duty::Unknown && duty != wire::store_duty::Unknown;
    m_duty = duty;
    if (isFirst)
        limitNextCheck();
}

void table_follower::limitNextCheck()
{
    if (!m_confirmedAt)
        return;
    const time_point latest = clock_type::now() + m_options.checkInterval + jitter(m_options.dutyJitter);
    m_nextCheckAt = std::min(m_nextCheckAt, latest);
}

void table_follower::markLost(const error& why)
{
    if (m_lostSince)
        return;
    m_lostSince = clock_type::now();
    logEvent(log_event::StoreLost, tableLabel(m_table) + " why=\"" + toString(why) + "\"");
    m_owner.storeLost(m_table, m_confirmedAt.value_or(*m_lostSince));
}

void table_follower::markRegained()
{
    if (!m_lostSince)
        return;
    logEvent(log_event::StoreRegained,
        tableLabel(m_table) + " after_ms=" + std::to_string(remaining(*m_lostSince, clock_type::now()).count()));
    m_lostSince.reset();
    m_owner.storeRegained(m_table);
}

void table_follower::cancelPoll()
{
    if (auto* poll = std::exchange(m_poll, nullptr))
        poll->cancel();
}

// All processes lose the store at the same moment. Their retries are spread so that they don't all arrive together when
// the store returns.
void table_follower::backOffAfterFailure()
{
    m_runtime.sleepFor(m_retryDelay - jitter(m_retryDelay / 4));
    m_retryDelay = std::min(2 * m_retryDelay, m_options.maxRetryDelay);
}

duration table_follower::jitter(duration limit)
{
    return fromMilliseconds(std::uniform_real_distribution<double>(0, toMilliseconds(limit))(m_random));
}

} // namespace coltsfootbend
