#pragma once

// Follows one table of the store: reads a snapshot once, then each change by long polls. A long poll without an answer
// looks the same whether nothing changed or the answer was lost, so the store is also queried by short calls that it
// answers at once. This process makes them, or another one that knows the same revision and reports when it last
// queried the store. One such call also follows each snapshot, because a snapshot may be an earlier state. Each table
// has its own follower, and an answer about one table confirms nothing about the other. After the store has come back
// from an older copy, the table is read again: few processes read it from the store, and the others wait a moment for
// these to provide it. Doesn't interpret rows or read from other processes: see `gateway/deployment_watch.h`.
//
//     table_follower follower(runtime, store, metrics, watched_table::Configuration, owner, {});
//     follower.start();
//     follower.receiveConfirmation(revision, askedAt); // Another process has queried the store.
//     if (follower.awaitsTable()) ... // Another process may provide the table sooner than the store.

#include "coltsfootbend/metrics/metrics.h"
#include "coltsfootbend/net/cancellation.h"
#include "coltsfootbend/net/fiber_runtime.h"
#include "coltsfootbend/store/watched_store.h"
#include "coltsfootbend/wire/messages.h"

#include <optional>
#include <random>

namespace coltsfootbend {

// Keeps the owner's copy of one table current. Runs on two fibers: one polls, the other checks that the poll is alive.
class table_follower {
public:
    // Holds the copy of the table that a follower keeps current, and is notified of changes and outages.
    class owner {
    public:
        virtual ~owner() = default;
        // Returns the revision of the last known change of the table.
        virtual store_revision revision(watched_table) const = 0;
        // Returns the revision up to which all changes of the store are known, those of other tables included.
        virtual store_revision position(watched_table) const = 0;
        // Replaces the copy by a snapshot.
        virtual void receiveSnapshot(watched_table, row_page) = 0;
        // Applies changes to the copy.
        virtual void receiveChanges(watched_table, const row_page&) = 0;
        // Called when the store stops answering; `since` is when it last confirmed the copy.
        virtual void storeLost(watched_table, time_point since) = 0;
        // Called when the store answers again.
        virtual void storeRegained(watched_table) = 0;
        // Called after this process has queried the store with success, so that other processes need not.
        virtual void storeChecked(watched_table) = 0;
        // Returns whether gateways follow the store on behalf of this process.
        virtual bool gatewaysFollowStore() const = 0;
        // Returns whether the deployment is just starting, so that this process has nothing to serve yet.
        virtual bool isDeploymentStarting() const = 0;
        // Returns about how many processes follow the store, this one included.
        virtual std::size_t processCount() const = 0;
    };

    struct options {
        // Wait of a long poll; the store allows up to 30 s.
        duration pollDuration = std::chrono::seconds(20);
        // Time that a long poll may take to answer beyond its wait.
        duration pollAnswerMargin = std::chrono::milliseconds(1500);
        // Delay of the next poll after a change, so that a series of changes costs few calls. Well below the two
        // seconds within which a change must be in force.
        duration pollDelay = std::chrono::milliseconds(300);
        // Longest delay of the next poll while this process's part in following the store is not known. The delay then
        // doubles with each poll that is answered at once, because changes come faster than this process polls: when a
        // whole deployment starts, every server registers, and every process follows the store.
        duration maxPollDelay = std::chrono::milliseconds(1000);
        // A poll that is answered within this time found a change that was there before.
        duration promptAnswerTime = std::chrono::milliseconds(100);
        // The same while the deployment is starting. With the time that a slow store takes to answer, it stays below
        // the two seconds within which a change must be in force.
        duration maxStartingPollDelay = std::chrono::milliseconds(1500);
        // Time after the start within which a process waits for a gateway's copy instead of reading the store.
        duration initialWait = duration::zero();
        // Timeout of a snapshot read, and of a call after the store was lost.
        duration readTimeout = std::chrono::milliseconds(1500);
        // Delay between two attempts while the store does not answer; it doubles with each attempt up to the maximum.
        // The maximum plus a call's timeout stays below the three seconds after the store's return within which every
        // process must be current.
        duration initialRetryDelay = std::chrono::milliseconds(150);
        duration maxRetryDelay = std::chrono::milliseconds(1000);
        // Time after the last confirmation from which on an unanswered poll is checked. Half of the two seconds within
        // which a change must be in force: the other half is for notifying the other processes.
        duration checkInterval = std::chrono::milliseconds(1000);
        // The same while the deployment is starting: until engines are listed, gateways cannot share the checks. With
        // the jitter and the timeout of a check, it stays below five seconds: a store that has lost a poll counts as
        // stable after three, and from then on a change must be in force within two.
        duration startingCheckInterval = std::chrono::milliseconds(3500);
        // Timeout of a check; a slow store still answers within 0.2 s.
        duration checkTimeout = std::chrono::milliseconds(700);
        // Additional delay before a process without the check duty checks. Covers the query of the process that has the
        // duty and its report, which is sent within 0.1 s and forwarded by agents within another 0.1 s.
        duration dutyDelay = std::chrono::milliseconds(300);
        // Checks of processes without the check duty are spread over this time, so that the first one to query the
        // store saves the others the call.
        duration dutyJitter = std::chrono::milliseconds(500);
        // Delay of the next read of the table if the store could not provide the changes since the last one. It doubles
        // with each such read up to the maximum: half of the two seconds within which a change must be in force.
        duration initialRereadDelay = std::chrono::milliseconds(100);
        duration maxRereadDelay = std::chrono::milliseconds(1000);
        // Longest delay from the notice that the store has come back from an older copy to the read of the table. With
        // the longest delay of a retry, after which the return is noticed, it stays below the two seconds within which
        // a change must be in force.
        duration maxRestoreDelay = std::chrono::milliseconds(800);
    };

