#pragma once

// Follows one table of the store: reads it whole once, then each change by long polls. A poll that tells nothing looks
// the same whether nothing changed or its answer will never come, so the store is asked in between, by calls that are
// answered at once: by this process, or by another one that knows as much and says when it last asked. Each table has a
// follower of its own, and an answer about one is no proof for the other. Not for deciding what rows mean, nor for what
// other processes know: see `gateway/deployment_watch.h`.
//
//     table_follower follower(runtime, store, metrics, watched_table::Configuration, owner, {});
//     follower.start();
//     follower.hearConfirmation(revision, askedAt); // Another process has asked.

#include "coltsfootbend/metrics/metrics.h"
#include "coltsfootbend/net/cancellation.h"
#include "coltsfootbend/net/fiber_runtime.h"
#include "coltsfootbend/store/watched_store.h"
#include "coltsfootbend/wire/messages.h"

#include <optional>
#include <random>

namespace coltsfootbend {

class table_follower {
public:
    // Whose copy of the table is kept current.
    class owner {
    public:
        virtual ~owner() = default;
        // Of the last change of the table that is known.
        virtual store_revision revision(watched_table) const = 0;
        // All changes of the store up to here are known, which most often concern other tables.
        virtual store_revision position(watched_table) const = 0;
        virtual void takeWhole(watched_table, row_page) = 0;
        // Changes to the state that is known.
        virtual void takeChanges(watched_table, const row_page&) = 0;
        // The store has not been heard since `since`.
        virtual void storeLost(watched_table, time_point since) = 0;
        virtual void storeRegained(watched_table) = 0;
        // This process has asked the store itself, and others need not.
        virtual void storeChecked(watched_table) = 0;
        // True while others follow the store for this process.
        virtual bool isFollowedByOthers() const = 0;
    };

    struct options {
        // A long poll; the store allows up to 30 s.
        duration pollLength = std::chrono::seconds(20);
        // How much longer than its wait a long poll may take to answer.
        duration answerSlack = std::chrono::milliseconds(1500);
        // After a change the next poll waits this long, so that a series of changes costs few calls. Well below what a
        // change may take until it is in force.
        duration settle = std::chrono::milliseconds(300);
        // Of a read of the whole table, and of a call after the store was lost.
        duration readLimit = std::chrono::milliseconds(1500);
        // Between two tries when the store does not answer; doubled with each up to the longest. Together with the
        // limit of a call the longest stays below the three seconds after the store's return from which on all must be
        // current.
        duration retryPause = std::chrono::milliseconds(150);
        duration longestRetryPause = std::chrono::milliseconds(1000);
        // For how long the silence of a poll is believed. Half of the two seconds within which a change must be in
        // force: the rest is for telling the other processes.
        duration checkAfter = std::chrono::milliseconds(1000);
        // A store that is slow answers within 0.2 s.
        duration checkLimit = std::chrono::milliseconds(700);
        // What the process whose duty it is needs to ask and to be heard: its news goes out within 0.1 s, and agents
        // pass it on within 0.1 s. Others wait as much longer.
        duration dutyDelay = std::chrono::milliseconds(300);
        // Processes without a duty are spread over this time, so that the first to ask spares the others.
        duration dutySpread = std::chrono::milliseconds(500);
    };

    table_follower(fiber_runtime&, watched_store&, metrics_service&, watched_table, owner&, options);

    // Starts to follow, on fibers of its own. Failures are logged and tried again; none is returned.
    void start();
    // Ends the poll that is out; the fibers end within a second, or with the call that they wait for.
    void stop();

    // Since when the store does not answer about this table, as far as this process has noticed; none while it does.
    std::optional<time_point> lostSince() const { return m_lostSince; }
    // When the store was last known to have nothing newer than this process has; none before that.
    std::optional<time_point> confirmedAt() const { return m_confirmedAt; }

    // The store had nothing newer than `revision` at `asOf` (of this process's clock), as another process says. Without
    // effect where this process knows less than that.
    void hearConfirmation(store_revision revision, time_point asOf);
    void setDuty(wire::store_duty duty) { m_duty = duty; }
    // True while others follow the store for this process, and have lately found that it has nothing newer than what is
    // known here. Their silence ends it sooner than news have to be in force.
    bool isResting() const;
    // Others knew what the poll that is out has not told: it is asked anew.
    void distrustPoll();

private:
    void follow();
    void checkLoop();
    result<void> readWhole();
    result<void> askAfterLoss();
    void poll();
    void check();
    struct changes_call {
        const char* name = "";
        time_point sentAt {};
        store_revision after = 0; // The position from which it asks.
        store_revision known = 0; // The revision that it builds on.
    };
    changes_call beginCall(const char* name) const;
    // Takes what the store told, which it knew at `asOf`, if that builds on what is known. Fails as the call did.
    result<void> settleCall(const changes_call&, const result<row_page>& done, time_point asOf);
    void noteCall(const char* name, time_point sentAt, const result<row_page>& done);
    void confirm(time_point asOf);
    void lose(const error&);
    void regain();
    void cancelPoll();
    void pauseAfterFailure();
    duration spread(duration most);

    fiber_runtime& m_runtime;
    watched_store& m_store;
    metrics_service& m_metrics;
    const watched_table m_table;
    owner& m_owner;
    const options m_options;
    wire::store_duty m_duty = wire::store_duty::Unknown;
    // False until the table was read whole, and after the store has forgotten the changes since.
    bool m_isWhole = false;
    std::optional<time_point> m_lostSince;
    std::optional<time_point> m_confirmedAt;
    time_point m_checkAt = time_point::max();
    duration m_retryPause;
    // Of the poll that is out.
    cancellation* m_poll = nullptr;
    std::minstd_rand m_random { std::random_device {}() };
    bool m_stopped = false;
};

} // namespace coltsfootbend
