#pragma once

// Picks the worker daemon for an attempt from what one entry VM knows: its own requests in flight, load reports that
// lag, how fast each backend server has answered it, and which prompt prefixes it sent where. One per deployment and
// entry VM. Few candidates are compared, some by prefix and some at random, so that hundreds of entry VMs do not all
// choose the same one. Not the last word: the worker daemon may refuse.
//
//     router router({ .seed = 7 });
//     router.setWorkers(workers);
//     if (auto choice = router.choose(now, request, {}))
//         router.recordDispatch(now, choice->worker, attempt, expected);

#include "coltsfootbend/base/time.h"
#include "coltsfootbend/request/attempt.h"

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace coltsfootbend {

// What a worker daemon says of its load. `age` is how old the reading was when it was sent.
struct load_report {
    // Of each priority class together with all higher ones, from class 0 on; classes beyond the last are like the last.
    std::vector<duration> pendingService;
    std::uint32_t slots = 1;
    // Load of the slowest rank of its group, as pending service; zero outside a group.
    duration groupSlowestPending {};
    duration age {};
};

struct routing_worker {
    run_place place;
    bool leaving = false;
    // In another data centre: gets a request only when none of this one can take it.
    bool remote = false;
    // Not heard of lately: it gets no request while another can take it.
    bool suspected = false;
};

struct routing_request {
    // Hashes of ever longer prefixes of the prompt, shortest first. Empty for plain requests.
    std::vector<std::uint64_t> prefixes;
    // What a full prefill of the prompt takes on an idle engine.
    duration prefillTime {};
    duration serviceTime {};
    // 0 is served first; what is pending in lower classes does not hold it up.
    std::uint32_t priority = 0;
};

class router {
public:
    struct options {
        std::uint64_t seed = 1;
        std::size_t randomCandidates = 3;
        std::size_t affinityCandidates = 2;
        // A candidate by prefix is passed over when its load is beyond this many times the mean.
        double affinityLoadBound = 1.5;
        // What one millisecond that a request adds to its group's slowest rank costs, in milliseconds of its own.
        double skewWeight = 1;
        std::size_t prefixMemory = 4096;
        int failuresToEject = 3;
        duration firstEjection = std::chrono::seconds(1);
        duration longestEjection = std::chrono::seconds(30);
        // No more than this share is ejected at a time: when most fail, the cause is elsewhere.
        double maxEjectedShare = 0.5;
    };

    explicit router(const options&);

    // Replaces the workers that may be chosen. What is known of those that stay is kept, but for a new life.
    void setWorkers(const std::vector<routing_worker>&);
    void setLeaving(const vm_id&);

    void observe(time_point now, const vm_id&, const load_report&);
    void recordDispatch(time_point now, const vm_id&, const attempt_id&, const routing_request&);

    // Says that the attempt ended. `served` is the time from start to whole answer, or none when it did not run whole.
    void recordEnd(time_point now, const vm_id&, const attempt_id&, std::optional<duration> served);
    // A worker daemon or its engine failed (not: refused for lack of room).
    void recordFailure(time_point now, const vm_id&);

    // Returns where to send a request, or none when every worker is leaving, tried or ejected.
    // O(candidates + workers that are passed over).
    std::optional<run_place> choose(time_point now, const routing_request&, const std::vector<vm_id>& tried);

    // Expected time until `worker` would start a request sent now, for tests and status.
    duration expectedWait(time_point now, const vm_id&, std::uint32_t priority = 0) const;

private:
    struct own_dispatch {
        time_point sentAt {};
        duration expected {};
        std::uint32_t priority = 0;
        bool isReported = false;
    };
    struct worker_state {
        routing_worker worker;
        load_report report;
        time_point reportTakenAt {};
        std::unordered_map<attempt_id, own_dispatch> inFlight;
        // Own work sent after the report was taken: its sum for each priority, and its attempts in the order of
        // sending.
        std::vector<duration> unreported;
        std::deque<attempt_id> unreportedOrder;
        double slowdown = 1; // Measured over expected service time.
        int failures = 0;
        time_point ejectedUntil {};
        duration nextEjection {};
        std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> prefixes;
        std::list<std::uint64_t> prefixOrder; // Most recently sent first.
    };

    // Ever wider circles, the next one only when the former has no worker to offer.
    enum class circle { Local, Anywhere, EvenSuspected };

    static void markReported(worker_state&, own_dispatch&);
    bool isUsable(time_point, const worker_state&, const std::vector<vm_id>& tried, circle) const;
    std::optional<std::size_t> pick(time_point, const routing_request&, const std::vector<vm_id>& tried, circle);
    double pendingMs(time_point, const worker_state&, std::uint32_t priority) const;
    double costMs(time_point, const worker_state&, const routing_request&, double covered) const;
    double coveredShare(const worker_state&, const routing_request&) const;
    void rememberPrefixes(worker_state&, const routing_request&);
    double meanPendingMs(time_point, std::uint32_t priority);

    const options m_options;
    std::mt19937_64 m_random;
    std::vector<worker_state> m_workers;
    std::vector<vm_id> m_names;
    std::unordered_map<vm_id, std::size_t> m_index;
};

} // namespace coltsfootbend
