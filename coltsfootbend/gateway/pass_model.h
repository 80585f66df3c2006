#pragma once

// Predicts the latency of an engine that runs requests in passes, from the operator's engine model and the recently
// measured length of passes. Does not decide whether a request is sent: see `gateway/backend_picker.h`.
//
//     const pass_model model(engine, monitor.passMs());
//     if (model.firstEventLatency(load) > latencyTarget) ...

#include "coltsfootbend/gateway/catalogue.h"

namespace coltsfootbend {

// Latency model of one engine.
class pass_model {
public:
    // `measuredPassMs`: recent length of a pass; 0 if unknown. `engine` must outlive the model.
    pass_model(const engine_model& engine, double measuredPassMs);

    // Returns the time to the first event once a slot is free.
    duration startLatency() const;
    // Returns the time to the first event at an engine that has `load` requests, running and waiting ones together.
    duration firstEventLatency(double load) const;
    // Returns how many requests may run before passes take longer than `gapTarget`, the longest pause between events
    // that callers accept; 0 if none is stated.
    double runningLimit(duration gapTarget) const;

private:
    const engine_model& m_engine;
    const double m_measuredPassMs;
    // The measured length, but at least what the model predicts for full slots.
    const double m_passMs;
};

} // namespace coltsfootbend
