#pragma once

// The worker daemons that announce themselves to one entry VM, and what it believes of each. A worker's own word wins:
// its newest life replaces the former, "leaving" stops new work at once, and silence first slows and then stops it.
// Deterministic; only silence depends on time, and silence decides where new work goes, never what is safe.
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

struct known_worker {
    wire::announce last;
    time_point suspectAt {};
    time_point forgetAt {};
    bool suspected = false; // As `expire` last saw it.
    // Lives that were replaced; a late announcement of one is ignored.
    std::deque<incarnation> formerLives;
};

class worker_directory {
public:
    struct options {
        // How many announcements in a row may be missed before a worker is suspected, and before it is forgotten.
        int suspectAfterMissed = 3;
        int forgetAfterMissed = 30;
        // Workers elsewhere are used only when none here can take a request.
        data_centre_id own;
    };

    explicit worker_directory(const options& options)
        : m_options(options)
    {
    }

    // Takes one announcement. Returns whether who is there, or whether it takes work, changed.
    bool observe(time_point now, const wire::announce&);

    // Suspects workers that have been silent, and drops those that have been for long.
    struct expired {
        // Whether the answer of `workersOf` has changed.
        bool changed = false;
        std::vector<vm_id> newlySuspected;
    };
    expired expire(time_point now);

    // Returns the workers that serve `deployment`, for `router::setWorkers`.
    std::vector<routing_worker> workersOf(const deployment_id&, time_point now) const;

    const std::map<vm_id, known_worker>& workers() const { return m_workers; }
    const known_worker* find(const vm_id&) const;

private:
    const options m_options;
    std::map<vm_id, known_worker> m_workers;
};

// Which entry VMs a worker daemon announces itself to: some of its own data centre often, and one of each other data
// centre seldom, so that every entry VM routes to a bounded number of workers and every worker is known by several.
// Both sides need no agreement: whoever is announced to routes.
struct announce_target {
    vm_id entry;
    bool isLocal = false;
};
std::vector<announce_target> chooseAnnounceTargets(const vm_id& worker, const data_centre_id& own,
    const std::vector<std::pair<vm_id, data_centre_id>>& entries, std::size_t localTargets);

} // namespace coltsfootbend
