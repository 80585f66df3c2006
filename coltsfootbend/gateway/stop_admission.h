#pragma once

// Decides which requests a gateway still begins while it stops as planned: those that are certain to be answered before
// the process ends, and, while callers may not know of the stop yet, those that can be expected to be. Others are
// refused at once, so that their callers turn to another gateway. Deterministic.
//
//     stop_admission stop;
//     stop.onAnswered("drafts", took, now);
//     stop.begin({ .begunAt = now, .acceptsUntil = now + 2600ms, .endsAt = now + 8s });
//     if (!stop.mayBegin("drafts", { .arrivedAt = now, .deadline = deadline }, now))
//         refuse();

#include "coltsfootbend/base/time.h"

#include <map>
#include <optional>
#include <string>

namespace coltsfootbend {

class stop_admission {
public:
    // The times of a planned stop.
    struct stop_times {
        time_point begunAt {};
        time_point acceptsUntil {}; // New connections are accepted until then.
        time_point endsAt {}; // All answers must have been sent by then.
    };

    struct request_times {
        time_point arrivedAt {}; // When the whole request had been received.
        time_point deadline {}; // The answer has ended by then in any case.
    };

    // Records that a request on `route` was answered in the time `took` after its arrival.
    void onAnswered(const std::string& route, duration took, time_point now);
    void begin(const stop_times& times) { m_stop = times; }
    // Returns whether a request on `route` may be sent to a server now; always true before the stop.
    bool mayBegin(const std::string& route, const request_times&, time_point now) const;

private:
    using longest_answers = std::map<std::string, duration>;

    // Returns the longest answer on `route` of late, or none if there was none.
    std::optional<duration> longestAnswer(const std::string& route, time_point now) const;

    std::optional<stop_times> m_stop;
    longest_answers m_current;
    longest_answers m_previous; // Those of the window before the current one.
    time_point m_windowEndsAt {};
};

} // namespace coltsfootbend
