#pragma once

// Simulates requests of several customers to a fleet of workers in virtual time, with the shipped router and admission
// queue or with baseline versions of them, and reports the service that each customer received. The engines are fakes
// with slots, steps and a prefix cache. Provides the figures of `coltsfootbend_measure`.
//
//     auto report = runFleetTrial({ .workers = 12, .routing = routing_policy::Shipped, .customers = { ... } });

#include "coltsfootbend/base/time.h"
#include "coltsfootbend/limits/admission_queue.h"

#include <cstdint>
#include <string>
#include <vector>

namespace coltsfootbend {

// How an entry VM chooses a worker. All but `Shipped` are baselines.
enum class routing_policy { Shipped, Random, RoundRobin, LeastReported, Oracle };
// In which order a worker runs its waiting requests. `FirstComeFirstServed` is the baseline.
enum class queue_policy { Shipped, FirstComeFirstServed };

// One customer's load and limits.
struct fleet_customer {
    std::string name;
    double requestsPerSecond = 0;
    priority_class priority = 0;
    double weight = 1;
    duration meanService = std::chrono::milliseconds(120);
    duration patience = std::chrono::seconds(2); // Time from a request's arrival to its deadline.
    int retries = 0; // Number of times a refused request is sent again.
};

// Size of the fleet, the policies under test and the load.
struct fleet_options {
    std::uint64_t seed = 1;
    std::size_t workers = 12;
    std::size_t entries = 8;
    std::size_t slots = 8;
    std::size_t maxWaiting = 64;
    routing_policy routing = routing_policy::Shipped;
    queue_policy queue = queue_policy::Shipped;
    duration reportInterval = std::chrono::seconds(1);
    // Factor by which the first worker is slower than the others.
    double slowFactor = 1;
    // Number of distinct prompt prefixes, drawn from a long-tailed distribution; 0 for none. Each worker caches at most
    // `cachedPrefixes` of them.
    std::size_t prefixes = 0;
    std::size_t cachedPrefixes = 0;
    duration prefill = std::chrono::milliseconds(60);
    duration length = std::chrono::seconds(120);
    std::vector<fleet_customer> customers {};
};

// Results of one customer's requests.
struct customer_report {
    std::size_t offered = 0;
    std::size_t served = 0; // Complete answers, including those past the deadline.
    std::size_t inTime = 0;
    std::size_t refused = 0;
    duration serviceInTime {};
    double latencyP99Ms = 0;
    double waitP99Ms = 0; // Latency in excess of an idle, healthy engine's with a warm cache.
};

// Results of one run. `customers` has the order of the options.
struct fleet_report {
    std::vector<customer_report> customers;
    double prefixHitRatio = 0;
    double waitP99Ms = 0;
    double goodputPerSecond = 0; // Service time of the answers within their deadline, per second.
    std::size_t attempts = 0;
};

// Runs one simulation; the same options give the same report.
fleet_report runFleetTrial(const fleet_options&);

} // namespace coltsfootbend
