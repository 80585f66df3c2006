#include "coltsfootbend/gateway/table_follower.h"

#include "coltsfootbend/base/log_event.h"

#include <algorithm>
#include <utility>

namespace coltsfootbend {

namespace {

// Whether others still follow the store, and whether a poll is out again, is looked at this often.
constexpr std::chrono::milliseconds lookEvery { 100 };
// A check that is due sooner than was thought, at the latest.
constexpr std::chrono::milliseconds longestSleep { 1000 };

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
    , m_retryPause(options.retryPause)
{
}

void table_follower::start()
{
    // For a call that is out and may never be answered there is no line in the log yet; the age shows it.
    m_metrics.gauge(std::string(toString(m_table)) + "_unconfirmed_seconds",
        [this] { return m_confirmedAt ? toMilliseconds(clock_type::now() - *m_confirmedAt) / 1000 : -1.0; });
    m_runtime.spawn([this] { follow(); });
    m_runtime.spawn([this] { checkLoop(); });
}

void table_follower::stop()
{
    m_stopped = true;
    cancelPoll();
}

void table_follower::follow()
{
    while (!m_stopped) {
        if (m_isWhole && (m_owner.isFollowedByOthers() || isResting())) {
            regain();
            m_runtime.sleepFor(lookEvery);
            continue;
        }
        if (m_isWhole && !m_lostSince) {
            poll();
            continue;
        }
        if (auto done = m_isWhole ? askAfterLoss() : readWhole(); !done) {
            lose(done.error());
            pauseAfterFailure();
        }
    }
}

result<void> table_follower::readWhole()
{
    const auto sentAt = clock_type::now();
    auto page = m_store.readAll(m_table, sentAt + m_options.readLimit);
    noteCall("read", sentAt, page);
    if (!page)
        return tl::unexpected(page.error());
    if (page->revision < m_owner.position(m_table))
        return fail(error_kind::Stale, "the store answered with an older state than it gave before", "Ask again");
    m_isWhole = true;
    regain();
    confirm(sentAt);
    m_owner.takeWhole(m_table, std::move(*page));
    return {};
}

table_follower::changes_call table_follower::beginCall(const char* name) const
{
    return { .name = name,
        .sentAt = clock_type::now(),
        .after = m_owner.position(m_table),
        .known = m_owner.revision(m_table) };
}

// A poll is asked again only once the store answers, for it would wait in vain for its whole length otherwise.
result<void> table_follower::askAfterLoss()
{
    const auto call = beginCall("ask");
    const auto page = m_store.changes(m_table, call.after, call.sentAt, call.sentAt + m_options.readLimit, nullptr);
    return settleCall(call, page, call.sentAt);
}

void table_follower::poll()
{
    cancellation poll;
    const auto call = beginCall("poll");
    const auto waitUntil = call.sentAt + m_options.pollLength;
    m_poll = &poll;
    const auto page = m_store.changes(m_table, call.after, waitUntil, waitUntil + m_options.answerSlack, &poll);
    m_poll = nullptr;
    // Whoever ended it knows better how the store is.
    if (poll.isCancelled())
        return;
    if (auto done = settleCall(call, page, clock_type::now()); !done) {
        lose(done.error());
        pauseAfterFailure();
        return;
    }
    if (m_isWhole)
        m_runtime.sleepFor(m_options.settle);
}

void table_follower::checkLoop()
{
    while (!m_stopped) {
        const auto now = clock_type::now();
        if (m_poll && !m_lostSince && now >= m_checkAt && !m_owner.isFollowedByOthers())
            check();
        else
            m_runtime.sleepUntil(std::clamp(m_checkAt, now + lookEvery, now + longestSleep));
    }
}

// A store that takes calls and answers none holds a poll for its whole length, and gateways would run on an old
// configuration long after its return. The check costs one call a second and table for all gateways together.
void table_follower::check()
{
    const auto call = beginCall("check");
    const auto page = m_store.changes(m_table, call.after, call.sentAt, call.sentAt + m_options.checkLimit, nullptr);
    if (auto done = settleCall(call, page, call.sentAt); !done) {
        lose(done.error());
        cancelPoll();
        return;
    }
    if (page && !page->rows.empty())
        distrustPoll();
    m_owner.storeChecked(m_table);
}

void table_follower::distrustPoll()
{
    if (!m_poll)
        return;
    logEvent(log_event::StorePollStalled, tableLabel(m_table));
    cancelPoll();
}

result<void> table_follower::settleCall(const changes_call& call, const result<row_page>& done, time_point asOf)
{
    noteCall(call.name, call.sentAt, done);
    if (!done && done.error().kind != error_kind::Stale)
        return tl::unexpected(done.error());
    regain();
    if (!done) {
        m_isWhole = false;
        cancelPoll();
        return {};
    }
    // Another process may have told a newer state meanwhile, on which these changes do not build.
    const auto known = m_owner.revision(m_table);
    if (known != call.known) {
        if (!done->rows.empty())
            logEvent(log_event::DeploymentPageDropped,
                tableLabel(m_table) + " asked_for=" + std::to_string(call.known) + " known=" + std::to_string(known)
                    + " page=" + std::to_string(done->revision));
        return {};
    }
    m_owner.takeChanges(m_table, *done);
    confirm(asOf);
    return {};
}

void table_follower::noteCall(const char* name, time_point sentAt, const result<row_page>& done)
{
    m_metrics.count("store_calls_total",
        { { "table", toString(m_table) }, { "call", name }, { "outcome", done ? "ok" : toString(done.error().kind) } });
    if (done)
        return;
    logEvent(log_event::StoreCallFailed,
        tableLabel(m_table) + " call=" + name + " waited_ms="
            + std::to_string(remaining(sentAt, clock_type::now()).count()) + " why=\"" + toString(done.error()) + "\"");
}

bool table_follower::isResting() const
{
    return m_duty == wire::store_duty::Standby && m_isWhole && clock_type::now() < m_checkAt;
}

void table_follower::hearConfirmation(store_revision revision, time_point asOf)
{
    if (m_owner.revision(m_table) >= revision)
        confirm(asOf);
}

void table_follower::confirm(time_point asOf)
{
    if (m_confirmedAt && asOf <= *m_confirmedAt)
        return;
    m_confirmedAt = asOf;
    switch (m_duty) {
    case wire::store_duty::Check:
        m_checkAt = asOf + m_options.checkAfter;
        break;
    case wire::store_duty::Follow:
        m_checkAt = asOf + m_options.checkAfter + m_options.dutyDelay + spread(m_options.dutySpread / 2);
        break;
    case wire::store_duty::Standby: // After those who follow, whose news may spare it the call.
        m_checkAt = asOf + m_options.checkAfter + m_options.dutyDelay + m_options.dutySpread
            - spread(m_options.dutySpread / 2);
        break;
    case wire::store_duty::Unknown:
        m_checkAt = asOf + m_options.checkAfter + spread(m_options.dutySpread);
        break;
    }
}

void table_follower::lose(const error& why)
{
    if (m_lostSince)
        return;
    m_lostSince = clock_type::now();
    logEvent(log_event::StoreLost, tableLabel(m_table) + " why=\"" + toString(why) + "\"");
    m_owner.storeLost(m_table, m_confirmedAt.value_or(*m_lostSince));
}

void table_follower::regain()
{
    m_retryPause = m_options.retryPause;
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

// All processes lose the store at once: their tries are spread, so that its return is not met by all of them together.
void table_follower::pauseAfterFailure()
{
    m_runtime.sleepFor(m_retryPause - spread(m_retryPause / 4));
    m_retryPause = std::min(2 * m_retryPause, m_options.longestRetryPause);
}

duration table_follower::spread(duration most)
{
    return fromMilliseconds(std::uniform_real_distribution<double>(0, toMilliseconds(most))(m_random));
}

} // namespace coltsfootbend
