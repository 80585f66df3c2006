#pragma once

// Simulates the processes and the network that `request_trial` sends callers' requests through: entry VMs and worker
// daemons of three data centres, their incarnations, and injected faults. All decisions are made by the shipped code;
// this class simulates its environment. For trials only.
//
//     class request_trial : private request_world { ... };

#include "coltsfootbend/execution/attempt_executor.h"
#include "coltsfootbend/limits/retry_budget.h"
#include "coltsfootbend/measure/request_trial.h"
#include "coltsfootbend/measure/virtual_time.h"
#include "coltsfootbend/routing/router.h"
#include "coltsfootbend/store/standin.h"

#include <functional>
#include <map>
#include <memory>
#include <random>

namespace coltsfootbend {

constexpr int dataCentres = 3;
constexpr int entriesPerDataCentre = 2;
constexpr int workersPerDataCentre = 3;
constexpr std::chrono::milliseconds requestTimeout { 1500 };
constexpr std::chrono::seconds keyLifetime { 60 };

// A worker daemon's VM with its current incarnation.
struct trial_worker {
    vm_id id;
    int dataCentre = 0;
    std::uint64_t incarnationId = 0;
    std::unique_ptr<attempt_executor> executor;
    time_point pausedUntil {};
    time_point leftAt {};
    // The readers of each attempt's answer, with their positions in it.
    std::multimap<attempt_id, std::pair<std::function<bool(const answer_piece&)>, answer_position>> followers;
    std::map<attempt_id, std::size_t> requests;
};

// One incarnation of an entry VM.
struct trial_entry final : public attempt_source {
    vm_id id;
    int dataCentre = 0;
    incarnation incarnationId;
    std::uint64_t serial = 0;
    std::unique_ptr<router> routes;
    std::unique_ptr<retry_budget> retries;

    attempt_id nextAttempt() override { return { id, incarnationId, ++serial }; }
};

// Base class of `request_trial` that holds the processes, the clock and the random source.
class request_world {
public:
    explicit request_world(const request_trial_options&);
    virtual ~request_world() = default;

protected:
    bool chance(double share);
    duration milliseconds(int least, int most);
    std::size_t randomIndex(std::size_t count) { return m_random() % count; }
    bool hasFault(fault_kind) const;

    trial_worker& workerOf(const vm_id&);
    // Called after a fault has changed the work of a worker daemon.
    virtual void workerChanged(trial_worker&) = 0;
    void inject(fault_kind);

    bool isCut(int from, int to) const { return from != to && (from == m_cutOff || to == m_cutOff); }
    duration drawDelay();
    // Sends one message to a worker daemon, which receives it after its pause, if it is paused. Returns false if the
    // message is lost.
    bool sendMessage(int from, trial_worker&, std::function<void()> deliver);
    void deliverAt(trial_worker&, time_point when, std::function<void()> deliver);

    const request_trial_options m_options;
    std::mt19937_64 m_random;
    virtual_time m_time;
    memory_platform m_platform;
    std::vector<std::unique_ptr<trial_worker>> m_workers;
    std::vector<vm_id> m_holders;
    std::vector<std::shared_ptr<trial_entry>> m_entries;
    std::map<incarnation, time_point> m_leftAt; // Start of the planned stop of each incarnation that has one.
    int m_cutOff = -1; // Data centre that is cut off from the others and the platform, or -1.
    std::size_t m_drains = 0;
    std::size_t m_drainCut = 0;

private:
    std::shared_ptr<trial_entry> newEntry(int index);
    void updateKnownWorkers(trial_entry&);
    void announceWorkers();
    void startIncarnation(trial_worker&);
    void registerIncarnation(trial_worker&, incarnation incarnationId);
    void endIncarnation(trial_worker&, std::uint64_t incarnationId);

    std::uint64_t m_lastIncarnation = 0;
};

} // namespace coltsfootbend
