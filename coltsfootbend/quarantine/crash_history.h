#pragma once

// Records which requests and which parts of their prompts were at backend servers when these crashed, and decides which
// requests are refused for it: for about a minute after two crashes that nothing else explains (suspended), and for an
// hour after three (quarantined). Records may be added in any order and any number of times: all VMs reach the same
// verdicts from the same records, without consensus. Memory is bounded, and records expire. Deterministic. Does not
// detect crashes: see `gateway/crash_detector.h`.
//
//     crash_history history;
//     history.add({ { .suspect = suspectOf(fingerprint), .server = incarnation, .at = now } }, now);
//     if (const auto until = history.refusedUntil({ suspectOf(fingerprint) }, now)) // refuse the request

#include "coltsfootbend/base/time.h"
#include "coltsfootbend/quarantine/crash_attribution.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace coltsfootbend {

// States that a suspect was at a server when that crashed.
struct crash_record {
    crash_suspect suspect;
    server_incarnation server;
    time_point at {};
    // The suspect has completed since, so it did not cause the crash. Never reset. A part of a prompt that is cleared
    // of one crash is cleared of all others, too.
    bool isCleared = false;

    bool operator==(const crash_record&) const = default;
};

// Holds the crash records of suspects and the verdicts on them.
class crash_history {
public:
    struct options {
        attribution_options attribution = {};
        // How long after its last crash a request is suspended. Longer than a group takes to form again and its callers
        // to return; short enough for a request that was at two crashes by coincidence.
        duration suspendedFor = std::chrono::minutes(1);
        // Delay from the receipt of the record that completes a verdict until the verdict takes effect, during which
        // the other gateways can report which other requests were at the crash, and which parts have completed.
        duration settlingTime = std::chrono::milliseconds(300);
        // How long after its last crash the records of a suspect are stored if it is not quarantined.
        duration suspectRetention = std::chrono::minutes(10);
        // How long a quarantine lasts after the suspect's last crash. It is accepted again after that.
        duration quarantineRetention = std::chrono::minutes(60);
        // How long after its last crash the records of a part that was quarantined are stored: when it is accepted
        // again, the next crash completes the verdict once more.
        duration probationRetention = std::chrono::hours(12);
        // Maximum number of records; the suspects with the fewest unexplained crashes are evicted first.
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

    // Adds records and returns those that changed the history. Records of the same suspect and server are merged, and
    // the result is cleared if any of them is. O(records).
    std::vector<crash_record> add(const std::vector<crash_record>&, time_point now);
    // Clears the records of a suspect that has completed. Returns them if any was not cleared yet. O(records).
    std::vector<crash_record> clear(const crash_suspect&);
    // Removes the suspects whose retention has passed. O(records).
    void expire(time_point now);

    // Returns the number of crashes of the suspect that no other suspect explains. O(log records).
    std::size_t crashes(const crash_suspect&) const;
    // Returns whether the suspect is known as a part of a prompt that has completed. O(log records).
    bool isClearedPart(const crash_suspect&) const;
    // Returns whether the suspect is quarantined at `now`, that is, after the verdict has settled. O(log records).
    bool isQuarantined(const crash_suspect&, time_point now) const;
    // Returns when the quarantine or suspension ends of a request that holds these suspects, if no further record
    // arrives; none if it is neither quarantined nor suspended. O(suspects * log records).
    std::optional<time_point> refusedUntil(const std::set<crash_suspect>&, time_point now) const;
    // Return all suspects that are quarantined or suspended, including those whose verdicts have not settled.
    std::set<crash_suspect> quarantined() const;
    std::set<crash_suspect> suspended(time_point now) const;
    // Returns whether any verdict has been reached, settled or not.
    bool hasVerdicts() const { return !m_verdicts.empty(); }

    bool isEmpty() const { return m_suspects.empty(); }
    // Returns whether the capacity is used up. Further records must not be requested from other processes then.
    bool isFull() const { return m_records >= m_options.maxRecords; }
    // Returns a hash that is equal for histories with equal records, in whatever order these were added.
    std::uint64_t digest() const { return m_digest; }
    std::vector<crash_record> records() const;
    std::vector<crash_record> recordsOf(const crash_suspect&) const;

private:
    struct crash {
        time_point at {};
        time_point receivedAt {};
        bool isCleared = false;
    };
    struct suspect {
        std::map<server_incarnation, crash> crashes;
        // Number of crashes that no other suspect explains.
        std::size_t unexplained = 0;
        time_point retainedUntil {};
    };
    // A verdict and the time in which requests are refused for it.
    struct timed_verdict {
        crash_verdict verdict;
        time_point from {};
        time_point until {};
    };

    bool addOne(const crash_record&, time_point now);
    void evictLeastSuspected();
    void updateVerdicts();
    // Returns the uncleared crashes of all suspects.
    suspected_crashes unexplainedCrashes() const;
    static bool isCleared(const crash_suspect&, const suspect&);
    timed_verdict timed(const crash_verdict&) const;
    void updateRetention();
    void updateDigest();
    // Returns the suspects of all verdicts that are quarantines, or of those that are not, and that end after `now`.
    std::set<crash_suspect> judged(bool isQuarantine, time_point now) const;

    const options m_options;
    std::map<crash_suspect, suspect> m_suspects;
    std::multimap<crash_suspect, timed_verdict> m_verdicts; // By the first suspect of each verdict.
    std::size_t m_records = 0;
    std::uint64_t m_digest = 0;
};

} // namespace coltsfootbend
