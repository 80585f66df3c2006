#include "coltsfootbend/group/placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace coltsfootbend {

namespace {

// Number of least loaded ranks that are considered as targets of a move.
constexpr std::size_t candidateRanks = 24;
// Number of consecutive moves without a gain that are tried before the planner stops.
constexpr std::size_t maxMovesWithoutGain = 12;

} // namespace

placement placement::initial(rank_number ranks, expert_number experts, std::uint32_t slots)
{
    placement placed;
    placed.m_ranks = ranks;
    placed.m_slots = slots;
    placed.m_expert.resize(static_cast<std::size_t>(ranks) * slots);
    placed.m_replicas.resize(experts);
    // Each round through the experts is shifted by one, so that the replicas of an expert are on different ranks.
    for (std::uint32_t slot = 0; slot < slots; ++slot) {
        for (rank_number rank = 0; rank < ranks; ++rank) {
            const auto index = static_cast<std::size_t>(slot) * ranks + rank;
            const auto expert = static_cast<expert_number>((index + index / experts) % experts);
            placed.m_expert[rank * slots + slot] = expert;
            ++placed.m_replicas[expert];
        }
    }
    return placed;
}

bool placement::holds(rank_number rank, expert_number expert) const
{
    const auto begin = m_expert.begin() + static_cast<std::ptrdiff_t>(rank) * m_slots;
    return std::find(begin, begin + m_slots, expert) != begin + m_slots;
}

void placement::replace(rank_number rank, std::uint32_t slot, expert_number expert)
{
    auto& held = m_expert[rank * m_slots + slot];
    --m_replicas[held];
    ++m_replicas[expert];
    held = expert;
}

void placement::exchange(rank_number left, std::uint32_t leftSlot, rank_number right, std::uint32_t rightSlot)
{
    std::swap(m_expert[left * m_slots + leftSlot], m_expert[right * m_slots + rightSlot]);
}

std::vector<double> placement::rankLoads(const expert_load& load) const
{
    std::vector<double> loads(m_ranks);
    for (std::size_t i = 0; i < m_expert.size(); ++i)
        loads[i / m_slots] += load[m_expert[i]] / m_replicas[m_expert[i]];
    return loads;
}

double placement::skew(const expert_load& load) const
{
    const auto loads = rankLoads(load);
    const double sum = std::accumulate(loads.begin(), loads.end(), 0.0);
    return sum > 0 ? *std::max_element(loads.begin(), loads.end()) * m_ranks / sum : 1;
}

std::size_t placement::countMovesTo(const placement& next) const
{
    std::size_t moves = 0;
    for (rank_number rank = 0; rank < m_ranks; ++rank) {
        for (std::uint32_t slot = 0; slot < m_slots; ++slot)
            moves += holds(rank, next.at(rank, slot)) ? 0 : 1;
    }
    return moves;
}

namespace {

// A possible move that lowers the load of the busiest rank.
struct candidate_move {
    bool isExchange = false; // Two experts trade slots; otherwise an expert is replicated.
    rank_number from = 0;
    std::uint32_t fromSlot = 0;
    rank_number to = 0;
    std::uint32_t toSlot = 0;
    double score = 0; // Largest load of the affected ranks after the move.
};

// The working state of a plan: applies moves to a copy of the placement.
class planner {
public:
    planner(const placement& current, const expert_load& load)
        : m_placement(current)
        , m_load(load)
        , m_loads(current.rankLoads(load))
    {
    }

    const placement& result() const { return m_placement; }
    double skew() const { return m_placement.skew(m_load); }

