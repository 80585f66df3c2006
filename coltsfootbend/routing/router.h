#pragma once

// Chooses the worker daemon for an attempt from the local state of one entry VM: its requests in flight, delayed load
// reports, the measured speed of each backend server, and the prompt prefixes sent to each worker. Each entry VM has
// one router for each deployment. Only a few candidates are compared, some chosen by prefix and some at random, so that
// hundreds of entry VMs do not all choose the same worker. The worker daemon may still refuse the attempt.
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

// The load that a worker daemon reports.
struct load_report {
    // Pending service time of each priority class together with all higher ones, starting with class 0. The last entry
    // also holds for all lower classes.
    std::vector<duration> pendingService;
    std::uint32_t slots = 1; // Number of requests that the worker serves at a time.
    // Pending service time of the slowest rank of the worker's group; zero if the worker is in no group.
    duration groupSlowestPending {};
    // Age of the measurement when the report was sent.
    duration age {};
};

// A worker that may be chosen.
struct routing_worker {
    run_place place;
    bool leaving = false;
    // In another data centre: chosen only if no worker of the local data centre is usable.
    bool remote = false;
    // Has sent no heartbeat recently: chosen only if no other worker is usable.
    bool suspected = false;
};

// The properties of a request on which the choice depends.
struct routing_request {
    // Hashes of the prompt's prefixes by increasing length. Empty for requests without a prompt.
    std::vector<std::uint64_t> prefixes;
    // Duration of a full prefill of the prompt on an idle engine.
    duration prefillTime {};
    // Expected service time without the prefill.
    duration serviceTime {};
    // Priority class; 0 is served first. Pending work of lower classes does not delay the request.
    std::uint32_t priority = 0;
};

// Tracks the workers of one deployment and chooses among them.
class router {
public:
    struct options {
        // Seed of the random choice of candidates.
        std::uint64_t seed = 1;
        // Number of usable workers compared that are drawn at random.
        std::size_t randomCandidates = 3;
        // Number of workers compared that are chosen by the prefix of the prompt.
        std::size_t affinityCandidates = 2;
        // A candidate chosen by prefix is skipped if its pending time exceeds the mean pending time plus the request's
        // own time by more than this factor.
        double affinityLoadBound = 1.5;
        // Cost of each millisecond by which a request delays its group beyond the slowest rank, in milliseconds of the
        // request's own latency.
        double skewWeight = 1;
        // Maximum number of prefixes remembered for each worker.
        std::size_t maxPrefixes = 4096;
        // Number of failures without a success in between after which a worker is ejected.
        int failuresToEject = 3;
        // Duration of the first ejection; each further one lasts twice as long, up to `maxEjection`.
        duration initialEjection = std::chrono::seconds(1);
        duration maxEjection = std::chrono::seconds(30);
        // Maximum share of workers ejected at a time. If most workers fail, the cause lies outside of them.
        double maxEjectedShare = 0.5;
    };

    explicit router(const options&);

    // Replaces the workers that may be chosen. Keeps the state of workers that remain in the same incarnation.
    void setWorkers(const std::vector<routing_worker>&);
    // Stops choosing a worker that is leaving.
    void setLeaving(const vm_id&);

    // Records a load report received at `now`.
    void observe(time_point now, const vm_id&, const load_report&);
    // Records that an attempt was sent to a worker.
    void recordDispatch(time_point now, const vm_id&, const attempt_id&, const routing_request&);

    // Records that an attempt ended. `served` is the time from its start to the complete answer, or none if it was not
    // completed.
    void recordEnd(time_point now, const vm_id&, const attempt_id&, std::optional<duration> served);
    // Records a failure of a worker daemon or its engine. A refusal for lack of capacity is no failure.
    void recordFailure(time_point now, const vm_id&);

    // Returns the worker to which to send a request, or none if every worker is leaving or was tried. Suspected and
    // ejected workers are chosen only if no other worker is usable. O(candidates + unusable workers).
    std::optional<run_place> choose(time_point now, const routing_request&, const std::vector<vm_id>& tried);

    // Returns the expected time until the worker would start a request sent now, for tests and status.
    duration expectedWait(time_point now, const vm_id&, std::uint32_t priority = 0) const;

private:
    // An attempt in flight that this entry VM sent.
    struct sent_attempt {
        time_point sentAt {};
        duration expected {};
        std::uint32_t priority = 0;
        bool isReported = false; // Included in the latest load report.
    };
    struct worker_state {
        routing_worker worker;
        load_report report;
        time_point measuredAt {};
        std::unordered_map<attempt_id, sent_attempt> inFlight;
        // Expected service time, for each priority, of the attempts of this entry VM that the latest report does not
        // include, and these attempts in the order of sending.
        std::vector<duration> unreported;
        std::deque<attempt_id> unreportedOrder;
        double slowdown = 1; // Smoothed ratio of measured to expected service time.
        int failures = 0;
        time_point ejectedUntil {};
        duration nextEjection {};
        std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> prefixes;
        std::list<std::uint64_t> prefixOrder; // Most recently sent first.
    };

    // The workers considered; each scope contains the one before and is used only if that has no usable worker.
    enum class search_scope { Local, AllDataCentres, IncludingSuspected };

    static void markReported(worker_state&, sent_attempt&);
    bool isUsable(time_point, const worker_state&, const std::vector<vm_id>& tried, search_scope) const;
    std::optional<std::size_t> pick(time_point, const routing_request&, const std::vector<vm_id>& tried, search_scope);
    double pendingMs(time_point, const worker_state&, std::uint32_t priority) const;
    double costMs(time_point, const worker_state&, const routing_request&, double cachedShare) const;
    double cachedPrefixShare(const worker_state&, const routing_request&) const;
    void rememberPrefixes(worker_state&, const routing_request&);
    double meanPendingMs(time_point, std::uint32_t priority);

    const options m_options;
    std::mt19937_64 m_random;
    std::vector<worker_state> m_workers;
    std::vector<vm_id> m_names;
    std::unordered_map<vm_id, std::size_t> m_index;
};

} // namespace coltsfootbend
