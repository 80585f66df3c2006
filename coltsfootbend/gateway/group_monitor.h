#pragma once

// Tracks one group of engines that run passes in lock-step: whether it makes passes, how long they take, and when it is
// expected to accept requests. An unreachable rank stops all ranks, so the condition of the group counts and not that
// of the server that a request was sent to. Deterministic. Does not track the load of single servers: see
// `gateway/backend_picker.h`.
//
//     group_monitor monitor;
//     monitor.receiveReport(address, report, now);
//     if (monitor.condition(now) != group_condition::Open)
//         refuseUntil(monitor.forecast(now).openAt);

#include "coltsfootbend/gateway/engine_report.h"
#include "coltsfootbend/gateway/stretch_estimator.h"
#include "coltsfootbend/net/byte_stream.h"

#include <map>
#include <optional>

namespace coltsfootbend {

// Whether a group accepts requests.
enum class group_condition {
    Open, // Accepts requests, or no recent report says otherwise.
    Stalled, // Has work and makes no passes: held briefly, or about to be reported as broken.
    Broken, // A rank is unreachable, so no rank can run a request.
};

const char* toString(group_condition);

// When a group is expected to accept requests.
struct group_forecast {
    // Expected time of opening; now if the group is open.
    time_point openAt {};
    // Time by which the group has opened even if the outage is as long as the longest recent one. Refused callers get
    // this time: a caller retries once, so one that returns too early is lost, while one that returns later than
    // necessary is still served.
    time_point openBy {};
    // All ranks report again, so only the formation of the group remains.
    bool isForming = false;
};

// The condition, pass length and outages of one group, from the reports of its ranks.
class group_monitor {
public:
    struct options {
        // A group that has work and begins no pass for this long is stalled. A change of expert maps holds a group for
        // a shorter time.
        duration stallTimeout = std::chrono::milliseconds(300);
        // Lower bound of the stall timeout in passes, for groups whose passes are long.
        double stallTimeoutPasses = 4;
        // Reports older than this do not count as the current state of a rank.
        duration maxReportAge = std::chrono::milliseconds(350);
        // A report that the group is broken holds until a newer one, but at most for this long: if all agents stop
        // reporting, that does not show that the engines are still broken.
        duration maxBrokenAge = std::chrono::milliseconds(2500);
        // Expected length of the first outage; later estimates use observed outages. About the time to restart an
        // engine or to repair a link.
        duration initialOutage = std::chrono::seconds(6);
        // Time in which a group forms once all ranks report, as configured by the operator.
        duration formTime {};
    };

    group_monitor()
        : group_monitor(options {})
    {
    }
    explicit group_monitor(const options& options)
        : m_options(options)
        , m_meanOutage(options.initialOutage)
        , m_maxRecentOutage(options.initialOutage)
    {
    }

    // Applies the operator's figures of the engines.
    void setEngine(const engine_model& engine)
    {
        m_options.formTime = engine.formTime;
        m_stretch.setEngine(engine);
    }

    // Processes a report of the engine at `address`. Ignores a report of an earlier epoch.
    void receiveReport(const endpoint& address, const engine_report&, time_point now);
    // Processes the proof that a rank is unreachable, which the answer of another server of the group contains.
    void receiveFailureProof(time_point now);

    // Returns the current condition. O(ranks).
    group_condition condition(time_point now) const;
    // Returns when the group is expected to accept requests. O(ranks).
    group_forecast forecast(time_point now) const;
    // Returns true if the group is stalled without work, so that only a probing request can show whether it makes
    // passes again: the requests that waited have left, and an idle group makes no passes.
    bool mayProbe(time_point now) const;
    // Records that this gateway sends a probing request. It sends no other one before `nextAt`.
    void onProbeSent(time_point nextAt) { m_nextProbeAt = nextAt; }

    // Returns when the last observed pass began.
    time_point lastPassAt() const { return m_stepAt; }
    // Returns when the group opened after its last outage; the epoch of the clock if there was none.
    time_point openSince() const { return m_openSince; }
    // Returns the moving average of the length of a pass; 0 until known.
    double passMs() const { return m_passMs; }
    // Returns how much longer the work of running requests takes than the engine model states; 0 if unknown.
    double stretch() const { return m_stretch.stretch(); }

private:
    struct rank_state {
        time_point receivedAt {};
        std::uint32_t running = 0;
    };

    void enterEpoch(const engine_report&, time_point now);
    void updateStep(std::uint64_t step, time_point now);
    void updateStalled(time_point now);
    void onBroken(time_point now);
    void onOpen(time_point now);
    bool isKnownBroken(time_point now) const;
    bool isStalled(time_point now) const;
    bool isAnyRankReporting(time_point now) const;
    bool hasWork(time_point now) const;
    bool areAllRanksReporting(time_point now) const;
    // Returns the mean number of running requests of the ranks that report.
    double meanRunning(time_point now) const;

    options m_options;
    std::map<endpoint, rank_state> m_ranks;
    std::uint32_t m_size = 0; // Number of ranks that the reports state.
    backend_incarnation m_newestIncarnation; // Newest one of any rank.
    std::uint64_t m_epoch = 0;
    std::uint64_t m_step = 0; // Last pass that was begun.
    time_point m_stepAt {};
    // Pass at which the current measurement of the pass length began, and when.
    std::uint64_t m_measuredStep = 0;
    time_point m_measuredAt {};
    double m_measuredRunning = 0; // Mean number of running requests when that measurement began.
    double m_passMs = 0;
    stretch_estimator m_stretch;
    bool m_hasBeenOpen = false;
    bool m_isStalled = false;
    time_point m_nextProbeAt {};
    bool m_isBroken = false;
    std::uint64_t m_brokenEpoch = 0;
    time_point m_brokenReportedAt {};
    time_point m_openSince {};
    time_point m_outageStartedAt {}; // Begin of the last pass before the outage.
    std::optional<time_point> m_allReportingSince; // Set only during an outage.
    duration m_meanOutage;
    duration m_maxRecentOutage; // Rises to a longer outage at once and falls slowly with shorter ones.
};

} // namespace coltsfootbend
