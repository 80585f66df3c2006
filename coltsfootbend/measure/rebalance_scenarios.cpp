// Measures skew and rebalancing cost over two days of drifting popularity, for each user's weights and for baselines.

#include "coltsfootbend/group/rebalancer.h"
#include "coltsfootbend/measure/scenario.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numbers>
#include <numeric>
#include <random>

namespace coltsfootbend {

namespace {

constexpr rank_number ranks = 64;
constexpr expert_number experts = 256;
constexpr std::uint32_t slots = 6;
constexpr int minutesADay = 24 * 60;
constexpr int minutes = 2 * minutesADay;
constexpr int reportLag = 3; // Minutes until a load report is received.
constexpr int eventStart = minutesADay + 9 * 60;

// Simulates the popularity of each expert minute by minute: a daily cycle, a slow drift, and a sudden shift when an
// event starts.
class popularity_trace {
public:
    explicit popularity_trace(std::uint64_t seed)
        : m_random(seed)
    {
        std::normal_distribution<double> normal;
        for (expert_number i = 0; i < experts; ++i) {
            m_base.push_back(0.7 * normal(m_random));
            m_swing.push_back(0.4 * std::abs(normal(m_random)));
            m_phase.push_back(2 * std::numbers::pi * std::uniform_real_distribution<double>(0, 1)(m_random));
            m_drift.push_back(0);
            m_shift.push_back(std::uniform_real_distribution<double>(0, 1)(m_random) < 0.05 ? 1.0 : 0.0);
        }
    }

