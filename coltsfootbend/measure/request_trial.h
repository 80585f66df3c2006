#pragma once

// Runs many callers' requests through the shipped request flow, router, executor and claim ledger in virtual time, with
// faults, and counts what must never happen. Entry VMs, worker daemons, engines, callers and the network are small
// fakes; every decision is the product's. For property tests and for the figures of `coltsfootbend_measure`.
//
//     auto report = runRequestTrial({ .seed = 1, .requests = 1000, .faults = { fault_kind::MessageLost } });
//     ASSERT_EQ(report.doubled, 0);

#include "coltsfootbend/base/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace coltsfootbend {

enum class fault_kind {
    MessageLost,
    MessageLate,
    EntryDies,
    WorkerDies,
    WorkerPaused,
    WorkerLeaves,
    EngineFails,
    DataCentreCut,
    StoreDown,
    CallerGone,
};
constexpr std::size_t faultKinds = 10;
const char* toString(fault_kind);

// Where the claim of a key is kept: the ways that docs/design/AT-MOST-ONCE.md weighs.
enum class claim_way {
    Home, // Shipped: the worker daemon that the key hashes to.
    Table, // A row of the platform's table for each key.
    Ticket, // Shipped too: a worker daemon of the data centre where the first attempt went in, named in the key.
    None, // Baseline: no claims, and every loss is simply tried again elsewhere.
};
const char* toString(claim_way);

struct request_trial_options {
    std::uint64_t seed = 1;
    std::size_t requests = 1000;
    std::vector<fault_kind> faults {};
    claim_way way = claim_way::Home;
    // Share of requests that carry a key; of those, the share whose callers count their attempts.
    double keyedShare = 0.7;
    double countedShare = 0.5;
    // Of the keys, with the way `Home`: the share that are tickets.
    double ticketShare = 0;
};

struct request_trial_report {
    std::size_t tried = 0;
    std::size_t answered = 0;
    std::size_t notRun = 0;
    std::size_t unknown = 0;
    std::size_t callerAttempts = 0;
    std::size_t refusedAttempts = 0; // Caller attempts that ended without an answer.
    // What must never happen.
    std::size_t doubled = 0;
    std::size_t mispaired = 0;
    std::size_t falseNotRun = 0;
    std::size_t tableWrites = 0;
    // Sum over answered requests of the time to the whole answer.
    duration answerTime {};
    // Planned stops of worker daemons, answers that they cut off, and how long after "leaving" work still came.
    std::size_t drains = 0;
    std::size_t drainCut = 0;
    duration drainLateWork {};

    void add(const request_trial_report&);
};

request_trial_report runRequestTrial(const request_trial_options&);

} // namespace coltsfootbend
