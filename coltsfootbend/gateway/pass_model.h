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
    // `measuredPassMs`: recent length of a pass; 0 if unknown. `stretch`: how much longer the work of running requests
    // takes than `engine` states; 0 if unknown. `engine` must outlive the model.
    pass_model(const engine_model& engine, double measuredPassMs, double stretch);

    // Returns the time to the first event once a slot is free.
    duration startLatency() const;
    // Returns the time to the first event at an engine that has `load` requests, running and waiting ones together.
    duration firstEventLatency(double load) const;
    // Returns how long a request usually runs while as many run as `runningLimit` permits.
    double slotSeconds(duration gapTarget) const;
    // Returns how many requests an engine finishes in a second while as many run as `runningLimit` permits.
    double requestsPerSecond(duration gapTarget) const;
    // Returns how many requests may run before passes take longer than `gapTarget`, the longest pause between events
    // that callers accept; 0 if none is stated.
    double runningLimit(duration gapTarget) const;

private:
    // Returns the usual number of passes from the start of a request to its end.
    double passesPerRequest() const;

    const engine_model& m_engine;
    const double m_stretch;
    // The measured length, but at least what the model predicts for full slots.
    const double m_passMs;
};

} // namespace coltsfootbend
