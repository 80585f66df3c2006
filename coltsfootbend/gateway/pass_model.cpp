#include "coltsfootbend/gateway/pass_model.h"

#include <algorithm>
#include <cmath>

namespace coltsfootbend {

namespace {

// What a first event takes beside waiting for a slot: half a pass to join, one to read the prompt, one to answer.
constexpr double passesToFirstEvent = 2.0;
// Passes differ from each other, so that their mean has to stay below the pause that callers accept.
constexpr double usedShareOfGap = 0.9;

double passMsOfFullSlots(const engine_model& engine)
{
    const double context = engine.slots * (engine.usualPromptTokens + engine.usualAnswerTokens / 2) / 1000;
    return engine.stepsPerPass
        * (engine.stepMs + engine.perSequenceMs * engine.slots + engine.perThousandContextMs * context);
}

} // namespace

pass_model::pass_model(const engine_model& engine, double measuredPassMs)
    : m_engine(engine)
    , m_measuredPassMs(measuredPassMs)
    , m_passMs(std::max(passMsOfFullSlots(engine), measuredPassMs))
{
}

duration pass_model::start() const { return fromMilliseconds(passesToFirstEvent * m_passMs); }

duration pass_model::firstEvent(double load) const
{
    const double tokensPerPass = std::max(1.0, static_cast<double>(m_engine.stepsPerPass));
    const double slotMs = m_passMs * (m_engine.usualAnswerTokens / tokensPerPass + passesToFirstEvent);
    const double before = load + 1 - m_engine.slots;
    // The requests in the slots are at all stages, so one of them ends each `slotMs / slots`.
    const double waitMs = before <= 0 ? 0 : before * slotMs / m_engine.slots;
    return fromMilliseconds(waitMs) + start();
}

double pass_model::runningLimit(duration gapTarget) const
{
    const double slots = m_engine.slots;
    if (gapTarget <= duration::zero() || m_measuredPassMs <= 0)
        return slots;
    const double share = usedShareOfGap * toMilliseconds(gapTarget) / m_measuredPassMs;
    return std::max(1.0, std::floor(slots * std::min(1.0, share)));
}

} // namespace coltsfootbend
