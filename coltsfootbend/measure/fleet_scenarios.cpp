#include "coltsfootbend/measure/fleet_trial.h"
#include "coltsfootbend/measure/scenario.h"

#include <limits>

namespace coltsfootbend {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t workers = 12;
constexpr std::size_t slots = 8;
// Number of requests of 120 ms mean service time that the fleet can serve per second.
constexpr double capacity = workers * slots / 0.120;

void measurePriority(figure_writer& out)
{
    const fleet_customer designers { .name = "designers", .requestsPerSecond = 0.3 * capacity, .priority = 0 };
    const fleet_customer viewers { .name = "viewers", .requestsPerSecond = 3 * capacity, .priority = 1 };
    const auto p99 = [&](queue_policy queue, bool isFlooded) {
        fleet_options options { .queue = queue, .customers = { designers } };
        if (isFlooded)
            options.customers.push_back(viewers);
        return runFleetTrial(options).customers[0].latencyP99Ms;
    };
    const double quiet = p99(queue_policy::Shipped, false);
    const double flooded = p99(queue_policy::Shipped, true);
    const double plainRatio
        = p99(queue_policy::FirstComeFirstServed, true) / p99(queue_policy::FirstComeFirstServed, false);
    out.write("priority.designer_p99_ratio", flooded / quiet, "ratio", plainRatio, "first come, first served");
    out.write("priority.designer_p99_ms", flooded, "ms", quiet, "without the flood");
}

void measureFairness(figure_writer& out)
{
    constexpr std::size_t customers = 10;
    const auto worst = [&](queue_policy queue) {
        fleet_options options { .queue = queue };
        const double fair = capacity / customers;
        options.customers.push_back({ .name = "flooder", .requestsPerSecond = 5 * capacity, .patience = 1s });
        for (std::size_t i = 1; i < customers; ++i)
            options.customers.push_back(
                { .name = "c" + std::to_string(i), .requestsPerSecond = 0.9 * fair, .patience = 1s });
        const auto report = runFleetTrial(options);
        double least = std::numeric_limits<double>::infinity();
        for (std::size_t i = 1; i < customers; ++i)
            least = std::min(least,
                static_cast<double>(report.customers[i].inTime) / static_cast<double>(report.customers[i].offered));
        return least;
    };
    out.write("fairness.worst_customer_share", worst(queue_policy::Shipped), "share",
        worst(queue_policy::FirstComeFirstServed), "first come, first served");
}

void measureOverload(figure_writer& out)
{
    const auto at = [](queue_policy queue, double load) {
        const fleet_customer callers {
            .name = "callers", .requestsPerSecond = load * capacity, .patience = 1s, .retries = 3
        };
        return runFleetTrial({ .queue = queue, .customers = { callers } });
    };
    const auto ratio
        = [&](queue_policy queue) { return at(queue, 3).goodputPerSecond / at(queue, 1).goodputPerSecond; };
    out.write("overload.goodput_ratio", ratio(queue_policy::Shipped), "ratio",
        ratio(queue_policy::FirstComeFirstServed), "first come, first served");
    const auto attemptsEach = [&](queue_policy queue) {
        const auto report = at(queue, 3);
        return static_cast<double>(report.attempts) / static_cast<double>(report.customers[0].offered);
    };
    out.write("overload.attempts_a_request", attemptsEach(queue_policy::Shipped), "attempts");
}

void measureRouting(figure_writer& out)
{
    const auto run = [](routing_policy routing) {
        const fleet_customer callers { .name = "callers", .requestsPerSecond = 0.5 * capacity, .patience = 20s };
        return runFleetTrial({ .routing = routing, .slowFactor = 1.7, .customers = { callers } }).waitP99Ms;
    };
    const double shipped = run(routing_policy::Shipped);
    const double random = run(routing_policy::Random);
    const double roundRobin = run(routing_policy::RoundRobin);
    const double least = run(routing_policy::LeastReported);
    const double best = std::min({ random, roundRobin, least });
    out.write("routing.p99_ratio", shipped / best, "ratio", 1, "best of random, round robin, least reported load");
    out.write("routing.p99_ms", shipped, "ms", best, "best baseline");
    out.write("routing.p99_ms.random", random, "ms");
    out.write("routing.p99_ms.round_robin", roundRobin, "ms");
    out.write("routing.p99_ms.least_reported", least, "ms");
    out.write("routing.p99_over_oracle", shipped / run(routing_policy::Oracle), "ratio", 1, "oracle");
}

void measurePrefixes(figure_writer& out)
{
    const auto run = [](routing_policy routing) {
        const fleet_customer callers { .name = "callers", .requestsPerSecond = 0.5 * capacity, .patience = 20s };
        return runFleetTrial({ .routing = routing, .prefixes = 600, .cachedPrefixes = 60, .customers = { callers } });
    };
    const auto shipped = run(routing_policy::Shipped);
    const auto random = run(routing_policy::Random);
    const auto oracle = run(routing_policy::Oracle);
    out.write("routing.prefix_hit_ratio", shipped.prefixHitRatio, "share", random.prefixHitRatio, "random");
    out.write("routing.prefix_hit_over_random", shipped.prefixHitRatio / random.prefixHitRatio, "ratio");
    out.write("routing.prefix_hit_over_oracle", shipped.prefixHitRatio / oracle.prefixHitRatio, "ratio");
    out.write("routing.prefix_wait_p99_ms", shipped.waitP99Ms, "ms", oracle.waitP99Ms, "oracle");
}

} // namespace

std::vector<scenario> fleetScenarios()
{
    return { { "priority", "designers under a threefold flood of viewers", measurePriority },
        { "fairness", "small customers while one floods", measureFairness },
        { "overload", "goodput at three times the load, with callers that come back", measureOverload },
        { "routing", "waiting with lagging reports and one slow worker", measureRouting },
        { "prefixes", "prompt prefixes found in caches", measurePrefixes } };
}

} // namespace coltsfootbend
