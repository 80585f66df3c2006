#include "coltsfootbend/group/map_planner.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <utility>

namespace coltsfootbend {

namespace {

using expert = std::uint32_t;

// A possible move that lowers the load of the busiest rank: `taken` is copied to rank `to`, where it replaces `dropped`
// if that is set.
struct candidate_move {
    expert taken = 0;
    rank_number to = 0;
    std::optional<expert> dropped;
    bool leaves = false; // `taken` is removed from the busiest rank.
    bool exchanges = false; // `dropped` is copied to the busiest rank.
    double score = 0; // Largest load of the affected ranks after the move.
};

// The working state of the plan for one set.
class set_plan {
public:
    set_plan(const rank_experts& experts, const std::vector<double>& load, const std::vector<double>& paces,
        const map_planner::options& options, std::vector<std::uint32_t> copiesLeft = {})
        : m_options(options)
        , m_copiesLeft(std::move(copiesLeft))
        , m_load(load)
        , m_paces(paces)
        , m_original(experts)
        , m_experts(experts)
        , m_holders(load.size())
        , m_new(experts.size())
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
    std::uint32_t relieve()
    {
        const auto busiest
            = static_cast<rank_number>(std::max_element(m_loads.begin(), m_loads.end()) - m_loads.begin());
        std::optional<candidate_move> best;
        const auto others = leastBusy(busiest);
        for (const auto taken : m_experts[busiest]) {
            for (const auto other : others)
                considerAll(busiest, taken, other, best);
        }
        if (!best || best->score >= m_loads[busiest] * (1 - leastGain))
            return 0;
        return apply(busiest, *best);
    }

private:
    // Minimum share by which a move must lower the busiest rank's load, so that rounding errors cannot cause endless
    // moves.
    static constexpr double leastGain = 1e-6;

    double share(expert which) const { return m_load[which] / static_cast<double>(m_holders[which].size()); }

    double loadOf(rank_number rank) const
    {
        double sum = 0;
        for (const auto held : m_experts[rank])
            sum += share(held);
        return sum * m_paces[rank];
    }

    bool holds(rank_number rank, expert which) const
    {
        return std::find(m_experts[rank].begin(), m_experts[rank].end(), which) != m_experts[rank].end();
    }

    bool wasThere(rank_number rank, expert which) const
    {
        return std::find(m_original[rank].begin(), m_original[rank].end(), which) != m_original[rank].end();
    }

    bool mayTake(rank_number rank, expert which) const
    {
        if (holds(rank, which))
            return false;
        const auto most
            = m_copiesLeft.empty() ? m_options.newPerChange : std::min(m_options.newPerChange, m_copiesLeft[rank]);
        return wasThere(rank, which) || m_new[rank] < most;
    }

    std::vector<rank_number> leastBusy(rank_number except) const
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

    void considerAll(rank_number busiest, expert taken, rank_number other, std::optional<candidate_move>& best) const
    {
        if (!mayTake(other, taken))
            return;
        if (m_experts[other].size() < m_options.placesPerRank) {
            consider(busiest, { taken, other, std::nullopt, false, false, 0 }, best);
            consider(busiest, { taken, other, std::nullopt, true, false, 0 }, best);
        }
        for (const auto dropped : m_experts[other]) {
            if (m_holders[dropped].size() > 1) {
                consider(busiest, { taken, other, dropped, false, false, 0 }, best);
                consider(busiest, { taken, other, dropped, true, false, 0 }, best);
            }
            if (mayTake(busiest, dropped))
                consider(busiest, { taken, other, dropped, true, true, 0 }, best);
        }
    }

    void consider(rank_number busiest, candidate_move move, std::optional<candidate_move>& best) const
    {
        const double before = static_cast<double>(m_holders[move.taken].size());
        const double after = move.leaves ? before : before + 1;
        const double takenShare = m_load[move.taken] / after;
        double mine = m_loads[busiest] / m_paces[busiest] - share(move.taken) + (move.leaves ? 0 : takenShare);
        double theirs = m_loads[move.to] / m_paces[move.to] + takenShare;
        double others = 0;
        if (move.dropped) {
            theirs -= share(*move.dropped);
            if (move.exchanges) {
                mine += share(*move.dropped);
            } else {
                const double left = static_cast<double>(m_holders[*move.dropped].size()) - 1;
                const double rise = m_load[*move.dropped] / left - share(*move.dropped);
                // The remaining holders of the dropped expert take over its share.
                for (const auto holder : m_holders[*move.dropped]) {
                    if (holder == busiest)
                        mine += rise;
                    else if (holder != move.to)
                        others = std::max(others, m_loads[holder] + rise * m_paces[holder]);
                }
            }
        }
        move.score = std::max({ mine * m_paces[busiest], theirs * m_paces[move.to], others });
        if (!best || move.score < best->score)
            best = move;
    }

