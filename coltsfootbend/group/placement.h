#pragma once

// Which experts of one layer lie on which ranks, and the moves that make the busiest rank less busy. The slowest rank
// sets the pace of all, so what counts is the largest load over the mean; every move costs weights to be loaded, so a
// move is planned only while it gains more than it costs. Deterministic. Not for agreeing on a plan: see
// `group/map_coordinator.h`.
//
//     placement current = placement::initial(256, 256, 2);
//     auto plan = planRebalance(current, load, { .gainPerMove = 0.002, .maxMoves = 32 });

#include "coltsfootbend/group/map_messages.h"

#include <cstdint>
#include <vector>

namespace coltsfootbend {

using expert_number = std::uint32_t;

// Share of a layer's tokens that go to each expert; sums to 1.
using expert_load = std::vector<double>;

class placement {
public:
    // Spreads `experts` over `ranks` with `slots` each, every expert at least once. Precondition: ranks x slots is at
    // least experts.
    static placement initial(rank_number ranks, expert_number experts, std::uint32_t slots);

    rank_number ranks() const { return m_ranks; }
    std::uint32_t slots() const { return m_slots; }
    expert_number experts() const { return static_cast<expert_number>(m_replicas.size()); }

    expert_number at(rank_number rank, std::uint32_t slot) const { return m_expert[rank * m_slots + slot]; }
    std::uint32_t replicas(expert_number expert) const { return m_replicas[expert]; }
    bool holds(rank_number, expert_number) const;
    // Puts `expert` into a slot in place of what lies there. Precondition: that one lies elsewhere too.
    void replace(rank_number, std::uint32_t slot, expert_number);
    // Exchanges what lies in two slots.
    void exchange(rank_number left, std::uint32_t leftSlot, rank_number right, std::uint32_t rightSlot);

    // Load of each rank when every expert's tokens are spread evenly over its replicas. O(slots).
    std::vector<double> rankLoads(const expert_load&) const;
    // Largest rank load over the mean; 1 is perfect.
    double skew(const expert_load&) const;
    // How many slots of `next` hold an expert that this placement does not have on that rank.
    std::size_t movesTo(const placement& next) const;

private:
    rank_number m_ranks = 0;
    std::uint32_t m_slots = 0;
    std::vector<expert_number> m_expert; // By rank and slot.
    std::vector<std::uint32_t> m_replicas; // By expert.
};

struct rebalance_options {
    // By how much the skew must fall for each expert that is moved: what one move costs, in skew over the time that the
    // plan is expected to stand.
    double gainPerMove = 0;
    std::size_t maxMoves = 0;
};

struct rebalance_plan {
    placement next;
    std::size_t moves = 0;
    double skewBefore = 1;
    double skewAfter = 1;
};

// Plans moves from `current` for the load that is expected. O(moves x (ranks + candidates x slots^2)).
rebalance_plan planRebalance(const placement& current, const expert_load&, const rebalance_options&);

} // namespace coltsfootbend