    table_follower(fiber_runtime&, watched_store&, metrics_service&, watched_table, owner&, options);

    // Starts the two fibers. Failed calls are logged and retried; no error is returned.
    void start();
    // Cancels the pending poll; the fibers end within a second, or with the call that they wait for.
    void stop();

    // Returns since when the store has not answered about this table, as noticed by this process; none while it
    // answers.
    std::optional<time_point> lostSince() const { return m_lostSince; }
    // Returns when the store was last known to have nothing newer than the owner's copy; none before the first time.
    std::optional<time_point> confirmedAt() const { return m_confirmedAt; }

    // Returns whether the store was followed from the owner's copy, by this process or by one that confirmed it. A
    // table that was only read may be an earlier state: a store that has dropped its history may be behind.
    bool isFollowed() const { return m_hasFollowedSinceRead || m_isConfirmedByOthers; }
    // Returns whether the owner's copy is the store's latest state, as far as this process can tell.
    bool isCurrent() const { return !m_lostSince && m_hasSnapshot && isFollowed(); }

    // Receives another process's report that the store had nothing newer than `revision` at `asOf`, by this process's
    // clock. Without effect if the owner's copy is older than `revision`, or of another era.
    void receiveConfirmation(store_revision revision, time_point asOf);
    // Sets this process's part in following the store.
    void setDuty(wire::store_duty);
    // Called when the deployment is no longer starting, so that the table is checked at the usual interval.
    void onDeploymentStarted() { limitNextCheck(); }
    // Returns whether this process needs the whole table, at its start or because the store cannot provide the changes
    // since the owner's position.
    bool awaitsTable() const { return !m_hasSnapshot; }
    // Called when the owner's copy has moved to a later era: what confirmed it before does not count any more.
    void onEraChanged();
    // Returns whether other gateways follow the store for this process and have recently confirmed the owner's copy.
    // Without further confirmations the standby ends before the time within which a change must be in force.
    bool isOnStandby() const;
    // Cancels the pending poll, which is then sent again. Called when another process knew a change that the poll has
    // not returned.
    void restartPoll();

private:
    void follow();
    // Waits until the owner has received a copy from a gateway, but not for longer than `initialWait`.
    void awaitCopy();
    duration nextPollDelay(time_point pollSentAt);
    void checkLoop();
    result<void> readSnapshot();
    // Asks for the changes since the owner's copy in a call that the store answers at once.
    result<void> askForChanges();
    void poll();
    void check();
    // Moves the next check to within the usual interval if it is later.
    void limitNextCheck();
    // A call for the changes of the table, with the state of the owner's copy when it was sent.
    struct changes_call {
        const char* name = "";
        time_point sentAt {};
        store_revision after {}; // Position after which changes are requested.
        store_revision known {}; // Revision of the copy that the changes apply to.
    };
    changes_call beginCall(const char* name) const;
    // Applies the answer, which describes the store at `asOf`, if the copy is still at the revision from which the call
    // was sent. Fails as the call did, and with `Lost` if the answer is of an earlier era than the copy.
    result<void> completeCall(const changes_call&, const result<row_page>& done, time_point asOf);
    void recordCall(const char* name, time_point sentAt, const result<row_page>& done);
    void recordConfirmation(time_point asOf);
    // Records that the store cannot provide the changes since the owner's position, and when the whole table may be
    // read from it.
    void abandonPosition();
    // Abandons the position if the store has answered any call in a later era.
    void noticeLaterEra();
    // Returns whether the owner has received the table of a later era since `abandonPosition`.
    bool hasReceivedTable() const;
    // Returns a random delay for reading the table after the store has come back from an older copy.
    duration restoreDelay();
    // Returns the delay for reading the table again after the store has dropped its history: none if this process has
    // followed the store since the last read. Without that, each call returns a longer one.
    duration nextRereadDelay();
    void markLost(const error&);
    void markRegained();
    void cancelPoll();
    void backOffAfterFailure();
    duration jitter(duration limit);

    fiber_runtime& m_runtime;
    watched_store& m_store;
    metrics_service& m_metrics;
    const watched_table m_table;
    owner& m_owner;
    const options m_options;
    wire::store_duty m_duty = wire::store_duty::Unknown;
    // False before the first snapshot, and after the store has dropped the changes since the last one.
    bool m_hasSnapshot = false;
    // Position that the store cannot continue from, and until when the table is awaited from another process.
    store_revision m_abandonedPosition {};
    time_point m_awaitTableUntil {};
    std::optional<time_point> m_lostSince;
    std::optional<time_point> m_confirmedAt;
    time_point m_nextCheckAt = time_point::max();
    duration m_retryDelay;
    duration m_rereadDelay; // Of the next read that follows one which could not be continued.
    // Whether the store has provided changes, or the lack of any, since the table was last read or moved to a later
    // era; also after a call that the store held before it could not continue, which has paced the reads by itself.
    bool m_hasFollowedSinceRead = true;
    duration m_pollDelay; // Of the last poll.
    // The same for a confirmation by another process.
    bool m_isConfirmedByOthers = false;
    // Cancels the pending poll; null when none is pending.
    cancellation* m_poll = nullptr;
    std::minstd_rand m_random { std::random_device {}() };
    bool m_stopped = false;
};

} // namespace coltsfootbend
