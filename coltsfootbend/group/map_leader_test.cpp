// Leaders and participants against a model of a group's engines that carries orders out late, loses answers and forms
// the group anew, while leaders are paused and agents die. What must hold: no pass begins with two maps.

#include "coltsfootbend/group/map_leader.h"

#include <algorithm>
#include <cstdlib>
#include <gtest/gtest.h>
#include <random>
#include <thread>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

constexpr rank_number ranks = 4;
constexpr std::uint32_t sets = 2;
constexpr std::uint32_t experts = 16;
constexpr duration passTime = 4ms;

struct model_faults {
    double lateShare = 0; // Of the orders: not answered, and carried out later.
    double lostShare = 0; // Of the messages between agents.
    duration epochLength = std::chrono::hours(1); // After which a rank crashes and the group is formed anew.
};

struct model_rank {
    engine_map_version highest = 0;
    engine_map_version version = 0;
    rank_experts experts;
    std::optional<rank_map_view> prepared;
    std::optional<armed_switch> armed;
    std::optional<pass_number> held;
    std::vector<std::uint64_t> counts;
};

// All engines of a group, as its promises are written down for users: see docs/design/PLATFORM-PROGRAMS.md.
class model_group {
public:
    model_group(fiber_runtime& runtime, const model_faults& faults, unsigned seed)
        : m_runtime(runtime)
        , m_faults(faults)
        , m_random(seed)
    {
        form();
    }

    void run(time_point until)
    {
        auto epochEnd = clock_type::now() + m_faults.epochLength;
        while (clock_type::now() < until) {
            m_runtime.sleepFor(passTime);
            if (clock_type::now() > epochEnd) {
                form();
                epochEnd = clock_type::now() + m_faults.epochLength;
            }
            begin();
        }
    }

    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }
    duration lateBy() { return std::chrono::milliseconds(std::uniform_int_distribution<int>(20, 400)(m_random)); }

    std::vector<model_rank> members;
    group_epoch epoch = 0;
    pass_number step = 0;
    int mixedPasses = 0;
    int switches = 0;
    time_point lastPassAt {};
    unsigned demandSeed = 1;
    fiber_runtime& runtime() { return m_runtime; }
    const model_faults& faults() const { return m_faults; }

private:
    void form()
    {
        ++epoch;
        members.assign(ranks, model_rank {});
        for (rank_number rank = 0; rank < ranks; ++rank) {
            members[rank].counts.assign(std::size_t { sets } * experts, 0);
            members[rank].experts.assign(sets, {});
            for (auto& set : members[rank].experts) {
                for (std::uint32_t expert = rank; expert < experts; expert += ranks)
                    set.push_back(expert);
            }
        }
    }

    void begin()
    {
        const auto next = step + 1;
        for (const auto& member : members) {
            if (member.held == next)
                return;
        }
        step = next;
        lastPassAt = clock_type::now();
        for (auto& member : members) {
            if (member.armed && member.armed->step == step) {
                member.version = member.armed->version;
                member.experts = member.prepared->experts;
                member.prepared.reset();
                member.armed.reset();
                ++switches;
            }
        }
        mixedPasses += std::any_of(members.begin(), members.end(),
                           [&](const auto& member) { return member.version != members[0].version; })
            ? 1
            : 0;
        // Demand moves to other experts every hundred passes.
        std::minstd_rand demand(demandSeed + static_cast<unsigned>(step / 100));
        for (std::size_t i = 0; i < std::size_t { sets } * experts; ++i)
            members[step % ranks].counts[i] += 1 + (demand() % 7 == 0 ? 200 : 0);
    }

    fiber_runtime& m_runtime;
    const model_faults m_faults;
    std::minstd_rand m_random;
};

class model_engine final : public rank_engine {
public:
    model_engine(model_group& group, rank_number rank)
        : m_group(group)
        , m_rank(rank)
    {
    }

