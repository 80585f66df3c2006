#include "coltsfootbend/measure/group_trial.h"

#include "coltsfootbend/group/map_coordinator.h"
#include "coltsfootbend/group/rank_agent.h"
#include "coltsfootbend/measure/virtual_time.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>

namespace coltsfootbend {

using namespace std::chrono_literals;

const char* toString(group_fault fault)
{
    constexpr const char* names[] = { "message_lost", "message_late", "message_doubled", "rank_stalls", "rank_restarts",
        "rank_replaced", "two_coordinators", "coordinator_paused", "change_abandoned" };
    return names[static_cast<std::size_t>(fault)];
}

void group_trial_report::add(const group_trial_report& other)
{
    steps += other.steps;
    mixedMaps += other.mixedMaps;
    changes += other.changes;
    stalled += other.stalled;
    total += other.total;
}

namespace {

constexpr auto stepTime = 6ms;
constexpr step_number grantAhead = 8;
constexpr auto mapLoadTime = 300ms;
constexpr auto faultInterval = 3s;
constexpr auto maxTrialDuration = 1h;

struct trial_rank {
    std::unique_ptr<rank_agent> agent;
    std::map<step_number, map_version> granted; // Steps that the engine may run and has not run yet, with their maps.
    step_number nextGrant = 1;
    time_point stalledUntil {};
    std::optional<map_version> loading;
};

struct trial_coordinator {
    std::uint64_t number = 0;
    time_point pausedUntil {};
    std::unique_ptr<map_coordinator> change;
};

class group_trial {
public:
    explicit group_trial(const group_trial_options& options)
        : m_options(options)
        , m_random(options.seed)
        , m_ranks(options.ranks)
    {
    }

