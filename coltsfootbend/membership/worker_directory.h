#pragma once

// Tracks the worker daemons that announce themselves to one entry VM, and their estimated state. Announcements take
// precedence: the newest incarnation of a worker replaces the previous one, and "leaving" stops new work at once.
// Missed announcements first make a worker suspected and then remove it. Deterministic; only missed announcements
// depend on time, and they affect only where new work is routed, never the at-most-once guarantee.
//
//     worker_directory directory({ .own = data_centre_id("ist-1") });
//     directory.observe(now, announcement);
//     for (const auto& worker : directory.workersOf(deployment, now)) ...

#include "coltsfootbend/routing/router.h"
#include "coltsfootbend/wire/messages.h"

#include <deque>
#include <map>
#include <vector>

namespace coltsfootbend {

// Represents a worker daemon by its last announcement.
struct known_worker {
    wire::announce last;
    time_point suspectAt {}; // When the worker becomes suspected unless it announces itself again.
    time_point forgetAt {}; // When the worker is removed unless it announces itself again.
    bool suspected = false; // State at the last call of `expire`.
    // Replaced incarnations; a late announcement from one of them is ignored.
    std::deque<incarnation> formerIncarnations;
};

// Represents the workers known to one entry VM.
class worker_directory {
public:
    struct options {
        // Number of consecutive missed announcements after which a worker is suspected, and after which it is removed.
        int suspectAfterMissed = 3;
        int forgetAfterMissed = 30;
        // This entry VM's data centre. Workers of other data centres are used only when no local one can take a
        // request.
        data_centre_id own;
    };

    explicit worker_directory(const options& options)
        : m_options(options)
    {
    }

    // Records one announcement. Returns whether the set of workers, or the work that one of them accepts, changed.
    bool observe(time_point now, const wire::announce&);

    // The changes that one call of `expire` made.
    struct expired {
        // Whether the result of `workersOf` has changed.
        bool changed = false;
        std::vector<vm_id> newlySuspected;
    };
    // Marks workers that missed announcements as suspected, and removes those that missed `forgetAfterMissed` in a row.
    expired expire(time_point now);

    // Returns the workers that serve `deployment`, for `router::setWorkers`.
    std::vector<routing_worker> workersOf(const deployment_id&, time_point now) const;

    const std::map<vm_id, known_worker>& workers() const { return m_workers; }
    // Returns null for an unknown worker.
    const known_worker* find(const vm_id&) const;

private:
    const options m_options;
    std::map<vm_id, known_worker> m_workers;
};

// Represents an entry VM that a worker daemon announces itself to.
struct announce_target {
    vm_id entry;
    bool isLocal = false;
};
// Chooses the entry VMs that a worker daemon announces itself to: `localTargets` of its own data centre and one of each
// other data centre, so that every entry VM routes to a bounded number of workers and every worker is known to several
// entry VMs. Needs no coordination: an entry VM routes to the workers whose announcements it receives.
std::vector<announce_target> chooseAnnounceTargets(const vm_id& worker, const data_centre_id& own,
    const std::vector<std::pair<vm_id, data_centre_id>>& entries, std::size_t localTargets);

} // namespace coltsfootbend