    void add(rank_number rank, expert which)
    {
        m_experts[rank].push_back(which);
        m_holders[which].push_back(rank);
        if (!wasThere(rank, which))
            ++m_new[rank];
    }

    void remove(rank_number rank, expert which)
    {
        std::erase(m_experts[rank], which);
        std::erase(m_holders[which], rank);
        if (!wasThere(rank, which))
            --m_new[rank];
    }

    std::uint32_t apply(rank_number busiest, const candidate_move& move)
    {
        std::vector<rank_number> concerned { busiest, move.to };
        for (const auto which : { move.taken, move.dropped.value_or(move.taken) })
            concerned.insert(concerned.end(), m_holders[which].begin(), m_holders[which].end());
        std::uint32_t copied = wasThere(move.to, move.taken) ? 0 : 1;
        if (move.dropped)
            remove(move.to, *move.dropped);
        add(move.to, move.taken);
        if (move.leaves)
            remove(busiest, move.taken);
        if (move.exchanges) {
            copied += wasThere(busiest, *move.dropped) ? 0 : 1;
            add(busiest, *move.dropped);
        }
        for (const auto rank : concerned)
            m_loads[rank] = loadOf(rank);
        return std::max(copied, 1U);
    }

    const map_planner::options& m_options;
    const std::vector<std::uint32_t> m_copiesLeft; // By rank, over all sets; empty if unlimited.
    const std::vector<double>& m_load;
    const std::vector<double>& m_paces;
    const rank_experts& m_original;
    rank_experts m_experts; // By rank.
    std::vector<std::vector<rank_number>> m_holders; // By expert.
    std::vector<std::uint32_t> m_new; // By rank: number of experts that the rank did not hold before.
    std::vector<double> m_loads; // By rank.
};

// Number of consecutive moves without a gain that are tried before the plan of a set ends. Several ranks may be equally
// busy, so a single move often gains nothing by itself.
constexpr std::uint32_t patience = 8;

// Returns how many experts of `after` one rank has to copy.
std::uint32_t newOn(const std::vector<expert>& before, const std::vector<expert>& after)
{
    return static_cast<std::uint32_t>(std::count_if(after.begin(), after.end(),
        [&](expert held) { return std::find(before.begin(), before.end(), held) == before.end(); }));
}

// Returns how many experts all ranks have to copy.
std::uint32_t copies(const rank_experts& before, const rank_experts& after)
{
    std::uint32_t count = 0;
    for (std::size_t rank = 0; rank < after.size(); ++rank)
        count += newOn(before[rank], after[rank]);
    return count;
}

// Returns the sets in order of decreasing skew, so that the limited copies go to the sets that lose most.
std::vector<std::size_t> worstFirst(
    const group_map& current, const group_demand& demand, const std::vector<double>& paces)
{
    const map_planner::options any;
    std::vector<double> skews;
    for (std::size_t set = 0; set < current.size(); ++set)
        skews.push_back(set_plan(current[set], demand[set], paces, any).skew());
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
    std::vector<std::uint32_t> copiesLeft(paces.size(), m_options.copiesPerRank);
    for (const auto set : worstFirst(current, demand, paces)) {
        set_plan working(current[set], demand[set], paces, m_options, copiesLeft);
        const double before = working.skew();
        double bestValue = 0;
        double after = before;
        std::uint32_t idle = 0;
        while (idle < patience && working.relieve() > 0) {
            const double skew = working.skew();
            const auto moved = copies(current[set], working.experts());
            const double value = before - skew - gainPerMove * moved;
            if (value > bestValue) {
                bestValue = value;
                after = skew;
                plan.next[set] = working.experts();
                idle = 0;
            } else {
                ++idle;
            }
        }
        plan.moves += copies(current[set], plan.next[set]);
        for (std::size_t rank = 0; rank < copiesLeft.size(); ++rank)
            copiesLeft[rank] -= newOn(current[set][rank], plan.next[set][rank]);
        plan.skewBefore += before / static_cast<double>(current.size());
        plan.skewAfter += after / static_cast<double>(current.size());
    }
    return plan;
}

double map_planner::skewOf(const group_map& map, const group_demand& demand, const std::vector<double>& paces)
{
    double sum = 0;
    const options any;
    for (std::size_t set = 0; set < map.size(); ++set)
        sum += set_plan(map[set], demand[set], paces, any).skew();
    return map.empty() ? 1 : sum / static_cast<double>(map.size());
}

} // namespace coltsfootbend
