#pragma once

// Offers a load of requests to a fleet of workers in virtual time, through the shipped router and admission queue or
// through plain versions of them, and reports what each customer got. Engines are played by a fake with slots, steps
// and a prefix cache. For the figures of `coltsfootbend_measure`.
//
//     auto report = runFleetTrial({ .workers = 12, .routing = routing_policy::Shipped, .customers = { ... } });

#include "coltsfootbend/base/time.h"
#include "coltsfootbend/limits/admission_queue.h"

#include <cstdint>
#include <string>
#include <vector>

namespace coltsfootbend {

enum class routing_policy { Shipped, Random, RoundRobin, LeastReported, Oracle };
enum class queue_policy { Shipped, FirstComeFirstServed };

struct fleet_customer {
    std::string name;
    double requestsPerSecond = 0;
    priority_class priority = 0;
    double weight = 1;
    duration meanService = std::chrono::milliseconds(120);
    duration patience = std::chrono::seconds(2); // From arrival to the deadline.
    int retries = 0; // How often it comes back after a refusal.
};

struct fleet_options {
    std::uint64_t seed = 1;
    std::size_t workers = 12;
    std::size_t entries = 8;
    std::size_t slots = 8;
    std::size_t maxWaiting = 64;
    routing_policy routing = routing_policy::Shipped;
    queue_policy queue = queue_policy::Shipped;
    duration reportInterval = std::chrono::seconds(1);
    // The first worker takes this many times as long for everything.
    double slowFactor = 1;
    // Distinct prompt prefixes, drawn with a long tail; 0 for none. Each worker caches some of them.
    std::size_t prefixes = 0;
    std::size_t cachedPrefixes = 0;
    duration prefill = std::chrono::milliseconds(60);
    duration length = std::chrono::seconds(120);
    std::vector<fleet_customer> customers {};
};

struct customer_report {
    std::size_t offered = 0;
    std::size_t served = 0; // Whole answers, late ones included.
    std::size_t inTime = 0;
    std::size_t refused = 0;
    duration serviceInTime {};
    double latencyP99Ms = 0;
    double waitP99Ms = 0; // Latency beyond what an idle, healthy engine with a warm cache takes.
};

struct fleet_report {
    std::vector<customer_report> customers;
    double prefixHitRatio = 0;
    double waitP99Ms = 0;
    double goodputPerSecond = 0; // Service time of answers in time, a second.
    std::size_t attempts = 0;
};

fleet_report runFleetTrial(const fleet_options&);

} // namespace coltsfootbend
