#pragma once

// Decides how many passes ahead a switch to another map is scheduled. All ranks have to be armed before the pass of the
// switch begins, or that pass has to wait; passes until then run under the worse map. Follows the recent durations of
// passes and of arming. Deterministic.
//
//     timing.recordPass(state.step, now);
//     timing.recordArming(elapsed);
//     const auto target = state.step + timing.passesAhead();

#include "coltsfootbend/base/time.h"
#include "coltsfootbend/group/rank_engine.h"

namespace coltsfootbend {

class switch_timing {
public:
    struct options {
        // Bounds of the expected arming time.
        duration minArmingTime = std::chrono::milliseconds(80);
        duration maxArmingTime = std::chrono::milliseconds(900);
    };

    explicit switch_timing(const options& options)
        : m_options(options)
    {
    }

    // Records that the group has begun the pass `step` by `now`.
    void recordPass(pass_number step, time_point now);
    // Starts a new measurement of passes, as after the group has formed anew. The estimates are kept.
    void restart() { m_lastMeasuredPass = 0; }
    // Records how long all ranks took to be armed, or to fail to be.
    void recordArming(duration elapsed);

    // Returns how many passes after the current one a switch is scheduled.
    pass_number passesAhead() const;
    // Returns the smoothed duration of a pass.
    double passMilliseconds() const { return m_passMilliseconds; }

private:
    const options m_options;
    // Number and time of the last measured pass.
    pass_number m_lastMeasuredPass = 0;
    time_point m_lastMeasuredAt {};
    double m_passMilliseconds = 60;
    // Longest recent duration of arming all ranks, which decays with each change.
    duration m_armingTime {};
};

} // namespace coltsfootbend
