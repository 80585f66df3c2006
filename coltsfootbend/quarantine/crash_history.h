#pragma once

// Records which requests were running when backend servers crashed, and decides which of them caused the crashes. A
// request at a crashed server is a suspect. It is suspended for about a minute after two crashes that no other request
// explains, and quarantined for an hour after three. Records may be added in any order and any number of times: all VMs
// reach the same verdicts from the same records, without consensus. Memory is bounded, and records expire.
// Deterministic. Does not detect crashes: see `gateway/crash_detector.h`.
//
//     crash_history history;
//     history.add({ { .request = fingerprint, .server = incarnation, .at = now } }, now);
//     if (const auto until = history.refusedUntil(fingerprint, now)) // refuse the request

#include "coltsfootbend/base/time.h"
#include "coltsfootbend/quarantine/request_fingerprint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace coltsfootbend {

// Identifies one incarnation of a backend server: its registered name, followed by its incarnation where a restarted
// server may keep its name.
using server_incarnation = text_id<struct server_incarnation_tag>;

// States that a request was running at a server when that crashed.
struct crash_record {
    request_fingerprint request;
    server_incarnation server;
    time_point at {};
    // The request has succeeded since, so it did not cause the crash. Never reset.
    bool isCleared = false;

    bool operator==(const crash_record&) const = default;
};

// Holds the crash records of suspect requests and the verdicts on them.
class crash_history {
public:
    struct options {
        // Number of unexplained crashes after which a request is quarantined.
        std::size_t crashesToQuarantine = 3;
        // Number of unexplained crashes after which a request is suspended.
        std::size_t crashesToSuspend = 2;
        // How long after its last crash a request is suspended. Longer than a group takes to form again and its callers
        // to return; short enough for a request that was at two crashes by coincidence.
        duration suspendedFor = std::chrono::minutes(1);
        // Requests that were at the same crashes cannot be distinguished, and none of them is quarantined. From this
        // number of crashes on, one of them is quarantined all the same, since coincidence is ruled out.
        std::size_t crashesToQuarantineAmbiguous = 5;
        // Delay from the receipt of the record that completes a verdict until the verdict takes effect, during which
        // the other gateways can report which other requests were running at the crash.
        duration settlingTime = std::chrono::milliseconds(300);
        // How long after its last crash the records of a request are stored if it is not quarantined.
        duration suspectRetention = std::chrono::minutes(10);
        // How long a quarantine lasts after the request's last crash. The request is accepted again after that.
        duration quarantineRetention = std::chrono::minutes(60);
        // Maximum number of records; the requests with the fewest unexplained crashes are evicted first.
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

    // Adds records and returns those that changed the history. Records of the same request and server are merged, and
    // the result is cleared if any of them is. O(records).
    std::vector<crash_record> add(const std::vector<crash_record>&, time_point now);
    // Clears the records of a request that has succeeded. Returns them if any was not cleared yet. O(records).
    std::vector<crash_record> clear(const request_fingerprint&);
    // Removes the requests whose retention has passed. O(records).
    void expire(time_point now);

    // Returns the number of crashes of the request that no other request explains. O(log records).
    std::size_t crashes(const request_fingerprint&) const;
    // Returns whether the request is quarantined at `now`, that is, after the verdict has settled. O(log records).
    bool isQuarantined(const request_fingerprint&, time_point now) const;
    // Returns when the quarantine or suspension of the request ends if no further record arrives; none if it is neither
    // quarantined nor suspended. O(log records).
    std::optional<time_point> refusedUntil(const request_fingerprint&, time_point now) const;
    // Return all requests that are quarantined or suspended, including those whose verdicts have not settled.
    std::set<request_fingerprint> quarantined() const;
    std::set<request_fingerprint> suspended(time_point now) const;

    bool isEmpty() const { return m_suspects.empty(); }
    // Returns whether the capacity is used up. Further records must not be requested from other processes then.
    bool isFull() const { return m_records >= m_options.maxRecords; }
    // Returns a hash that is equal for histories with equal records, in whatever order these were added.
    std::uint64_t digest() const { return m_digest; }
    std::vector<crash_record> records() const;
    std::vector<crash_record> recordsOf(const request_fingerprint&) const;

private:
    struct crash {
        time_point at {};
        time_point receivedAt {};
        bool isCleared = false;
    };
    struct suspect {
        std::map<server_incarnation, crash> crashes;
        // Number of crashes that no other request explains.
        std::size_t unexplained = 0;
        // Start of the quarantine, which lasts until `retainedUntil`.
        std::optional<time_point> quarantinedFrom;
        // Start of the suspension, which lasts until `suspendedUntil`.
        std::optional<time_point> suspendedFrom;
        time_point suspendedUntil {};
        time_point retainedUntil {};
    };
    using crash_set = std::set<server_incarnation>;
    using suspected_crashes = std::map<request_fingerprint, crash_set>;

    bool addOne(const crash_record&, time_point now);
    void evictLeastSuspected();
    void attributeCrashes();
    suspected_crashes unexplainedCrashes() const;
    // Returns the first of the requests with most crashes, or none if these are too few for a quarantine.
    std::optional<request_fingerprint> mostSuspected(const suspected_crashes&) const;
    // Returns the requests that cannot be distinguished from the given one: those with the same number of crashes that
    // share more than one crash with it.
    static std::vector<request_fingerprint> indistinguishableFrom(const suspected_crashes&, const request_fingerprint&);
    void quarantine(const request_fingerprint&, const crash_set&);
    void suspend(const suspected_crashes& open);
    // Returns when the other gateways have had time to report which requests were at the crash that completed `count`.
    time_point settledAt(const suspect&, const crash_set&, std::size_t count) const;
    void updateRetention();
    void updateDigest();

    const options m_options;
    std::map<request_fingerprint, suspect> m_suspects;
    std::size_t m_records = 0;
    std::uint64_t m_digest = 0;
};

} // namespace coltsfootbend
