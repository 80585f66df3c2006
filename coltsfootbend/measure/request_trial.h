#pragma once

// Simulates many callers' requests through the shipped request flow, router, executor and claim ledger in virtual time,
// with injected faults, and counts violations of the guarantees to callers. Entry VMs, worker daemons, engines, callers
// and the network are small fakes; all decisions are made by the shipped code. For property tests and for the figures
// of `coltsfootbend_measure`.
//
//     auto report = runRequestTrial({ .seed = 1, .requests = 1000, .faults = { fault_kind::MessageLost } });
//     ASSERT_EQ(report.doubled, 0);

#include "coltsfootbend/base/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace coltsfootbend {

// Faults that a trial injects.
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

// Where the claim of a key is stored. docs/design/AT-MOST-ONCE.md compares these alternatives.
enum class claim_location {
    Home, // Shipped: in the worker daemon that the key hashes to.
    Table, // In a row of the platform's table for each key.
    Ticket, // Shipped: in a worker daemon of the data centre that received the first attempt, named in the key.
    None, // Baseline: no claims; every lost attempt is retried on another worker.
};
const char* toString(claim_location);

// Number of requests, the faults to inject and the mix of keys.
struct request_trial_options {
    std::uint64_t seed = 1;
    std::size_t requests = 1000;
    std::vector<fault_kind> faults {};
    claim_location claimLocation = claim_location::Home;
    // Share of the requests that carry a key, and the share of those whose callers number their attempts.
    double keyedShare = 0.7;
    double countedShare = 0.5;
    // Share of the keys that are tickets. Applies to `claim_location::Home`.
    double ticketShare = 0;
};

// Results of one trial, or the sums over several.
struct request_trial_report {
    std::size_t tried = 0;
    std::size_t answered = 0;
    std::size_t notRun = 0;
    std::size_t unknown = 0;
    std::size_t callerAttempts = 0;
    std::size_t refusedAttempts = 0; // Caller attempts that ended without an answer.
    // Violations of the guarantees: requests that ran twice, that got another request's answer, and that were reported
    // as not run although they ran.
    std::size_t doubled = 0;
    std::size_t mispaired = 0;
    std::size_t falseNotRun = 0;
    std::size_t tableWrites = 0;
    // Sum over the answered requests of the time to the complete answer.
    duration answerTime {};
    // Planned stops of worker daemons, answers that these stops cut off, and the longest time after the start of a stop
    // at which an attempt was still sent to the stopping daemon.
    std::size_t drains = 0;
    std::size_t drainCut = 0;
    duration drainLateWork {};

    void add(const request_trial_report&);
};

// Runs one trial; the same options give the same report.
request_trial_report runRequestTrial(const request_trial_options&);

} // namespace coltsfootbend
