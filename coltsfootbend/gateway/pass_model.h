#pragma once

// What an engine that advances in passes can be expected to take, from what the operator states of it and how long its
// passes were lately. Predicts, decides nothing: see `gateway/backend_picker.h`.
//
//     const pass_model model(engine, outlook.passMs());
//     if (model.firstEvent(load) > latencyTarget) ...

#include "coltsfootbend/gateway/catalogue.h"

namespace coltsfootbend {

class pass_model {
public:
    // `measuredPassMs`: 0 where it is not known. `engine` must outlive the model.
    pass_model(const engine_model& engine, double measuredPassMs);

    // Of a first event once a slot is free.
    duration start() const;
    // Of a first event at an engine that has `load` requests, those included that wait there.
    duration firstEvent(double load) const;
    // How many requests may run before passes take longer than the pause that callers accept; `gapTarget` is 0 where
    // none is stated.
    double runningLimit(duration gapTarget) const;

private:
    const engine_model& m_engine;
    const double m_measuredPassMs;
    const double m_passMs; // No less than the model says of full slots.
};

} // namespace coltsfootbend