    group_trial_report run()
    {
        for (rank_number rank = 0; rank < m_options.ranks; ++rank)
            startIncarnation(rank);
        startChange();
        scheduleChanges();
        scheduleFaults();
        const auto startedAt = m_time.now();
        m_firstStepAt = startedAt;
        pump();
        while (m_step < m_options.steps && m_time.now() < startedAt + maxTrialDuration)
            m_time.runUntil(m_time.now() + 1s);
        m_report.steps = m_step;
        m_report.total = m_lastStepAt - m_firstStepAt;
        m_report.stalled = m_report.total - stepTime * static_cast<std::int64_t>(m_step - 1);
        return m_report;
    }

private:
    bool hasFault(group_fault fault) const
    {
        return std::find(m_options.faults.begin(), m_options.faults.end(), fault) != m_options.faults.end();
    }
    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }
    duration between(int least, int most)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(least, most)(m_random));
    }

    // Ranks and their engines.
    void startIncarnation(rank_number rank)
    {
        auto& state = m_ranks[rank];
        state.agent = std::make_unique<rank_agent>(rank_agent::options {
            .rank = rank, .ownIncarnation = incarnation(++m_lastIncarnation), .lastEngineStep = m_step });
        state.granted.clear(); // The engine stops after its current step.
        state.nextGrant = m_step + 1;
        state.loading.reset();
    }

    void grantMore(rank_number rank)
    {
        auto& state = m_ranks[rank];
        while (m_time.now() >= state.stalledUntil && state.nextGrant <= m_step + grantAhead) {
            const auto map = state.agent->grant(state.nextGrant);
            if (!map)
                break;
            state.granted[state.nextGrant++] = *map;
        }
    }

    // Runs the next step once every rank has granted it, as lock-step requires.
    void pump()
    {
        for (rank_number rank = 0; rank < m_options.ranks; ++rank)
            grantMore(rank);
        const bool all = !m_inStep && std::all_of(m_ranks.begin(), m_ranks.end(), [&](const trial_rank& state) {
            return state.granted.contains(m_step + 1);
        });
        if (!all)
            return;
        m_inStep = true;
        ++m_step;
        std::optional<map_version> first;
        bool isMixed = false;
        for (auto& state : m_ranks) {
            const auto map = state.granted.at(m_step);
            state.granted.erase(m_step);
            isMixed = isMixed || (first && *first != map);
            first = first.value_or(map);
        }
        m_report.mixedMaps += isMixed ? 1 : 0;
        m_report.changes += first == m_lastMap ? 0 : 1;
        m_lastMap = first;
        if (m_step == 1)
            m_firstStepAt = m_time.now();
        m_time.after(stepTime, [this] {
            m_inStep = false;
            m_lastStepAt = m_time.now();
            pump();
        });
    }

    void loadRequestedMap(rank_number rank)
    {
        auto& state = m_ranks[rank];
        const auto wanted = state.agent->mapToLoad();
        if (!wanted || state.loading == wanted)
            return;
        state.loading = wanted;
        m_time.after(mapLoadTime + between(0, 50), [this, rank, map = *wanted, agent = state.agent.get()] {
            auto& now = m_ranks[rank];
            if (now.agent.get() != agent)
                return;
            now.loading.reset();
            answer(rank, now.agent->onMapLoaded(map));
            loadRequestedMap(rank);
            pump();
        });
    }

    // Messages. Each may be lost, delayed or duplicated, and may so overtake others.
    void sendMessage(const std::function<void()>& deliver)
    {
        if (hasFault(group_fault::MessageLost) && chance(0.1))
            return;
        const int copies = hasFault(group_fault::MessageDoubled) && chance(0.2) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const bool late = hasFault(group_fault::MessageLate) && chance(0.1);
            m_time.after(late ? between(10, 5000) : between(1, 2), deliver);
        }
    }

    void send(const std::vector<coordinator_order>& orders)
    {
        for (const auto& order : orders) {
            sendMessage([this, order, groupIncarnation = m_groupIncarnation] {
                if (groupIncarnation != m_groupIncarnation)
                    return;
                answer(order.rank, m_ranks[order.rank].agent->handle(order.message));
                loadRequestedMap(order.rank);
                pump();
            });
        }
    }

    void answer(rank_number rank, const std::optional<rank_message>& message)
    {
        if (!message)
            return;
        sendMessage([this, rank, message = *message, groupIncarnation = m_groupIncarnation] {
            if (groupIncarnation != m_groupIncarnation)
                return;
            // Every coordinator receives the message and ignores it if its epoch is another one's.
            for (const auto& coordinator : m_coordinators) {
                if (m_time.now() < coordinator.pausedUntil)
                    continue;
                m_epoch = std::max(m_epoch, coordinator.change->highestEpochSeen().number);
                send(coordinator.change->handle(m_time.now(), rank, message));
            }
        });
    }

    // Coordinators.
    void startChange()
    {
        if (m_options.withoutPromises) {
            switchWithoutPromises();
            return;
        }
        const auto limit = hasFault(group_fault::ChangeAbandoned) && chance(0.5) ? between(50, 700) : duration(30s);
        const auto number = ++m_coordinatorNumber;
        const map_coordinator::options change { .epoch = { ++m_epoch, number },
            .map = map_version(++m_map),
            .ranks = m_options.ranks,
            .decisionDeadline = m_time.now() + limit };
        m_coordinators.push_back({ number, {}, std::make_unique<map_coordinator>(change) });
        tick(number);
    }

    void tick(std::uint64_t number)
    {
        for (std::size_t i = 0; i < m_coordinators.size(); ++i) {
            if (m_coordinators[i].number != number)
                continue;
            if (m_time.now() >= m_coordinators[i].pausedUntil)
                send(m_coordinators[i].change->tick(m_time.now()));
            m_time.after(25ms, [this, number] { tick(number); });
            return;
        }
    }

    // Baseline: orders every rank to switch at a step in the near future.
    void switchWithoutPromises()
    {
        const map_version map(++m_map);
        const bool isFirst = m_step == 0; // Always delivered, because no step runs before the first map.
        const auto at = isFirst ? 1 : m_step + 64;
        for (rank_number rank = 0; rank < m_options.ranks; ++rank) {
            const auto applySwitch = [this, rank, map, at] {
                auto& agent = *m_ranks[rank].agent;
                (void)agent.onMapLoaded(map);
                auto schedule = agent.schedule();
                schedule.segments.push_back({ at, map });
                const map_epoch epoch { ++m_epoch, 1 };
                (void)agent.handle(propose_switch { epoch, map });
                std::vector<incarnation> lives;
                for (rank_number each = 0; each < m_options.ranks; ++each)
                    lives.push_back(
                        std::get<switch_promised>(*agent.handle(propose_switch { epoch, map })).rankIncarnation);
                (void)agent.handle(decide_switch { epoch, schedule, lives });
                pump();
            };
            if (isFirst)
                m_time.after(1ms, applySwitch);
            else
                sendMessage(applySwitch);
        }
    }

    void scheduleChanges()
    {
        m_time.after(m_options.changeInterval, [this] {
            // Removes the earlier coordinators, or lets up to three of them run beside the new one.
            const bool keepOld = hasFault(group_fault::TwoCoordinators) || hasFault(group_fault::CoordinatorPaused);
            if (!keepOld || m_coordinators.size() > 3) {
                m_coordinators.clear();
            }
            startChange();
            if (hasFault(group_fault::TwoCoordinators))
                m_time.after(between(0, 400), [this] { startChange(); });
            if (hasFault(group_fault::CoordinatorPaused)) {
                const auto pausedFrom = m_time.now() + between(0, 500);
                m_time.at(pausedFrom, [this] {
                    if (!m_coordinators.empty())
                        m_coordinators.back().pausedUntil = m_time.now() + between(100, 6000);
                });
            }
            scheduleChanges();
        });
    }

    void scheduleFaults()
    {
        m_time.after(faultInterval + between(0, 500), [this] {
            const auto rank = static_cast<rank_number>(m_random() % m_options.ranks);
            if (hasFault(group_fault::RankStalls))
                stall(rank);
            if (hasFault(group_fault::RankRestarts)) {
                startIncarnation(rank);
                startChange(); // The other ranks need a decision that includes the new incarnation.
            }
            if (hasFault(group_fault::RankReplaced) && chance(0.3)) {
                ++m_groupIncarnation;
                m_coordinators.clear();
                for (rank_number each = 0; each < m_options.ranks; ++each)
                    startIncarnation(each);
                startChange();
            }
            scheduleFaults();
        });
    }

    void stall(rank_number rank)
    {
        m_ranks[rank].stalledUntil = m_time.now() + between(10, 800);
        m_time.at(m_ranks[rank].stalledUntil, [this] { pump(); });
    }

    const group_trial_options m_options;
    std::mt19937_64 m_random;
    virtual_time m_time;
    std::vector<trial_rank> m_ranks;
    std::vector<trial_coordinator> m_coordinators;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_coordinatorNumber = 0;
    std::uint64_t m_map = 0;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_groupIncarnation = 1;
    step_number m_step = 0;
    bool m_inStep = false;
    std::optional<map_version> m_lastMap;
    time_point m_firstStepAt {};
    time_point m_lastStepAt {};
    group_trial_report m_report;
};

} // namespace

group_trial_report runGroupTrial(const group_trial_options& options) { return group_trial(options).run(); }

} // namespace coltsfootbend