    expert_load at(int minute)
    {
        std::normal_distribution<double> normal;
        const double day = 2 * std::numbers::pi * minute / minutesADay;
        expert_load load(experts);
        for (expert_number i = 0; i < experts; ++i) {
            m_drift[i] = 0.999 * m_drift[i] + 0.01 * normal(m_random);
            const double shift = minute >= eventStart && minute < eventStart + 120 ? m_shift[i] : 0;
            load[i] = std::exp(m_base[i] + m_swing[i] * std::sin(day + m_phase[i]) + m_drift[i] + shift);
        }
        const double sum = std::accumulate(load.begin(), load.end(), 0.0);
        for (auto& share : load)
            share /= sum;
        return load;
    }

private:
    std::mt19937_64 m_random;
    std::vector<double> m_base;
    std::vector<double> m_swing;
    std::vector<double> m_phase;
    std::vector<double> m_drift;
    std::vector<double> m_shift;
};

// Assigns each group of experts to the rank that already holds most of them, so that unchanged groups do not move.
std::vector<std::vector<expert_number>> matchedTo(
    const placement& current, const std::vector<std::vector<expert_number>>& groups)
{
    std::vector<std::vector<expert_number>> matched(ranks);
    for (const auto& group : groups) {
        rank_number best = ranks;
        std::ptrdiff_t bestOverlap = -1;
        for (rank_number rank = 0; rank < ranks; ++rank) {
            const auto overlap = std::count_if(
                group.begin(), group.end(), [&](expert_number expert) { return current.holds(rank, expert); });
            if (matched[rank].empty() && overlap > bestOverlap) {
                best = rank;
                bestOverlap = overlap;
            }
        }
        matched[best] = group;
    }
    return matched;
}

// Returns a greedy placement made from scratch: gives the most popular experts the most replicas, and places the
// largest pieces first.
placement greedyOptimum(const expert_load& load, const placement& current)
{
    std::vector<std::uint32_t> counts(experts, 1);
    for (std::size_t extra = experts; extra < static_cast<std::size_t>(ranks) * slots; ++extra) {
        expert_number hottest = 0;
        for (expert_number i = 1; i < experts; ++i) {
            if (counts[i] < ranks && load[i] / counts[i] > load[hottest] / counts[hottest])
                hottest = i;
        }
        ++counts[hottest];
    }
    std::vector<expert_number> pieces;
    for (expert_number i = 0; i < experts; ++i)
        pieces.insert(pieces.end(), counts[i], i);
    std::stable_sort(pieces.begin(), pieces.end(), [&](expert_number left, expert_number right) {
        return load[left] / counts[left] > load[right] / counts[right];
    });
    std::vector<std::vector<expert_number>> held(ranks);
    std::vector<double> loads(ranks);
    for (const auto piece : pieces) {
        rank_number best = ranks;
        for (rank_number rank = 0; rank < ranks; ++rank) {
            if (held[rank].size() < slots && (best == ranks || loads[rank] < loads[best]))
                best = rank;
        }
        held[best].push_back(piece);
        loads[best] += load[piece] / counts[piece];
    }
    held = matchedTo(current, held);
    auto made = placement::initial(ranks, experts, slots);
    // Replaces in two rounds, so that every expert keeps a slot meanwhile.
    for (int round = 0; round < 2; ++round) {
        for (rank_number rank = 0; rank < ranks; ++rank) {
            for (std::uint32_t slot = 0; slot < slots; ++slot)
                made.replace(rank, slot, held[rank][slot]);
        }
    }
    return made;
}

struct policy {
    rebalancer::options weights;
    // Protected hours, in minutes from the start of each day.
    int protectedFrom = 0;
    int protectedTo = 0;
};

struct outcome_figures {
    double skew = 0; // Mean over all minutes.
    double moves = 0;
    double movesInProtectedHours = 0;
    double planMs = 0; // Maximum, in milliseconds.
};

enum class placement_policy { Planned, Never, Greedy, PerfectForecast };

time_point timeOf(int minute) { return time_point {} + std::chrono::minutes(minute + 60); }

std::vector<protected_window> windowsOf(const policy& policy)
{
    std::vector<protected_window> windows;
    for (int day = 0; day < minutes && policy.protectedTo > 0; day += minutesADay)
        windows.push_back({ timeOf(day + policy.protectedFrom), timeOf(day + policy.protectedTo) });
    return windows;
}

outcome_figures runTrace(placement_policy how, const policy& policy, std::uint64_t seed)
{
    popularity_trace trace(seed);
    std::vector<expert_load> seen;
    const auto first = placement::initial(ranks, experts, slots);
    rebalancer shipped(first, policy.weights);
    shipped.setProtectedWindows(windowsOf(policy));
    auto current = first;
    outcome_figures figures;
    for (int minute = 0; minute < minutes; ++minute) {
        seen.push_back(trace.at(minute));
        const auto& known = seen[static_cast<std::size_t>(std::max(0, minute - reportLag))];
        // Simulates the loss of every fifth report.
        if (minute % 5 != 0)
            shipped.observe(known);
        auto next = current;
        if (how == placement_policy::Greedy) {
            next = greedyOptimum(known, current);
        } else if (how == placement_policy::PerfectForecast) {
            next = greedyOptimum(seen.back(), current);
        } else if (how == placement_policy::Planned) {
            const auto startedAt = std::chrono::steady_clock::now();
            if (const auto plan = shipped.planIfDue(timeOf(minute))) {
                shipped.onPlanApplied(*plan);
                next = plan->next;
            }
            const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - startedAt;
            figures.planMs = std::max(figures.planMs, took.count());
        }
        const auto moves = static_cast<double>(current.countMovesTo(next));
        // The initial placement does not count as a rebalance.
        if (minute > 0) {
            figures.moves += moves;
            figures.movesInProtectedHours += shipped.isProtected(timeOf(minute)) ? moves : 0;
        }
        current = next;
        figures.skew += current.skew(seen.back()) / minutes;
    }
    return figures;
}

void measureSkew(figure_writer& out, const std::string& user, const policy& policy)
{
    constexpr std::uint64_t seed = 11;
    const auto planned = runTrace(placement_policy::Planned, policy, seed);
    const auto never = runTrace(placement_policy::Never, policy, seed);
    const auto greedy = runTrace(placement_policy::Greedy, policy, seed);
    const auto perfect = runTrace(placement_policy::PerfectForecast, policy, seed);
    out.write("skew.max_over_mean", planned.skew, "ratio", greedy.skew, "greedy optimum each minute");
    out.write("skew.max_over_mean.never", never.skew, "ratio");
    out.write("skew.max_over_mean.perfect_forecast", perfect.skew, "ratio");
    out.write("skew.max_over_mean.bound", 1, "ratio");
    out.write("skew.over_greedy", planned.skew / greedy.skew, "ratio");
    out.write("skew.over_never", planned.skew / never.skew, "ratio");
    out.write("rebalance.bytes_over_greedy", planned.moves / greedy.moves, "ratio");
    out.write("rebalance.moves", planned.moves, "experts in two days", greedy.moves, "greedy optimum each minute");
    if (policy.protectedTo > 0)
        out.write("rebalance.moves_in_protected_hours", planned.movesInProtectedHours, "experts",
            greedy.movesInProtectedHours, "greedy optimum each minute");
    out.write("rebalance.plan_ms." + user, planned.planMs, "ms for one layer, the longest");
}

void measurePlan(figure_writer& out)
{
    constexpr int layers = 58;
    constexpr rank_number wideRanks = 256;
    popularity_trace trace(3);
    const auto load = trace.at(0);
    const auto current = placement::initial(wideRanks, experts, 2);
    const auto startedAt = std::chrono::steady_clock::now();
    std::size_t moves = 0;
    for (int layer = 0; layer < layers; ++layer)
        moves += planRebalance(current, load, { .gainPerMove = 0.0005, .maxMoves = 64 }).moves;
    const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - startedAt;
    out.write("rebalance.plan_ms", took.count(), "ms for 58 layers at 256 ranks x 256 experts, from scratch");
    out.write("rebalance.plan_moves", static_cast<double>(moves), "experts");
    constexpr double planEveryMs = 5 * 60 * 1000;
    out.write("rebalance.core_share", took.count() / planEveryMs, "of a core at a plan every five minutes");
}

} // namespace

std::vector<scenario> rebalanceScenarios()
{
    using std::chrono::minutes;
    const policy camara { .weights = { .gainPerMove = 0.0004, .interval = minutes(2) } };
    const policy panopano { .weights = { .gainPerMove = 0.002, .interval = minutes(5), .protectedSkewLimit = 2 },
        .protectedFrom = 8 * 60,
        .protectedTo = 12 * 60 };
    return { { "skew.camara", "skew and moves with the Cámara's weights",
                 [camara](figure_writer& out) { measureSkew(out, "camara", camara); } },
        { "skew.panopano", "skew and moves with Panopano's weights",
            [panopano](figure_writer& out) { measureSkew(out, "panopano", panopano); } },
        { "rebalance", "the time that a plan takes at the planned size", measurePlan } };
}

} // namespace coltsfootbend