    result<rank_report> report(time_point) override
    {
        const auto& mine = m_group.members[m_rank];
        rank_report report;
        report.group = group_membership { "g", m_group.epoch, m_rank, ranks, true };
        report.step = m_group.step;
        report.mapVersion = mine.version;
        if (mine.prepared)
            report.prepared = mine.prepared->version;
        report.armed = mine.armed;
        report.held = mine.held;
        return report;
    }
    result<rank_demand> demand(time_point) override
    {
        return rank_demand { m_group.epoch, m_group.members[m_rank].counts };
    }
    result<rank_maps> maps(time_point) override
    {
        const auto& mine = m_group.members[m_rank];
        return rank_maps { m_group.epoch, { mine.version, mine.experts }, mine.prepared };
    }
    result<void> prepare(
        group_epoch epoch, engine_map_version version, const group_map& map, time_point deadline) override
    {
        rank_experts own;
        for (const auto& set : map)
            own.push_back(set[m_rank]);
        return order(deadline, epoch, [version, own](model_rank& mine, pass_number) {
            if (version <= mine.highest || mine.armed)
                return false;
            mine.highest = version;
            mine.prepared = rank_map_view { version, own };
            return true;
        });
    }
    result<void> arm(group_epoch epoch, const armed_switch& target, time_point deadline) override
    {
        return order(deadline, epoch, [target](model_rank& mine, pass_number step) {
            if (!mine.prepared || mine.prepared->version != target.version || step >= target.step)
                return false;
            mine.armed = target;
            return true;
        });
    }
    result<void> disarm(group_epoch epoch, engine_map_version version, time_point deadline) override
    {
        return order(deadline, epoch, [version](model_rank& mine, pass_number) {
            if (mine.armed && mine.armed->version == version)
                mine.armed.reset();
            return mine.version != version;
        });
    }
    result<void> hold(group_epoch epoch, pass_number wanted, time_point deadline) override
    {
        return order(deadline, epoch, [wanted](model_rank& mine, pass_number step) {
            if (step >= wanted || (mine.held && mine.held != wanted))
                return false;
            mine.held = wanted;
            return true;
        });
    }
    result<void> release(group_epoch epoch, pass_number wanted, time_point deadline) override
    {
        return order(deadline, epoch, [wanted](model_rank& mine, pass_number) {
            if (mine.held == wanted)
                mine.held.reset();
            return true;
        });
    }

private:
    result<void> order(
        time_point deadline, group_epoch epoch, const std::function<bool(model_rank&, pass_number)>& carryOut)
    {
        const auto now = [&group = m_group, rank = m_rank, epoch, carryOut] {
            return group.epoch == epoch && carryOut(group.members[rank], group.step);
        };
        if (m_group.chance(m_group.faults().lateShare)) {
            m_group.runtime().spawn([&group = m_group, now, late = m_group.lateBy()] {
                group.runtime().sleepFor(late);
                (void)now();
            });
            m_group.runtime().sleepUntil(deadline);
            return fail(error_kind::TimedOut, "no answer");
        }
        if (now())
            return {};
        return fail(error_kind::Stale, "409");
    }

    model_group& m_group;
    const rank_number m_rank;
};

// One rank's agent: its part, and its leader when it leads.
struct model_agent {
    model_agent(model_group& group, rank_number number, unsigned seed)
        : rank(number)
        , engine(group, number)
        , participant(std::make_unique<map_participant>(group.runtime(), engine))
        , leader(std::make_unique<map_leader>(group.runtime(), *participant,
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
    model_channel(model_group& group, model_agent& agent)
        : m_group(group)
        , m_agent(agent)
    {
    }

    result<wire::rank_state> ask(const wire::body& asked, time_point deadline) override
    {
        m_group.runtime().sleepFor(1ms);
        while (clock_type::now() < m_agent.pausedUntil && clock_type::now() < deadline)
            m_group.runtime().sleepFor(2ms);
        if (clock_type::now() >= deadline || m_group.chance(m_group.faults().lostShare))
            return fail(error_kind::Lost, "lost");
        auto state = m_agent.participant->answer(asked, deadline);
        if (m_group.chance(m_group.faults().lostShare))
            return fail(error_kind::Lost, "answer lost");
        return state;
    }

private:
    model_group& m_group;
    model_agent& m_agent;
};

struct trial_result {
    int mixedPasses = 0;
    int switches = 0;
    bool isMoving = false;
};

// Runs a group for `length`. `pauses`: the agent that leads stands still, time and again, and another takes over.
trial_result play(const model_faults& faults, bool pauses, unsigned seed, duration length)
{
    trial_result outcome;
    std::thread([&] {
        fiber_runtime runtime;
        runtime.spawn([&] {
            const auto until = clock_type::now() + length;
            auto group = std::make_shared<model_group>(runtime, faults, seed);
            std::vector<std::unique_ptr<model_agent>> agents;
            for (rank_number rank = 0; rank < ranks; ++rank)
                agents.push_back(std::make_unique<model_agent>(*group, rank, seed + rank));
            for (auto& agent : agents) {
                std::vector<std::shared_ptr<rank_channel>> others;
                for (auto& other : agents) {
                    if (other != agent)
                        others.push_back(std::make_shared<model_channel>(*group, *other));
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
            group->run(until);
            outcome.mixedPasses = group->mixedPasses;
            outcome.switches = group->switches / static_cast<int>(ranks);
            outcome.isMoving = group->lastPassAt > until - 1500ms;
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
