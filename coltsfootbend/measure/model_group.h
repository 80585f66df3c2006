#pragma once

// Simulates all engines of a group with expert maps, as specified in docs/design/PLATFORM-PROGRAMS.md: all ranks begin
// each pass together, and orders are refused, lost or executed late. The caller begins the passes. The group counts the
// passes that began with two different maps, which must never happen. For tests, trials and the soak.
//
//     model_group group({ .ranks = 4, .sets = 2, .experts = 16, .lateShare = 0.3 });
//     model_engine engine(runtime, group, 2);
//     group.beginPass();

#include "coltsfootbend/group/rank_engine.h"
#include "coltsfootbend/net/fiber_runtime.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace coltsfootbend {

// The simulated state of one group and all of its ranks.
class model_group {
public:
    struct options {
        std::string name = "g";
        rank_number ranks = 4;
        std::uint32_t sets = 2;
        std::uint32_t experts = 16;
        // Share of the orders that are not answered and are executed late, after at most `latest`.
        double lateShare = 0;
        duration latest = std::chrono::milliseconds(400);
        unsigned seed = 1;
        // Number of passes after which demand moves to other experts.
        pass_number passesPerDemand = 100;
        // If set, all ranks count demand in each pass, instead of one rank in turn, and the busiest experts have up to
        // three times the mean demand, instead of seven times.
        bool everyRankCounts = false;
        // Number of running requests that each engine reports.
        std::uint32_t running = 0;
    };

    // The state of one rank in map changes.
    struct member {
        engine_incarnation engineIncarnation { 1 };
        engine_map_version highest = 0;
        engine_map_version version = 0;
        rank_experts experts;
        std::optional<rank_map_view> prepared;
        std::optional<armed_switch> armed;
        std::optional<pass_number> held;
        std::vector<std::uint64_t> counts;
    };

    explicit model_group(const options&);

    // Starts a new epoch with the first map and nothing prepared, armed or held.
    void form();
    // Simulates the loss of a rank: no pass begins until `form` is called.
    void breakUp() { m_isOpen = false; }
    // Restarts the engine of `rank` as a new incarnation without state, which breaks the group.
    void restart(rank_number rank);
    // Begins the next pass on all ranks, unless the group is broken or one rank holds it. Returns whether it began.
    bool beginPass();
    // Sets the share of later orders that are executed late.
    void setLateShare(double share) { m_lateShare = share; }
    // Makes all later orders to one rank late; none ends this.
    void setLateRank(std::optional<rank_number> rank) { m_lateRank = rank; }

    using order_action = std::function<bool(member&, pass_number)>;
    // Draws whether an order to `rank` is late. Returns its delay, or nothing if it is on time.
    std::optional<duration> drawDelay(rank_number rank);
    // Executes `work` on `rank`. Returns false if `work` does, or if `epoch` is not the current one.
    bool execute(rank_number rank, group_epoch epoch, const order_action& work)
    {
        return m_epoch == epoch && work(m_members[rank], m_step);
    }

    // Moves demand to other experts.
    void shiftDemand() { ++m_shifts; }
    // Returns how often each expert is chosen in the current pass, by set and expert.
    std::vector<std::uint64_t> demandOfPass() const;

    std::uint32_t running() const { return m_options.running; }
    const std::string& name() const { return m_options.name; }
    bool isOpen() const { return m_isOpen; }
    group_epoch epoch() const { return m_epoch; }
    pass_number step() const { return m_step; }
    rank_number ranks() const { return m_options.ranks; }
    const member& at(rank_number rank) const { return m_members[rank]; }
    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }

    int mixedPasses() const { return m_mixedPasses; }
    int switches() const { return m_switches; } // Sum over the ranks.
    time_point lastPassAt() const { return m_lastPassAt; }

private:
    void countDemand();

    const options m_options;
    std::minstd_rand m_random;
    double m_lateShare;
    std::optional<rank_number> m_lateRank;
    std::vector<member> m_members;
    bool m_isOpen = true;
    group_epoch m_epoch = 0;
    pass_number m_step = 0;
    unsigned m_shifts = 0;
    int m_mixedPasses = 0;
    int m_switches = 0;
    time_point m_lastPassAt {};
};

// The engine of one rank, as its agent calls it. It can move to another group. An order names an epoch but no group, so
// a late order is executed in the group that the engine belongs to by then.
class model_engine final : public rank_engine {
public:
    model_engine(fiber_runtime& runtime, model_group& group, rank_number rank)
        : m_runtime(runtime)
        , m_place(std::make_shared<place>(place { &group, rank }))
    {
    }

    // Moves the engine to another group. Must be called before `form` of both groups.
    void moveTo(model_group& group, rank_number rank) { *m_place = { &group, rank }; }
    rank_number rank() const { return m_place->rank; }
    const model_group& group() const { return *m_place->group; }

    result<rank_report> report(time_point) override;
    result<rank_demand> demand(time_point) override;
    result<rank_maps> maps(time_point) override;
    result<void> prepare(group_epoch, engine_map_version, const group_map&, time_point deadline) override;
    result<void> arm(group_epoch, const armed_switch&, time_point deadline) override;
    result<void> disarm(group_epoch, engine_map_version, time_point deadline) override;
    result<void> hold(group_epoch, pass_number, time_point deadline) override;
    result<void> release(group_epoch, pass_number, time_point deadline) override;

private:
    struct place {
        model_group* group = nullptr;
        rank_number rank = 0;
    };

    // Executes `work` now or late. Fails with `Stale` if the state does not allow it, and with `TimedOut` at `deadline`
    // if it is late.
    result<void> order(group_epoch, const model_group::order_action&, time_point deadline);

    fiber_runtime& m_runtime;
    std::shared_ptr<place> m_place; // Shared with late orders, which may outlive the engine.
};

} // namespace coltsfootbend
