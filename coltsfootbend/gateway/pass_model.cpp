#include "coltsfootbend/gateway/pass_model.h"

#include "coltsfootbend/gateway/stretch_estimator.h"

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
    return engine.stepsPerPass * (engine.stepMs + engine.slots * workMsPerRequest(engine));
}

} // namespace

pass_model::pass_model(const engine_model& engine, double measuredPassMs, double stretch)
    : m_engine(engine)
    , m_stretch(stretch)
    , m_passMs(std::max(passMsAtFullSlots(engine), measuredPassMs))
{
}

duration pass_model::startLatency() const { return fromMilliseconds(passesToFirstEvent * m_passMs); }

double pass_model::passesPerRequest() const
{
    const double tokensPerPass = std::max(1.0, static_cast<double>(m_engine.stepsPerPass));
    return m_engine.usualAnswerTokens / tokensPerPass + passesToFirstEvent;
}

double pass_model::slotSeconds(duration gapTarget) const
{
    const double workMs = runningLimit(gapTarget) * std::max(1.0, m_stretch) * workMsPerRequest(m_engine);
    return m_engine.stepsPerPass * (m_engine.stepMs + workMs) * passesPerRequest() / 1000;
}

double pass_model::requestsPerSecond(duration gapTarget) const
{
    const double seconds = slotSeconds(gapTarget);
    return seconds > 0 ? runningLimit(gapTarget) / seconds : 0;
}

duration pass_model::firstEventLatency(double load) const
{
    const double slotMs = m_passMs * passesPerRequest();
    const double ahead = load + 1 - m_engine.slots;
    // Running requests are at evenly distributed stages, so one ends every `slotMs / slots`.
    const double waitMs = ahead <= 0 ? 0 : ahead * slotMs / m_engine.slots;
    return fromMilliseconds(waitMs) + startLatency();
}

// Passes grow with the number of running requests, so where the expert map does not fit, fewer requests at once keep
// all of them within the gap that their callers accept, at nearly the same throughput.
double pass_model::runningLimit(duration gapTarget) const
{
    const double slots = m_engine.slots;
    const double workMs = m_stretch * workMsPerRequest(m_engine);
    if (gapTarget <= duration::zero() || workMs <= 0)
        return slots;
    const double maxStepMs = maxPassShareOfGap * toMilliseconds(gapTarget) / m_engine.stepsPerPass;
    return std::clamp(std::floor((maxStepMs - m_engine.stepMs) / workMs), 1.0, slots);
}

} // namespace coltsfootbend
