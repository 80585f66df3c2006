#include "coltsfootbend/gateway/stretch_estimator.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

// Weight of a new measurement: after a change of maps the first one has to count most.
constexpr double smoothingFactor = 0.6;
// Load of the busiest rank over the mean under an initial map, which holds each expert on few ranks. Assumed until the
// first formation was measured.
constexpr double initialMapSkew = 3;
// Upper bound of the skew; longer passes are caused by pauses and not by the map.
constexpr double maxSkew = 5;
// Upper bound of a measurement for engines without expert maps.
constexpr double maxStretchWithoutMaps = 50;
// Part of the slots below which passes say too little of the work of a request.
constexpr double minMeasuredSlotShare = 0.3;
// Time after a formation in which its initial map is still in use.
constexpr std::chrono::milliseconds initialMapTime { 1500 };

// Returns the stretch under a map with this skew.
double stretchOf(const engine_model& engine, double skew) { return 1 - engine.expertShare + engine.expertShare * skew; }

} // namespace

double workMsPerRequest(const engine_model& engine)
{
    const double context = (engine.usualPromptTokens + engine.usualAnswerTokens / 2) / 1000;
    return engine.perSequenceMs + engine.perThousandContextMs * context;
}

void stretch_estimator::onFormation(time_point now)
{
    m_stretch = 0;
    m_formedAt = now;
}

void stretch_estimator::recordPasses(double passMs, double running, time_point now)
{
    if (!m_engine || running < 1 || workMsPerRequest(*m_engine) <= 0)
        return;
    const double workMs = passMs / m_engine->stepsPerPass - m_engine->stepMs;
    const double most = m_engine->hasExpertMaps() ? stretchOf(*m_engine, maxSkew) : maxStretchWithoutMaps;
    const double sample = std::clamp(workMs / (running * workMsPerRequest(*m_engine)), 1.0, most);
    // A low limit keeps few requests running, so a lower estimate is always accepted: it could not fall otherwise.
    if (running < minMeasuredSlotShare * m_engine->slots && sample >= stretch())
        return;
    if (m_stretch == 0 && now - m_formedAt < initialMapTime)
        m_formationStretch = sample;
    m_stretch = m_stretch == 0 ? sample : m_stretch + smoothingFactor * (sample - m_stretch);
}

double stretch_estimator::stretch() const
{
    if (!m_engine || workMsPerRequest(*m_engine) <= 0)
        return 0;
    if (m_stretch > 0)
        return m_stretch;
    if (m_formationStretch > 0)
        return m_formationStretch;
    return m_engine->hasExpertMaps() ? stretchOf(*m_engine, initialMapSkew) : 1;
}

} // namespace coltsfootbend
