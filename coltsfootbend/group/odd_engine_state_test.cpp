// Guards against rank agents that end because an engine reports numbers that cannot be true: agents use them as sizes
// and indices.

#include "coltsfootbend/group/map_leader.h"

#include <gtest/gtest.h>
#include <limits>
#include <thread>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t sets = 2;
constexpr std::uint32_t experts = 4;
// Rounds in which a leader reads the map in use, learns the demand and plans a change.
constexpr int rounds = 6;

// The engine of the only rank of a group. Always in high demand for the first expert.
class reporting_engine final : public rank_engine {
public:
    reporting_engine()
    {
        m_report.group = group_membership { .name = "g", .epoch = 1, .rank = 0, .ranks = 1, .isOpen = true };
        m_maps.inUse.experts = { { 0, 1, 2, 3 }, { 0, 1, 2, 3 } };
    }

    group_membership& group() { return *m_report.group; }
    rank_experts& map() { return m_maps.inUse.experts; }

    result<rank_report> report(time_point) override
    {
        ++m_report.step;
        return m_report;
    }
    result<rank_demand> demand(time_point) override
    {
        m_requests += 10'000;
        return rank_demand { .incarnation = {},
            .epoch = 1,
            .counts = std::vector<std::uint64_t>(std::size_t { sets } * experts, m_requests) };
    }
    result<rank_maps> maps(time_point) override
    {
        ++mapsRead;
        return m_maps;
    }
    result<void> prepare(group_epoch, engine_map_version, const group_map&, time_point) override { return refuse(); }
    result<void> arm(group_epoch, const armed_switch&, time_point) override { return refuse(); }
    result<void> disarm(group_epoch, engine_map_version, time_point) override { return refuse(); }
    result<void> hold(group_epoch, pass_number, time_point) override { return refuse(); }
    result<void> release(group_epoch, pass_number, time_point) override { return refuse(); }

    int mapsRead = 0;
    int orders = 0;

private:
    result<void> refuse()
    {
        ++orders;
        return fail(error_kind::Stale, "refused");
    }

    rank_report m_report;
    rank_maps m_maps;
    std::uint64_t m_requests = 0;
};

// Runs rounds of a leader beside `engine`. Returns the longest delay until a next round.
duration lead(reporting_engine& engine)
{
    duration longest {};
    std::thread([&] {
        fiber_runtime runtime;
        runtime.spawn([&] {
            map_participant participant(runtime, engine);
            direct_dispatcher dispatcher(runtime);
            map_leader leader(runtime, participant, dispatcher,
                { .planner = { .placesPerRank = 4 }, .sets = sets, .experts = experts }, 1);
            participant.observe(*engine.report({}));
            const auto term = participant.claimLeadership(engine.group().rank);
            for (int round = 0; round < rounds; ++round)
                longest = std::max(longest, leader.runRound(term));
            runtime.stop();
        });
        runtime.run();
    }).join();
    return longest;
}

TEST(OddEngineState, ASoundEngineIsLed)
{
    reporting_engine engine;
    EXPECT_GT(lead(engine), duration::zero());
    EXPECT_GT(engine.mapsRead, 0);
}

TEST(OddEngineState, ARankOutsideItsGroupEndsNoAgent)
{
    constexpr auto most = std::numeric_limits<rank_number>::max();
    for (const auto& [rank, ranks] :
        { std::pair<rank_number, rank_number> { 0, 0 }, { 9, 4 }, { 4, 4 }, { most - 1, 4 }, { 0, most } }) {
        reporting_engine engine;
        engine.group().rank = rank;
        engine.group().ranks = ranks;
        (void)lead(engine);
        EXPECT_EQ(engine.orders, 0) << rank << " of " << ranks;
    }
}

TEST(OddEngineState, AMapOfExpertsThatDoNotExistEndsNoAgent)
{
    for (const rank_experts& map :
        { rank_experts { { 0, 1 }, { 4'000'000 } }, { { experts }, {} }, { {} }, { { 0 }, { 0 }, { 0 } } }) {
        reporting_engine engine;
        engine.map() = map;
        EXPECT_GT(lead(engine), duration::zero())
            << "a leader that cannot use the map does not ask for it all the time";
        EXPECT_EQ(engine.orders, 0);
    }
}

} // namespace
} // namespace coltsfootbend
