#pragma once

// Under which requests backend servers have crashed, and which of those requests are to blame. Whoever was at a crashed
// server is only a suspect: a request is suspended for a while once it was there at two crashes that nobody else
// explains, and quarantined for long once it was at three. What
// one VM adds, others take in any order and any number of times, and all come to the same verdicts: nothing is agreed
// on. Bounded, and forgets with time. Deterministic. Not for finding crashes: see `gateway/crash_detector.h`.
//
//     crash_history history;
//     history.add({ { .request = fingerprint, .server = life, .at = now } }, now);
//     if (const auto until = history.refusedUntil(fingerprint, now)) // it would crash another server

#include "coltsfootbend/base/time.h"
#include "coltsfootbend/quarantine/request_fingerprint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace coltsfootbend {

// One life of a backend server: its registered name, and its life where it may keep that name.
using server_life = text_id<struct server_life_tag>;

// A request was at a server when that crashed.
struct crash_record {
    request_fingerprint request;
    server_life server;
    time_point at {};
    // The request was run to a good end since, so it was not the cause. Holds for good.
    bool isCleared = false;

    bool operator==(const crash_record&) const = default;
};

class crash_history {
public:
    struct options {
        std::size_t crashesToQuarantine = 3;
        std::size_t crashesToSuspend = 2;
        // After the last crash: longer than a group takes to form again and its callers to come back, short enough for
        // one that was at two crashes by chance.
        duration suspendedFor = std::chrono::minutes(1);
        // Requests that were at the same crashes cannot be told apart; beyond so many it is no chance any more.
        std::size_t crashesThatNeedNoProof = 5;
        // After the last crash that counts, for others to tell who else was there.
        duration settle = std::chrono::milliseconds(300);
        duration suspectKeptFor = std::chrono::minutes(10);
        // Counted from the request's last crash; then it may be tried again.
        duration quarantineKeptFor = std::chrono::minutes(60);
        std::size_t maxRecords = 2048;
    };

    crash_history()
        : crash_history(options {})
    {
    }
    explicit crash_history(const options& options)
        : m_options(options)
    {
    }

    // Returns those that are news. Of records of the same request and server one is kept, cleared if any of them is.
    // O(records).
    std::vector<crash_record> add(const std::vector<crash_record>&, time_point now);
    // The request was run to a good end. Returns its records if that is news. O(records).
    std::vector<crash_record> clear(const request_fingerprint&);
    // Forgets what is old. O(records).
    void expire(time_point now);

    // Crashes at which the request was, as far as they are not explained by others. O(log records).
    std::size_t crashes(const request_fingerprint&) const;
    bool isQuarantined(const request_fingerprint&, time_point now) const;
    // Until when it is quarantined or suspended if nothing more is heard of it; none if it is neither. O(log records).
    std::optional<time_point> refusedUntil(const request_fingerprint&, time_point now) const;
    // All requests that are quarantined, and those that are suspended, whether or not the verdicts have settled.
    std::set<request_fingerprint> quarantined() const;
    std::set<request_fingerprint> suspended(time_point now) const;

    bool isEmpty() const { return m_suspects.empty(); }
    // There is no room for more: what others know beyond that is not to be asked for.
    bool isFull() const { return m_records >= m_options.maxRecords; }
    // Equal for equal histories, however they came about.
    std::uint64_t digest() const { return m_digest; }
    std::vector<crash_record> records() const;
    std::vector<crash_record> recordsOf(const request_fingerprint&) const;

private:
    struct crash {
        time_point at {};
        time_point heardAt {};
        bool isCleared = false;
    };
    struct suspect {
        std::map<server_life, crash> crashes;
        std::size_t unexplained = 0;
        // When it counts as quarantined, and until when.
        std::optional<time_point> quarantinedFrom;
        // The same of a suspension.
        std::optional<time_point> suspendedFrom;
        time_point suspendedUntil {};
        time_point keptUntil {};
    };
    using crash_set = std::set<server_life>;
    using suspicions = std::map<request_fingerprint, crash_set>;

    bool addOne(const crash_record&, time_point now);
    void makeRoom();
    void judge();
    suspicions openSuspicions() const;
    // Of those with most crashes the first; none is left with enough of them.
    std::optional<request_fingerprint> mostSuspected(const suspicions&) const;
    // Who was at as many crashes, and at more than one of the same.
    static std::vector<request_fingerprint> rivals(const suspicions&, const request_fingerprint&);
    void quarantine(const request_fingerprint&, const crash_set&);
    void suspend(const suspicions& open);
    // When the others can have told who else was at the crash that completed `count` of them.
    time_point settledAt(const suspect&, const crash_set&, std::size_t count) const;
    void updateLimits();
    void updateDigest();

    const options m_options;
    std::map<request_fingerprint, suspect> m_suspects;
    std::size_t m_records = 0;
    std::uint64_t m_digest = 0;
};

} // namespace coltsfootbend
