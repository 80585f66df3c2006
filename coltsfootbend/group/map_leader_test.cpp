// Leaders and participants against a model of a group's engines that carries orders out late, loses answers and forms
// the group anew, while leaders are paused and agents die. What must hold: no pass begins with two maps.

#include "coltsfootbend/group/map_leader.h"
#include "coltsfootbend/measure/model_group.h"

#include <cstdlib>
#include <gtest/gtest.h>
#include <thread>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

constexpr rank_number ranks = 4;
constexpr std::uint32_t sets = 2;
constexpr std::uint32_t experts = 16;
constexpr duration passTime = 4ms;

struct trial_faults {
    double lateShare = 0; // Of the orders: not answered, and carried out later.
    double lostShare = 0; // Of the messages between agents.
    duration epochLength = std::chrono::hours(1); // After which a rank crashes and the group is formed anew.
};

// Begins passes until `until`, and forms the group anew from time to time.
void runPasses(fiber_runtime& runtime, model_group& group, const trial_faults& faults, time_point until)
{
    auto epochEnd = clock_type::now() + faults.epochLength;
    while (clock_type::now() < until) {
        runtime.sleepFor(passTime);
        if (clock_type::now() > epochEnd) {
            group.form();
            epochEnd = clock_type::now() + faults.epochLength;
        }
        group.beginPass();
    }
}

// One rank's agent: its part, and its leader when it leads.
struct model_agent {
    model_agent(fiber_runtime& runtime, model_group& group, rank_number number, unsigned seed)
        : rank(number)
        , engine(group, number)
        , participant(std::make_unique<map_participant>(runtime, engine))
        , leader(std::make_unique<map_leader>(runtime, *participant,
              map_leader::options { .planner = { .placesPerRank = 6, .newPerChange = 2, .gainPerMove = 0.001 },
                  .sets = sets,
                  .experts = experts,
                  .cycle = 30ms,
                  .leastGain = 0.02,
                  .leastArmingTime = 20ms },
              seed))
    {
    }

    rank_number rank;
    model_engine engine;
    std::unique_ptr<map_participant> participant;
    std::unique_ptr<map_leader> leader;
    time_point pausedUntil {};
};

class model_channel final : public rank_channel {
public:
    model_channel(fiber_runtime& runtime, model_group& group, const trial_faults& faults, model_agent& agent)
        : m_runtime(runtime)
        , m_group(group)
        , m_faults(faults)
        , m_agent(agent)
    {
    }

    result<wire::rank_state> ask(const wire::body& asked, time_point deadline) override
    {
        m_runtime.sleepFor(1ms);
        while (clock_type::now() < m_agent.pausedUntil && clock_type::now() < deadline)
            m_runtime.sleepFor(2ms);
        if (clock_type::now() >= deadline || m_group.chance(m_faults.lostShare))
            return fail(error_kind::Lost, "lost");
        auto state = m_agent.participant->answer(asked, deadline);
        if (m_group.chance(m_faults.lostShare))
            return fail(error_kind::Lost, "answer lost");
        return state;
    }

private:
    fiber_runtime& m_runtime;
    model_group& m_group;
    const trial_faults m_faults;
    model_agent& m_agent;
};

struct trial_result {
    int mixedPasses = 0;
    int switches = 0;
    bool isMoving = false;
};

// Runs a group for `length`. `pauses`: the agent that leads stands still, time and again, and another takes over.
trial_result play(const trial_faults& faults, bool pauses, unsigned seed, duration length)
{
    trial_result outcome;
    std::thread([&] {
        fiber_runtime runtime;
        runtime.spawn([&] {
            const auto until = clock_type::now() + length;
            auto group = std::make_shared<model_group>(runtime,
                model_group::options {
                    .ranks = ranks, .sets = sets, .experts = experts, .lateShare = faults.lateShare, .seed = seed });
            std::vector<std::unique_ptr<model_agent>> agents;
            for (rank_number rank = 0; rank < ranks; ++rank)
                agents.push_back(std::make_unique<model_agent>(runtime, *group, rank, seed + rank));
            for (auto& agent : agents) {
                std::vector<std::shared_ptr<rank_channel>> others;
                for (auto& other : agents) {
                    if (other != agent)
                        others.push_back(std::make_shared<model_channel>(runtime, *group, faults, *other));
                }
                agent->leader->setOthers(std::move(others));
                runtime.spawn([&runtime, &agent = *agent, until, pauses, group] {
                    while (clock_type::now() < until) {
                        if (clock_type::now() < agent.pausedUntil) {
                            runtime.sleepFor(2ms);
                            continue;
                        }
                        if (pauses && group->chance(0.02))
                            agent.pausedUntil = clock_type::now() + 350ms;
                        const auto silence = 150ms + agent.rank * 60ms;
                        const auto term = agent.participant->term();
                        if (term != 0 && leaderOf(term) == agent.rank)
                            runtime.sleepFor(std::max<duration>(agent.leader->lead(term), 1ms));
                        else if (clock_type::now() > agent.participant->heardAt() + silence)
                            (void)agent.participant->claim(agent.rank);
                        else
                            runtime.sleepFor(10ms);
                    }
                });
            }
            runPasses(runtime, *group, faults, until);
            outcome.mixedPasses = group->mixedPasses();
            outcome.switches = group->switches() / static_cast<int>(ranks);
            outcome.isMoving = group->lastPassAt() > until - 1500ms;
            // What is still waiting for an answer has to end before the model does.
            runtime.sleepFor(1500ms);
            runtime.stop();
        });
        runtime.run();
    }).join();
    return outcome;
}

// The tests play fixed seeds; others are played by hand with COLTSFOOTBEND_MAP_SEED.
unsigned seedOf(unsigned fixed)
{
    const char* shift = std::getenv("COLTSFOOTBEND_MAP_SEED");
    return fixed + (shift ? static_cast<unsigned>(std::strtoul(shift, nullptr, 10)) : 0);
}

TEST(MapLeader, BringsBetterMapsIntoUseWhenNothingFails)
{
    const auto outcome = play({}, false, seedOf(1), 2s);
    EXPECT_EQ(outcome.mixedPasses, 0);
    EXPECT_GE(outcome.switches, 4);
    EXPECT_TRUE(outcome.isMoving);
}

TEST(MapLeader, NeverMixesMapsWhenOrdersAreCarriedOutLate)
{
    const auto outcome = play({ .lateShare = 0.35 }, false, seedOf(2), 5s);
    EXPECT_EQ(outcome.mixedPasses, 0);
    EXPECT_GE(outcome.switches, 1);
    EXPECT_TRUE(outcome.isMoving);
}

TEST(MapLeader, NeverMixesMapsWhenLeadersPauseAndMessagesAreLost)
{
    const auto outcome = play({ .lateShare = 0.1, .lostShare = 0.05 }, true, seedOf(3), 6s);
    EXPECT_EQ(outcome.mixedPasses, 0);
    EXPECT_TRUE(outcome.isMoving);
}

TEST(MapLeader, NeverMixesMapsWhenTheGroupIsFormedAnew)
{
    const auto outcome = play({ .lateShare = 0.2, .lostShare = 0.02, .epochLength = 700ms }, true, seedOf(4), 6s);
    EXPECT_EQ(outcome.mixedPasses, 0);
    EXPECT_TRUE(outcome.isMoving);
}

} // namespace
} // namespace coltsfootbend
