#pragma once

// All engines of a group with expert maps, as its promises are written down in docs/design/PLATFORM-PROGRAMS.md: passes
// that all ranks begin together, and orders that are refused, lost or carried out late. Whoever drives it begins the
// passes; it counts those that began with two maps, which must never happen. For tests, trials and the soak.
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

class model_group {
public:
    struct options {
        std::string name = "g";
        rank_number ranks = 4;
        std::uint32_t sets = 2;
        std::uint32_t experts = 16;
        // Of the orders: not answered, and carried out within `latest`.
        double lateShare = 0;
        duration latest = std::chrono::milliseconds(400);
        unsigned seed = 1;
        // Demand moves to other experts this often.
        pass_number passesPerDemand = 100;
        // In each pass requests of all ranks choose experts, instead of those of one rank in turn; and busy experts are
        // up to three times as busy as the mean, instead of seven times.
        bool everyRankCounts = false;
        // What each engine reports to run.
        std::uint32_t running = 0;
    };

    // One rank's part in map changes.
    struct member {
        engine_incarnation life { 1 };
        engine_map_version highest = 0;
        engine_map_version version = 0;
        rank_experts experts;
        std::optional<rank_map_view> prepared;
        std::optional<armed_switch> armed;
        std::optional<pass_number> held;
        std::vector<std::uint64_t> counts;
    };

    explicit model_group(const options&);

    // Forms the group anew: a new epoch with the first map, nothing prepared, armed or held.
    void form();
    // A rank is gone: no pass begins until `form`.
    void breakUp() { m_isOpen = false; }
    // The engine of `rank` starts anew under its old name: it knows nothing, and the group is broken.
    void restart(rank_number rank);
    // Begins the next pass on all ranks, unless the group is broken or one rank holds it. Returns whether it began.
    bool beginPass();
    // From now on this share of the orders comes late.
    void setLateShare(double share) { m_lateShare = share; }

    using order_work = std::function<bool(member&, pass_number)>;
    // Whether an order comes late, and by how much.
    std::optional<duration> drawLateness();
    // Carries `work` out on `rank`. Returns false where `work` does or another epoch has begun.
    bool carryOut(rank_number rank, group_epoch epoch, const order_work& work)
    {
        return m_epoch == epoch && work(m_members[rank], m_step);
    }

    // Other experts are in demand from now on.
    void shiftDemand() { ++m_shifts; }
    // How often each expert is chosen in a pass of this moment, by set and expert.
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
    int switches() const { return m_switches; } // Summed over the ranks.
    time_point lastPassAt() const { return m_lastPassAt; }

private:
    void countDemand();

    const options m_options;
    std::minstd_rand m_random;
    double m_lateShare;
    std::vector<member> m_members;
    bool m_isOpen = true;
    group_epoch m_epoch = 0;
    pass_number m_step = 0;
    unsigned m_shifts = 0;
    int m_mixedPasses = 0;
    int m_switches = 0;
    time_point m_lastPassAt {};
};

// One engine as its agent sees it: a rank of a group, and perhaps of another one once that is formed anew. An order
// knows an epoch and no group, so one that comes late is carried out wherever the engine is by then.
class model_engine final : public rank_engine {
public:
    model_engine(fiber_runtime& runtime, model_group& group, rank_number rank)
        : m_runtime(runtime)
        , m_place(std::make_shared<place>(place { &group, rank }))
    {
    }

    // To be called before both groups are formed anew.
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

    // Carries `work` out now or late. Fails with `Stale` where it cannot be, with `TimedOut` at `deadline` where it
    // comes late.
    result<void> order(group_epoch, const model_group::order_work&, time_point deadline);

    fiber_runtime& m_runtime;
    std::shared_ptr<place> m_place; // Outlives the engine in orders that come late.
};

} // namespace coltsfootbend
