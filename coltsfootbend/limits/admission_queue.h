#pragma once

// Decides in a worker daemon which attempts the engine or plain service executes, in what order, and which are refused.
// Jobs are ordered by priority class, then by weighted fair shares of customers, then by deadline. A job that can no
// longer meet its deadline is refused at once, and a full queue refuses jobs of the customer with the most waiting work
// for its weight. A lower class may use slots that no higher class needs, and loses them by preemption. Deterministic;
// reads no clock. Does not store answers: see `request/attempt_table.h`.
//
//     admission_queue queue({ .slots = 16, .maxWaiting = 256 });
//     for (const auto& decision : queue.submit(now, job))
//         perform(decision);

#include "coltsfootbend/base/time.h"
#include "coltsfootbend/limits/fair_shares.h"
#include "coltsfootbend/request/attempt.h"

#include <cstddef>
#include <limits>
#include <map>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace coltsfootbend {

// A priority class; 0 is served first.
using priority_class = std::uint32_t;

// An attempt with what determines its place in the queue.
struct admission_job {
    attempt_id attempt;
    customer_id customer;
    priority_class priority = 0;
    // Share of the customer relative to the other customers of the class.
    double weight = 1;
    // Latest time at which the answer must be complete.
    time_point deadline {};
    // Expected time for which the job occupies a slot.
    duration expectedService {};
    // Whether the engine can pause the job and resume it later.
    bool preemptible = false;
};

// What the caller of the queue has to do with an attempt.
enum class admission_verb { Start, Resume, Preempt, Refuse };

// A decision on one attempt. `reason` and `retryAfter` are set only for refusals.
struct admission_decision {
    admission_verb verb = admission_verb::Refuse;
    attempt_id attempt;
    refusal reason = refusal::None;
    std::chrono::milliseconds retryAfter {};
};

// The waiting, running and paused jobs of one worker daemon.
class admission_queue {
public:
    struct options {
        // Number of jobs that run at a time.
        std::size_t slots = 1;
        // Maximum number of waiting jobs of all classes together, and so also of each class.
        std::size_t maxWaiting = 0;
        // Whether jobs that are expected to miss their deadlines are refused.
        bool refuseLate = true;
    };

    explicit admission_queue(const options&);

    // Accepts a job, or refuses either it or a job that it evicts. O(log waiting).
    std::vector<admission_decision> submit(time_point now, const admission_job&);

    // Records that a started job no longer occupies its slot, and starts further jobs.
    std::vector<admission_decision> complete(time_point now, const attempt_id&);

    // Removes a waiting job that was revoked. Does nothing if the job is not waiting.
    void cancelWaiting(const attempt_id&);

    // Refuses waiting jobs whose deadlines can no longer be met. Call about once an engine step.
    std::vector<admission_decision> refuseLate(time_point now);

    // Refuses all waiting jobs and, from then on, all new ones. Running jobs continue.
    std::vector<admission_decision> leave();

    // Returns the lowest class of which a job was ever submitted.
    priority_class lowestPriority() const { return m_classes.empty() ? 0 : m_classes.rbegin()->first; }
    std::size_t waiting() const { return m_waitingCount; }
    std::size_t running() const { return m_running.size(); }
    std::size_t paused() const { return m_pausedCount; }

    // Returns the expected time until a job submitted now would start: the running jobs, all jobs of higher classes,
    // and the jobs of its own class that go before it when each customer receives its share. O(running + customers).
    duration expectedWait(time_point now, priority_class, const customer_id&, double weight) const;

    // Returns the remaining expected service time of all jobs of `lowest` and all higher classes. O(running + classes).
    duration pendingService(time_point now, priority_class lowest = std::numeric_limits<priority_class>::max()) const;

private:
    struct running_job {
        admission_job job;
        time_point expectedEnd {};
        std::uint64_t order = 0;
    };
    using deadline_order = std::multimap<time_point, admission_job>;
    struct customer_queue {
        deadline_order jobs;
        double weight = 1;
        duration waitingService {};
    };
    struct class_queue {
        std::unordered_map<customer_id, customer_queue> customers;
        fair_shares shares;
        std::size_t waiting = 0;
        duration waitingService {};
        std::vector<admission_job> paused;
    };

    void enqueue(class_queue&, const admission_job&);
    deadline_order::iterator removeJob(class_queue&, customer_queue&, deadline_order::iterator);
    std::vector<admission_decision> evictFor(time_point now, priority_class lowest, const admission_job& newJob);
    bool startNext(time_point now, std::vector<admission_decision>&);
    void fillSlots(time_point now, std::vector<admission_decision>&);
    bool preemptFor(time_point now, priority_class, std::vector<admission_decision>&);
    void run(time_point now, const admission_job&, admission_verb, std::vector<admission_decision>&);
    duration fairWait(const class_queue&, const customer_id&, double weight) const;
    admission_decision refuseJob(time_point now, const admission_job&, refusal) const;

    const options m_options;
    bool m_leaving = false;
    std::map<priority_class, class_queue> m_classes;
    std::unordered_map<attempt_id, running_job> m_running;
    std::unordered_map<attempt_id, priority_class> m_waitingClass;
    std::size_t m_waitingCount = 0;
    std::size_t m_pausedCount = 0;
    std::uint64_t m_startOrder = 0;
};

} // namespace coltsfootbend
