#include "coltsfootbend/group/map_planner.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <utility>

namespace coltsfootbend {

namespace {

using expert = std::uint32_t;

// A possible move that lowers the load of the busiest rank: `moved` is copied to rank `to`, where it replaces `dropped`
// if that is set.
struct candidate_move {
    expert moved = 0;
    rank_number to = 0;
    std::optional<expert> dropped;
    bool leavesBusiest = false; // `moved` is removed from the busiest rank.
    bool isExchange = false; // `dropped` is copied to the busiest rank.
    double score = 0; // Largest load of the affected ranks after the move.
};

// The working state of the plan for one set.
class set_planner {
public:
    set_planner(const rank_experts& experts, const std::vector<double>& load, const std::vector<double>& paces,
        const map_planner::options& options, std::vector<std::uint32_t> remainingCopies = {})
        : m_options(options)
        , m_remainingCopies(std::move(remainingCopies))
        , m_load(load)
        , m_paces(paces)
        , m_original(experts)
        , m_experts(experts)
        , m_holders(load.size())
        , m_newExperts(experts.size())
        , m_loads(experts.size())
    {
        for (rank_number rank = 0; rank < m_experts.size(); ++rank) {
            for (const auto held : m_experts[rank])
                m_holders[held].push_back(rank);
        }
        for (rank_number rank = 0; rank < m_experts.size(); ++rank)
            m_loads[rank] = loadOf(rank);
    }

    const rank_experts& experts() const { return m_experts; }

    double skew() const
    {
        const double sum = std::accumulate(m_loads.begin(), m_loads.end(), 0.0);
        return sum > 0 ? *std::max_element(m_loads.begin(), m_loads.end()) * static_cast<double>(m_loads.size()) / sum
                       : 1;
    }

    // Applies the best move for the busiest rank. Returns the number of copied experts, at least 1; 0 if no move lowers
    // the load.
    std::uint32_t applyBestMove()
    {
        const auto busiest
            = static_cast<rank_number>(std::max_element(m_loads.begin(), m_loads.end()) - m_loads.begin());
        std::optional<candidate_move> best;
        const auto targets = leastLoadedRanks(busiest);
        for (const auto moved : m_experts[busiest]) {
            for (const auto other : targets)
                considerMovesTo(busiest, moved, other, best);
        }
        if (!best || best->score >= m_loads[busiest] * (1 - minGain))
            return 0;
        return apply(busiest, *best);
    }

private:
    // Minimum share by which a move must lower the busiest rank's load, so that rounding errors cannot cause
    // endless moves.
    static constexpr double minGain = 1e-6;

    double loadPerHolder(expert which) const { return m_load[which] / static_cast<double>(m_holders[which].size()); }

    double loadOf(rank_number rank) const
    {
        double sum = 0;
        for (const auto held : m_experts[rank])
            sum += loadPerHolder(held);
        return sum * m_paces[rank];
    }

    bool holds(rank_number rank, expert which) const
    {
        return std::find(m_experts[rank].begin(), m_experts[rank].end(), which) != m_experts[rank].end();
    }

    bool heldOriginally(rank_number rank, expert which) const
    {
        return std::find(m_original[rank].begin(), m_original[rank].end(), which) != m_original[rank].end();
    }

    bool canTake(rank_number rank, expert which) const
    {
        if (holds(rank, which))
            return false;
        const auto most = m_remainingCopies.empty() ? m_options.maxNewExpertsPerSet
                                                    : std::min(m_options.maxNewExpertsPerSet, m_remainingCopies[rank]);
        return heldOriginally(rank, which) || m_newExperts[rank] < most;
    }

    std::vector<rank_number> leastLoadedRanks(rank_number except) const
    {
        std::vector<rank_number> order(m_loads.size());
        std::iota(order.begin(), order.end(), 0U);
        const auto kept = std::min<std::size_t>(m_options.candidateRanks + 1, order.size());
        std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(kept), order.end(),
            [this](rank_number left, rank_number right) { return m_loads[left] < m_loads[right]; });
        order.resize(kept);
        std::erase(order, except);
        return order;
    }

    void considerMovesTo(
        rank_number busiest, expert moved, rank_number other, std::optional<candidate_move>& best) const
    {
        if (!canTake(other, moved))
            return;
        if (m_experts[other].size() < m_options.placesPerRank) {
            consider(busiest, { moved, other, std::nullopt, false, false, 0 }, best);
            consider(busiest, { moved, other, std::nullopt, true, false, 0 }, best);
        }
        for (const auto dropped : m_experts[other]) {
            if (m_holders[dropped].size() > 1) {
                consider(busiest, { moved, other, dropped, false, false, 0 }, best);
                consider(busiest, { moved, other, dropped, true, false, 0 }, best);
            }
            if (canTake(busiest, dropped))
                consider(busiest, { moved, other, dropped, true, true, 0 }, best);
        }
    }

    void consider(rank_number busiest, candidate_move move, std::optional<candidate_move>& best) const
    {
        const double before = static_cast<double>(m_holders[move.moved].size());
        const double after = move.leavesBusiest ? before : before + 1;
        const double movedShare = m_load[move.moved] / after;
        double busiestLoad
            = m_loads[busiest] / m_paces[busiest] - loadPerHolder(move.moved) + (move.leavesBusiest ? 0 : movedShare);
        double targetLoad = m_loads[move.to] / m_paces[move.to] + movedShare;
        double otherLoads = 0;
        if (move.dropped) {
            targetLoad -= loadPerHolder(*move.dropped);
            if (move.isExchange) {
                busiestLoad += loadPerHolder(*move.dropped);
            } else {
                const double remaining = static_cast<double>(m_holders[*move.dropped].size()) - 1;
                const double rise = m_load[*move.dropped] / remaining - loadPerHolder(*move.dropped);
                // The remaining holders of the dropped expert take over its share.
                for (const auto holder : m_holders[*move.dropped]) {
                    if (holder == busiest)
                        busiestLoad += rise;
                    else if (holder != move.to)
                        otherLoads = std::max(otherLoads, m_loads[holder] + rise * m_paces[holder]);
                }
            }
        }
        move.score = std::max({ busiestLoad * m_paces[busiest], targetLoad * m_paces[move.to], otherLoads });
        if (!best || move.score < best->score)
            best = move;
    }

