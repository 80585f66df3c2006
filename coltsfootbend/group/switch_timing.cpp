#include "coltsfootbend/group/switch_timing.h"

#include <algorithm>
#include <cmath>

namespace coltsfootbend {

namespace {

// Bounds of the number of passes between the current one and a switch.
constexpr pass_number minPassesAhead = 2;
constexpr pass_number maxPassesAhead = 16;
// Weight of the newest measurement in the smoothed duration of a pass.
constexpr double passSmoothing = 0.3;
// Number of passes that a measurement spans at least.
constexpr pass_number minMeasuredPasses = 4;

} // namespace

void switch_timing::recordPass(pass_number step, time_point now)
{
    const auto passes = step > m_lastMeasuredPass ? step - m_lastMeasuredPass : 0;
    if (m_lastMeasuredPass != 0 && passes >= minMeasuredPasses)
        m_passMilliseconds += passSmoothing
            * (toMilliseconds(now - m_lastMeasuredAt) / static_cast<double>(passes) - m_passMilliseconds);
    if (passes >= minMeasuredPasses || m_lastMeasuredPass == 0) {
        m_lastMeasuredPass = step;
        m_lastMeasuredAt = now;
    }
}

// Delayed orders occur in bursts, so one slow arming is remembered for several changes.
void switch_timing::recordArming(duration elapsed)
{
    constexpr int keptParts = 3; // A quarter decays with each change.
    m_armingTime = std::max(elapsed, m_armingTime * keptParts / (keptParts + 1));
}

pass_number switch_timing::passesAhead() const
{
    constexpr int marginPercent = 140;
    const auto expected
        = std::clamp(m_armingTime * marginPercent / 100, m_options.minArmingTime, m_options.maxArmingTime);
    const auto passes = static_cast<pass_number>(std::ceil(toMilliseconds(expected) / m_passMilliseconds));
    return std::clamp(passes, minPassesAhead, maxPassesAhead);
}

} // namespace coltsfootbend
