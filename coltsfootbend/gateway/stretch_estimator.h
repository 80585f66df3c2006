#pragma once

// Estimates how much longer the work of running requests takes in a group than the engine model states. Where the
// expert map does not fit the demand, a pass waits for the rank with the most popular experts, so the work of each
// request is stretched. A group that has just formed uses its initial map, which fits badly. Deterministic. Does not
// measure passes: see `gateway/group_monitor.h`.
//
//     stretch_estimator estimator;
//     estimator.setEngine(engine);
//     estimator.onFormation(now);
//     estimator.recordPasses(passMs, running, now);
//     const pass_model model(engine, passMs, estimator.stretch());

#include "coltsfootbend/gateway/catalogue.h"

#include <optional>

namespace coltsfootbend {

class stretch_estimator {
public:
    void setEngine(const engine_model& engine) { m_engine = engine; }

    // Records that the group has formed: what was measured before does not count.
    void onFormation(time_point now);
    // Records the mean length of recent passes and the mean number of requests that ran on a rank meanwhile.
    void recordPasses(double passMs, double running, time_point now);

    // Returns the estimate, at least 1, or 0 without an engine model that states the work of a request.
    double stretch() const;

private:
    std::optional<engine_model> m_engine;
    double m_stretch = 0; // 0 until measured in this formation.
    time_point m_formedAt {};
    // First measurement after the last formation; 0 until known.
    double m_formationStretch = 0;
};

// Returns the milliseconds by which one running request lengthens a step, by the engine model.
double workMsPerRequest(const engine_model&);

} // namespace coltsfootbend