    void add(rank_number rank, expert which)
    {
        m_experts[rank].push_back(which);
        m_holders[which].push_back(rank);
        if (!heldOriginally(rank, which))
            ++m_newExperts[rank];
    }

    void remove(rank_number rank, expert which)
    {
        std::erase(m_experts[rank], which);
        std::erase(m_holders[which], rank);
        if (!heldOriginally(rank, which))
            --m_newExperts[rank];
    }

    std::uint32_t apply(rank_number busiest, const candidate_move& move)
    {
        std::vector<rank_number> affected { busiest, move.to };
        for (const auto which : { move.moved, move.dropped.value_or(move.moved) })
            affected.insert(affected.end(), m_holders[which].begin(), m_holders[which].end());
        std::uint32_t copied = heldOriginally(move.to, move.moved) ? 0 : 1;
        if (move.dropped)
            remove(move.to, *move.dropped);
        add(move.to, move.moved);
        if (move.leavesBusiest)
            remove(busiest, move.moved);
        if (move.isExchange) {
            copied += heldOriginally(busiest, *move.dropped) ? 0 : 1;
            add(busiest, *move.dropped);
        }
        for (const auto rank : affected)
            m_loads[rank] = loadOf(rank);
        return std::max(copied, 1U);
    }

    const map_planner::options& m_options;
    const std::vector<std::uint32_t> m_remainingCopies; // By rank, over all sets; empty if unlimited.
    const std::vector<double>& m_load;
    const std::vector<double>& m_paces;
    const rank_experts& m_original;
    rank_experts m_experts; // By rank.
    std::vector<std::vector<rank_number>> m_holders; // By expert.
    std::vector<std::uint32_t> m_newExperts; // By rank: number of experts that the rank did not hold before.
    std::vector<double> m_loads; // By rank.
};

// Number of consecutive moves without a gain that are tried before the plan of a set ends. Several ranks may be equally
// busy, so a single move often gains nothing by itself.
constexpr std::uint32_t maxMovesWithoutGain = 8;

// Returns how many experts of `after` one rank has to copy.
std::uint32_t countNewExperts(const std::vector<expert>& before, const std::vector<expert>& after)
{
    return static_cast<std::uint32_t>(std::count_if(after.begin(), after.end(),
        [&](expert held) { return std::find(before.begin(), before.end(), held) == before.end(); }));
}

// Returns how many experts all ranks have to copy.
std::uint32_t countCopies(const rank_experts& before, const rank_experts& after)
{
    std::uint32_t count = 0;
    for (std::size_t rank = 0; rank < after.size(); ++rank)
        count += countNewExperts(before[rank], after[rank]);
    return count;
}

// Returns the sets in order of decreasing skew, so that the limited copies go to the sets that lose most.
std::vector<std::size_t> setsByDescendingSkew(
    const group_map& current, const group_demand& demand, const std::vector<double>& paces)
{
    const map_planner::options defaults;
    std::vector<double> skews;
    for (std::size_t set = 0; set < current.size(); ++set)
        skews.push_back(set_planner(current[set], demand[set], paces, defaults).skew());
    std::vector<std::size_t> order(current.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    std::stable_sort(
        order.begin(), order.end(), [&](std::size_t left, std::size_t right) { return skews[left] > skews[right]; });
    return order;
}

} // namespace

map_plan map_planner::plan(
    const group_map& current, const group_demand& demand, const std::vector<double>& paces, double gainPerMove) const
{
    map_plan plan { .next = current, .moves = 0, .skewBefore = 0, .skewAfter = 0 };
    std::vector<std::uint32_t> remainingCopies(paces.size(), m_options.maxCopiesPerRank);
    for (const auto set : setsByDescendingSkew(current, demand, paces)) {
        set_planner working(current[set], demand[set], paces, m_options, remainingCopies);
        const double before = working.skew();
        double bestValue = 0;
        double after = before;
        std::uint32_t movesWithoutGain = 0;
        while (movesWithoutGain < maxMovesWithoutGain && working.applyBestMove() > 0) {
            const double skew = working.skew();
            const auto copied = countCopies(current[set], working.experts());
            const double value = before - skew - gainPerMove * copied;
            if (value > bestValue) {
                bestValue = value;
                after = skew;
                plan.next[set] = working.experts();
                movesWithoutGain = 0;
            } else {
                ++movesWithoutGain;
            }
        }
        plan.moves += countCopies(current[set], plan.next[set]);
        for (std::size_t rank = 0; rank < remainingCopies.size(); ++rank)
            remainingCopies[rank] -= countNewExperts(current[set][rank], plan.next[set][rank]);
        plan.skewBefore += before / static_cast<double>(current.size());
        plan.skewAfter += after / static_cast<double>(current.size());
    }
    return plan;
}

double map_planner::skewOf(const group_map& map, const group_demand& demand, const std::vector<double>& paces)
{
    double sum = 0;
    const options defaults;
    for (std::size_t set = 0; set < map.size(); ++set)
        sum += set_planner(map[set], demand[set], paces, defaults).skew();
    return map.empty() ? 1 : sum / static_cast<double>(map.size());
}

} // namespace coltsfootbend
