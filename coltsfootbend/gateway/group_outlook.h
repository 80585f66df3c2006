#pragma once

// What a gateway knows of one group of engines that advance in lock-step: whether it makes passes, how long they take,
// and when it is expected to take requests again. One rank that is gone stops all of them, so what counts is the group,
// not the server that a request was sent to. Deterministic. Not for the load of single servers: see
// `gateway/backend_picker.h`.
//
//     group_outlook outlook;
//     outlook.hear(address, report, now);
//     if (outlook.condition(now) != group_condition::Open)
//         refuseUntil(outlook.forecast(now).openAt);

#include "coltsfootbend/gateway/engine_report.h"
#include "coltsfootbend/net/byte_stream.h"

#include <map>
#include <optional>

namespace coltsfootbend {

enum class group_condition {
    Open,
    Standing, // It has work and makes no passes: held for a moment, or about to be found broken.
    Broken, // A rank is gone: nobody can run anything.
};

const char* toString(group_condition);

struct group_forecast {
    // When it is expected to take requests again; now when it does.
    time_point openAt {};
    // By when it has opened even after the longest outage of late. A caller comes back once, so this is what it is
    // told: one that comes too early is lost, one that comes later than need be is served.
    time_point openBy {};
    // All ranks are there, so that only the forming of the group is waited for.
    bool isForming = false;
};

class group_outlook {
public:
    struct options {
        // A group with work that begins no pass for this long stands; a change of maps holds it for less.
        duration standLimit = std::chrono::milliseconds(300);
        // The same in passes, for groups whose passes are long.
        double passesToStand = 4;
        // What ranks told is not older than this when it speaks of the present.
        duration heardLimit = std::chrono::milliseconds(350);
        // A report that a group is broken holds until a newer one, but no longer than this: silence of all agents says
        // nothing of the engines.
        duration brokenLimit = std::chrono::milliseconds(2500);
        // Of the first outage; later ones are expected to last as long as those before. About what it takes to start
        // an engine again, or to mend a link.
        duration firstOutage = std::chrono::seconds(6);
        // Once all ranks are there, the group forms in this time, as the operator states.
        duration formTime {};
    };

    group_outlook()
        : group_outlook(options {})
    {
    }
    explicit group_outlook(const options& options)
        : m_options(options)
        , m_usualOutage(options.firstOutage)
        , m_longestOutage(options.firstOutage)
    {
    }

    void setFormTime(duration formTime) { m_options.formTime = formTime; }

    // Takes what the engine at `address` told. What it told before the group was formed anew is dropped.
    void hear(const endpoint& address, const engine_report&, time_point now);
    // A server of the group proved with an answer that another rank is gone.
    void hearProof(time_point now);

    // O(ranks).
    group_condition condition(time_point now) const;
    // O(ranks).
    group_forecast forecast(time_point now) const;
    // True when the group stands with nothing left to run, so that only a request can show whether it moves again.
    // Those who waited have left, and an idle group makes no passes.
    bool mayProbe(time_point now) const;
    // A request is sent into the standing group; no other one is until `nextAt`.
    void noteProbe(time_point nextAt) { m_nextProbeAt = nextAt; }

    // When the last pass was seen to begin.
    time_point lastPassAt() const { return m_stepAt; }
    // When it was last seen to open after a break; long ago when it never broke.
    time_point openSince() const { return m_openSince; }
    // Measured; 0 until known.
    double passMs() const { return m_passMs; }

private:
    struct rank_news {
        time_point heardAt {};
        bool hasWork = false;
    };

    void enterEpoch(const engine_report&, time_point now);
    void noteStep(std::uint64_t step, time_point now);
    void noteStanding(time_point now);
    void noteBroken(time_point now);
    void noteOpen(time_point now);
    bool isKnownBroken(time_point now) const;
    bool isStanding(time_point now) const;
    bool isHeard(time_point now) const;
    bool hasWork(time_point now) const;
    bool areAllHeard(time_point now) const;

    options m_options;
    std::map<endpoint, rank_news> m_ranks;
    std::uint32_t m_size = 0; // Ranks of the group, as they tell.
    backend_life m_newestLife;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_step = 0;
    time_point m_stepAt {};
    // Where the time of passes is measured from.
    std::uint64_t m_measuredStep = 0;
    time_point m_measuredAt {};
    double m_passMs = 0;
    bool m_hasBeenOpen = false;
    bool m_isStanding = false;
    time_point m_nextProbeAt {};
    bool m_isBroken = false;
    std::uint64_t m_brokenEpoch = 0;
    time_point m_brokenKnownAt {};
    time_point m_openSince {};
    time_point m_stoppedAt {}; // When the last pass before the outage began.
    std::optional<time_point> m_allHeardSince; // Within the outage.
    duration m_usualOutage;
    duration m_longestOutage; // Of late: longer ones count at once, shorter ones bring it down slowly.
};

} // namespace coltsfootbend
