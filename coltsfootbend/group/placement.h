#pragma once

// The assignment of one layer's experts to ranks, and the planner of moves that lower the load of the busiest rank. The
// slowest rank limits the pace of all ranks, so the skew is the largest load divided by the mean. Every move costs
// loading weights, so a move is planned only if it gains more than it costs. Deterministic. Not for agreeing on a plan:
// see `group/map_coordinator.h`.
//
//     placement current = placement::initial(256, 256, 2);
//     auto plan = planRebalance(current, load, { .gainPerMove = 0.002, .maxMoves = 32 });

#include "coltsfootbend/group/map_messages.h"

#include <cstdint>
#include <vector>

namespace coltsfootbend {

// Number of an expert within its layer, from 0.
using expert_number = std::uint32_t;

// Share of a layer's tokens that each expert receives; sums to 1.
using expert_load = std::vector<double>;

// The experts in each rank's slots.
class placement {
public:
    // Returns a placement of `experts` on `ranks` with `slots` slots each that holds every expert at least once.
    // Precondition: ranks x slots is at least experts.
    static placement initial(rank_number ranks, expert_number experts, std::uint32_t slots);

    rank_number ranks() const { return m_ranks; }
    std::uint32_t slots() const { return m_slots; }
    expert_number experts() const { return static_cast<expert_number>(m_replicas.size()); }

    // Returns the expert in `slot` of `rank`.
    expert_number at(rank_number rank, std::uint32_t slot) const { return m_expert[rank * m_slots + slot]; }
    // Returns the number of slots that hold `expert`.
    std::uint32_t replicas(expert_number expert) const { return m_replicas[expert]; }
    // Returns whether a slot of the rank holds the expert.
    bool holds(rank_number, expert_number) const;
    // Replaces the expert in a slot. Precondition: the replaced expert has another replica.
    void replace(rank_number, std::uint32_t slot, expert_number);
    // Exchanges the experts of two slots.
    void exchange(rank_number left, std::uint32_t leftSlot, rank_number right, std::uint32_t rightSlot);

    // Returns the load of each rank if every expert's tokens are spread evenly over its replicas. O(slots).
    std::vector<double> rankLoads(const expert_load&) const;
    // Returns the largest rank load divided by the mean; 1 is perfect balance.
    double skew(const expert_load&) const;
    // Returns how many slots of `next` hold an expert that this placement does not have on the same rank.
    std::size_t countMovesTo(const placement& next) const;

private:
    rank_number m_ranks = 0;
    std::uint32_t m_slots = 0;
    std::vector<expert_number> m_expert; // By rank and slot.
    std::vector<std::uint32_t> m_replicas; // By expert.
};

// The cost and the limit of the moves of one plan.
struct rebalance_options {
    // Minimum reduction of the skew for each moved expert: the cost of one move, in skew over the time that the plan is
    // expected to be in use.
    double gainPerMove = 0;
    // Maximum number of experts that are moved.
    std::size_t maxMoves = 0;
};

// A planned placement, its number of moves and its effect on the skew.
struct rebalance_plan {
    placement next;
    std::size_t moves = 0;
    double skewBefore = 1;
    double skewAfter = 1;
};

// Plans moves from `current` for the expected load. O(moves x (ranks + candidates x slots^2)).
rebalance_plan planRebalance(const placement& current, const expert_load&, const rebalance_options&);

} // namespace coltsfootbend
