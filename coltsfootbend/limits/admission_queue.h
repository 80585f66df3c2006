#pragma once

// Decides in a worker daemon which attempts the engine or plain service is given, in what order, and which are refused.
// Priority class first, then weighted fair shares between customers, then the earliest deadline. A job that can no
// longer meet its deadline is refused at once, and a full queue sheds from the customer that has most beyond its share.
// A lower class may use slots that no higher one wants and gives them back by preemption. Deterministic; holds no
// clock. Not for keeping answers: see `request/attempt_table.h`.
//
//     admission_queue queue({ .slots = 16, .maxWaiting = 256 });
//     for (const auto& decision : queue.submit(now, job))
//         perform(decision);

#include "coltsfootbend/base/time.h"
#include "coltsfootbend/request/attempt.h"

#include <cstddef>
#include <limits>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace coltsfootbend {

// A priority class; 0 is served first.
using priority_class = std::uint32_t;

struct admission_job {
    attempt_id attempt;
    customer_id customer;
    priority_class priority = 0;
    double weight = 1;
    // When the answer must be whole.
    time_point deadline {};
    // How long it is expected to hold a slot.
    duration expectedService {};
    // The engine can pause it and go on later.
    bool preemptible = false;
};

enum class admission_verb { Start, Resume, Preempt, Refuse };

struct admission_decision {
    admission_verb verb = admission_verb::Refuse;
    attempt_id attempt;
    refusal reason = refusal::None;
    std::chrono::milliseconds retryAfter {};
};

class admission_queue {
public:
    struct options {
        std::size_t slots = 1;
        // Over all classes; each class also keeps to this alone.
        std::size_t maxWaiting = 0;
        bool refuseLate = true;
    };

    explicit admission_queue(const options&);

    // Takes a job in, or refuses it or a job that it pushes out. O(log waiting).
    std::vector<admission_decision> submit(time_point now, const admission_job&);

    // Says that a started job no longer holds its slot.
    std::vector<admission_decision> complete(time_point now, const attempt_id&);

    // Takes out a job that was revoked while it waited. Does nothing when it is not waiting.
    void cancelWaiting(const attempt_id&);

    // Refuses waiting jobs whose deadline cannot be met any more. Call about every engine step.
    std::vector<admission_decision> refuseLate(time_point now);

    // Refuses everything that waits and, from now on, every new job. What runs goes on.
    std::vector<admission_decision> leave();

    // The lowest class that was ever seen here.
    priority_class lowestPriority() const { return m_classes.empty() ? 0 : m_classes.rbegin()->first; }
    std::size_t waiting() const { return m_waitingCount; }
    std::size_t running() const { return m_running.size(); }
    std::size_t paused() const { return m_pausedCount; }

    // Expected time until a job of `customer` submitted now would start: what runs, everything of higher classes, and
    // of its own class what goes before it when every customer gets its share. O(running + customers).
    duration expectedWait(time_point now, priority_class, const customer_id&, double weight) const;

    // Sum of what the jobs here of `lowest` and all higher classes are still expected to need. O(running + classes).
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
        double virtualTime = 0;
        double weight = 1;
        duration waitingService {};
    };
    struct class_queue {
        std::unordered_map<customer_id, customer_queue> customers;
        // Customers with waiting jobs, the one to be served next first.
        std::set<std::pair<double, customer_id>> turns;
        double virtualTime = 0;
        std::size_t waiting = 0;
        duration waitingService {};
        std::vector<admission_job> paused;
    };

    void enqueue(class_queue&, const admission_job&);
    deadline_order::iterator removeJob(class_queue&, customer_queue&, deadline_order::iterator);
    std::vector<admission_decision> pushOut(time_point now, priority_class lowest, const admission_job& newcomer);
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