    // Applies the best move for the busiest rank. Returns the number of moved experts; 0 if no move lowers the load.
    std::size_t applyBestMove()
    {
        const auto busiest
            = static_cast<rank_number>(std::max_element(m_loads.begin(), m_loads.end()) - m_loads.begin());
        std::optional<candidate_move> best;
        for (const auto other : leastLoadedRanks(busiest)) {
            for (std::uint32_t slot = 0; slot < m_placement.slots(); ++slot) {
                for (std::uint32_t otherSlot = 0; otherSlot < m_placement.slots(); ++otherSlot) {
                    consider(replicate(busiest, slot, other, otherSlot), best);
                    consider(exchange(busiest, slot, other, otherSlot), best);
                }
            }
        }
        if (!best || best->score >= m_loads[busiest])
            return 0;
        if (best->isExchange)
            m_placement.exchange(best->from, best->fromSlot, best->to, best->toSlot);
        else
            m_placement.replace(best->to, best->toSlot, m_placement.at(best->from, best->fromSlot));
        m_loads = m_placement.rankLoads(m_load);
        return best->isExchange ? 2 : 1;
    }

private:
    std::vector<rank_number> leastLoadedRanks(rank_number except) const
    {
        std::vector<rank_number> order(m_loads.size());
        std::iota(order.begin(), order.end(), 0U);
        const auto kept = std::min(candidateRanks, order.size());
        std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(kept), order.end(),
            [this](rank_number left, rank_number right) { return m_loads[left] < m_loads[right]; });
        order.resize(kept);
        std::erase(order, except);
        return order;
    }

    double loadPerReplica(expert_number expert) const { return m_load[expert] / m_placement.replicas(expert); }

    static void consider(const std::optional<candidate_move>& move, std::optional<candidate_move>& best)
    {
        if (move && (!best || move->score < best->score))
            best = move;
    }

    // Returns the move that replicates an expert of the busiest rank in place of one that has another replica; none if
    // it is not possible.
    std::optional<candidate_move> replicate(
        rank_number busiest, std::uint32_t slot, rank_number other, std::uint32_t otherSlot) const
    {
        const auto replicated = m_placement.at(busiest, slot);
        const auto dropped = m_placement.at(other, otherSlot);
        if (replicated == dropped || m_placement.replicas(dropped) < 2 || m_placement.holds(other, replicated))
            return std::nullopt;
        const double after = m_load[replicated] / (m_placement.replicas(replicated) + 1);
        const double left = m_loads[busiest] - loadPerReplica(replicated) + after;
        const double right = m_loads[other] - loadPerReplica(dropped) + after;
        const double droppedAfter = m_load[dropped] / (m_placement.replicas(dropped) - 1);
        const double rise = droppedAfter - loadPerReplica(dropped);
        double score = std::max(left, right);
        // The remaining holders of the dropped expert take over its share.
        for (rank_number rank = 0; rank < m_placement.ranks(); ++rank) {
            if (rank != other && m_placement.holds(rank, dropped))
                score = std::max(score, m_loads[rank] + rise);
        }
        return candidate_move { false, busiest, slot, other, otherSlot, score };
    }

    // Returns the move that exchanges the experts of two slots; none if a rank would hold an expert twice.
    std::optional<candidate_move> exchange(
        rank_number busiest, std::uint32_t slot, rank_number other, std::uint32_t otherSlot) const
    {
        const auto heavy = m_placement.at(busiest, slot);
        const auto light = m_placement.at(other, otherSlot);
        if (m_placement.holds(other, heavy) || m_placement.holds(busiest, light))
            return std::nullopt;
        const double change = loadPerReplica(heavy) - loadPerReplica(light);
        const double score = std::max(m_loads[busiest] - change, m_loads[other] + change);
        return candidate_move { true, busiest, slot, other, otherSlot, score };
    }

    placement m_placement;
    const expert_load& m_load;
    std::vector<double> m_loads;
};

} // namespace

rebalance_plan planRebalance(const placement& current, const expert_load& load, const rebalance_options& options)
{
    planner planner(current, load);
    rebalance_plan plan {
        .next = current, .moves = 0, .skewBefore = current.skew(load), .skewAfter = current.skew(load)
    };
    std::size_t moves = 0;
    std::size_t movesWithoutGain = 0;
    double bestValue = 0;
    // Several ranks may be equally busy, so a single move often gains nothing by itself. The plan is truncated to the
    // sequence of moves with the highest value.
    while (moves < options.maxMoves && movesWithoutGain < maxMovesWithoutGain) {
        const auto moved = planner.applyBestMove();
        if (moved == 0)
            break;
        moves += moved;
        const double skew = planner.skew();
        const double value = plan.skewBefore - skew - options.gainPerMove * static_cast<double>(moves);
        if (value > bestValue && moves <= options.maxMoves) {
            bestValue = value;
            plan.next = planner.result();
            plan.moves = moves;
            plan.skewAfter = skew;
            movesWithoutGain = 0;
        } else {
            ++movesWithoutGain;
        }
    }
    return plan;
}

} // namespace coltsfootbend
