#pragma once

// Finds out under which requests a backend server has crashed. A connection that breaks may mean a fault of the
// network, of the answer, or of another rank of the group, so that a witness has to say whether the server has ended.
// All requests that were lost with it are named, for nobody can tell from here which one it was. Not for servers that
// fall silent, and not for judging requests: see `quarantine/crash_history.h`.
//
//     crash_detector detector(runtime, witness, isLeaving, [](const backend_crash& crash) { ... });
//     detector.lost(server, fingerprint);

#include "coltsfootbend/gateway/crash_witness.h"
#include "coltsfootbend/quarantine/request_fingerprint.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace coltsfootbend {

struct backend_crash {
    backend_server server;
    std::set<request_fingerprint> requests; // Those of this gateway that were at the server.
};

class crash_detector {
public:
    // `isExpected` holds for servers that leave as planned: what they cut off at their end is no sign of a crash.
    crash_detector(fiber_runtime&, crash_witness&, std::function<bool(const backend_server&)> isExpected,
        std::function<void(const backend_crash&)> report);

    // The exchange with `server` broke while it had the request. Reports soon, from a fiber of its own, if it crashed.
    void lost(const backend_server&, const request_fingerprint&);

private:
    struct inquiry {
        backend_server server;
        std::set<request_fingerprint> requests;
    };
    struct shared_state {
        crash_witness& witness;
        std::map<backend_instance, inquiry> inquiries; // Each with a fiber that looks into it.
        std::function<bool(const backend_server&)> isExpected;
        std::function<void(const backend_crash&)> report;
    };

    static void inquire(fiber_runtime&, const std::shared_ptr<shared_state>&, const backend_instance&);

    fiber_runtime& m_runtime;
    std::shared_ptr<shared_state> m_state; // Fibers that still probe may outlive the detector.
};

} // namespace coltsfootbend
