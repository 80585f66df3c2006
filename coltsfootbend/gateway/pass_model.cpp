#include "coltsfootbend/gateway/pass_model.h"

#include <algorithm>
#include <cmath>

namespace coltsfootbend {

namespace {

// Passes at full slots to a first event once a slot is free. The request waits half a pass, and takes one for its
// prompt and one for the first event; with a free slot these two and a half passes are as long as two at full slots.
constexpr double passesToFirstEvent = 2.0;
// Upper bound of the mean pass as a part of the pause that callers accept: single passes exceed the mean.
constexpr double maxPassShareOfGap = 0.9;

double passMsAtFullSlots(const engine_model& engine)
{
    const double context = engine.slots * (engine.usualPromptTokens + engine.usualAnswerTokens / 2) / 1000;
    return engine.stepsPerPass
        * (engine.stepMs + engine.perSequenceMs * engine.slots + engine.perThousandContextMs * context);
}

} // namespace

pass_model::pass_model(const engine_model& engine, double measuredPassMs)
    : m_engine(engine)
    , m_measuredPassMs(measuredPassMs)
    , m_passMs(std::max(passMsAtFullSlots(engine), measuredPassMs))
{
}

duration pass_model::startLatency() const { return fromMilliseconds(passesToFirstEvent * m_passMs); }

duration pass_model::firstEventLatency(double load) const
{
    const double tokensPerPass = std::max(1.0, static_cast<double>(m_engine.stepsPerPass));
    const double slotMs = m_passMs * (m_engine.usualAnswerTokens / tokensPerPass + passesToFirstEvent);
    const double ahead = load + 1 - m_engine.slots;
    // Running requests are at evenly distributed stages, so one ends every `slotMs / slots`.
    const double waitMs = ahead <= 0 ? 0 : ahead * slotMs / m_engine.slots;
    return fromMilliseconds(waitMs) + startLatency();
}

double pass_model::runningLimit(duration gapTarget) const
{
    const double slots = m_engine.slots;
    if (gapTarget <= duration::zero() || m_measuredPassMs <= 0)
        return slots;
    const double slotShare = maxPassShareOfGap * toMilliseconds(gapTarget) / m_measuredPassMs;
    return std::max(1.0, std::floor(slots * std::min(1.0, slotShare)));
}

} // namespace coltsfootbend
