#include "coltsfootbend/gateway/server_subset.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>
#include <vector>

namespace coltsfootbend {
namespace {

constexpr int dataCentres = 5;

using server_list = std::map<backend_id, backend_server>;

data_centre_id dataCentre(int number) { return data_centre_id("dc-" + std::to_string(number % dataCentres)); }

server_list makeServers(int count)
{
    server_list servers;
    for (int i = 0; i < count; ++i) {
        const backend_id id("i-" + std::to_string(1000 + i));
        servers[id] = { id, deployment_id("llm"), { "10.0.0.1", static_cast<std::uint16_t>(1000 + i) }, dataCentre(i),
            6, false, {} };
    }
    return servers;
}

subset_options optionsOf(int gateway)
{
    return { .gateway = vm_id("gateway-" + std::to_string(gateway)), .localDataCentre = dataCentre(gateway) };
}

bool isInService(const backend_server& server) { return !server.isLeaving; }

server_list subsetOf(int gateway, const server_list& servers)
{
    return chooseServers(servers, optionsOf(gateway), isInService);
}

TEST(ServerSubset, ASmallDeploymentIsUsedWhole)
{
    const auto servers = makeServers(256);
    EXPECT_EQ(subsetOf(1, servers).size(), servers.size());
}

// States the growth: the subset has the same size at twice the number of engines.
TEST(ServerSubset, HasTheSameSizeAtTwiceTheNumberOfServers)
{
    EXPECT_EQ(subsetOf(1, makeServers(516)).size(), 32U);
    EXPECT_EQ(subsetOf(1, makeServers(1032)).size(), 32U);
}

// States the growth: at twice the number of gateways and engines, no engine is used by more gateways on average.
TEST(ServerSubset, EnginesAreUsedByAsManyGatewaysAtTwiceTheFleet)
{
    const auto mostGateways = [](int gateways, int engines) {
        const auto servers = makeServers(engines);
        std::map<backend_id, int> counts;
        for (int gateway = 0; gateway < gateways; ++gateway) {
            for (const auto& [id, server] : subsetOf(gateway, servers))
                ++counts[id];
        }
        EXPECT_EQ(counts.size(), servers.size()) << "every engine is used";
        return std::max_element(counts.begin(), counts.end(), [](const auto& left, const auto& right) {
            return left.second < right.second;
        })->second;
    };
    EXPECT_LE(mostGateways(529, 516), 2 * 33);
    EXPECT_LE(mostGateways(1058, 1032), 2 * 33);
}

TEST(ServerSubset, HalfOfItIsLocal)
{
    int local = 0;
    for (const auto& [id, server] : subsetOf(1, makeServers(516)))
        local += server.dataCentre == dataCentre(1) ? 1 : 0;
    EXPECT_EQ(local, 16);
}

TEST(ServerSubset, OneSideProvidesWhatTheOtherLacks)
{
    auto servers = makeServers(516);
    for (auto& [id, server] : servers)
        server.isLeaving = server.dataCentre == dataCentre(1);
    EXPECT_EQ(subsetOf(1, servers).size(), 32U);
    for (auto& [id, server] : servers)
        server.isLeaving = server.dataCentre != dataCentre(1);
    const auto onlyLocal = subsetOf(1, servers);
    EXPECT_EQ(onlyLocal.size(), 32U);
    EXPECT_TRUE(std::all_of(onlyLocal.begin(), onlyLocal.end(),
        [](const auto& entry) { return entry.second.dataCentre == dataCentre(1); }));
}

TEST(ServerSubset, AServerThatLeavesIsReplacedAndTheOthersStay)
{
    auto servers = makeServers(516);
    const auto before = subsetOf(1, servers);
    servers[before.begin()->first].isLeaving = true;
    const auto after = subsetOf(1, servers);
    EXPECT_EQ(after.size(), before.size());
    int kept = 0;
    for (const auto& [id, server] : after)
        kept += before.contains(id) ? 1 : 0;
    EXPECT_EQ(kept, 31);
}

// Requests of each gateway flow to the reachable servers of its subset that have the least load, until no flow moves
// any more. Returns the load of the busiest server over the mean.
double busiestOverMean(const std::vector<int>& gateways, const server_list& servers,
    const std::function<bool(const backend_server&)>& isReachable)
{
    std::map<backend_id, double> load;
    for (const auto& [id, server] : servers) {
        if (isReachable(server))
            load[id] = 0;
    }
    // For each gateway its rate, and the load of each of its servers with the gateway's part of it.
    std::vector<std::pair<double, std::vector<std::pair<double*, double>>>> flows;
    double total = 0;
    for (const auto gateway : gateways) {
        const double rate = 0.24 + 0.19 * (gateway % 5); // Gateways of 0.24 to 1 cores.
        total += rate;
        std::vector<std::pair<double*, double>> parts;
        for (const auto& [id, server] : subsetOf(gateway, servers)) {
            if (isReachable(server))
                parts.emplace_back(&load[id], 0.0);
        }
        flows.emplace_back(rate, std::move(parts));
    }
    constexpr int rounds = 60;
    for (int round = 0; round < rounds; ++round) {
        for (auto& [rate, parts] : flows) {
            for (auto& [target, part] : parts)
                *target -= part;
            std::sort(parts.begin(), parts.end(), [](const auto& a, const auto& b) { return *a.first < *b.first; });
            // Pours the rate over the servers with the least load, up to one common level.
            double level = 0;
            double sum = 0;
            std::size_t used = 0;
            while (used < parts.size() && (used == 0 || *parts[used].first < level)) {
                sum += *parts[used].first;
                ++used;
                level = (sum + rate) / static_cast<double>(used);
            }
            for (auto& [target, part] : parts) {
                part = std::max(0.0, level - *target);
                *target += part;
            }
        }
    }
    double busiest = 0;
    for (const auto& [id, value] : load)
        busiest = std::max(busiest, value);
    return busiest / (total / static_cast<double>(load.size()));
}

// The stated target: the busiest server has at most 1.15 times the mean load.
TEST(ServerSubset, GatewaysOfUnequalSizeLoadTheServersEvenly)
{
    const auto servers = makeServers(516);
    std::vector<int> all;
    std::vector<int> twoThirds;
    for (int gateway = 0; gateway < 529; ++gateway) {
        all.push_back(gateway);
        if (gateway % 3 != 0)
            twoThirds.push_back(gateway);
    }
    EXPECT_LE(busiestOverMean(all, servers, isInService), 1.15);
    EXPECT_LE(busiestOverMean(twoThirds, servers, isInService), 1.15);
}

// Gateways of a data centre that is cut off reach only the half of their subsets that is local.
TEST(ServerSubset, GatewaysOfADataCentreThatIsCutOffLoadItsServersEvenly)
{
    const auto servers = makeServers(516);
    std::vector<int> gateways;
    for (int gateway = 2; gateway < 529; gateway += dataCentres)
        gateways.push_back(gateway);
    EXPECT_LE(busiestOverMean(
                  gateways, servers, [](const backend_server& server) { return server.dataCentre == dataCentre(2); }),
        1.15);
}

} // namespace
} // namespace coltsfootbend
