#pragma once

// Keeps requests that crash backend servers away from them, at one gateway: notes who was at a server that crashed, and
// takes what others have noted. Requests that are done well are cleared. Not for servers that fail by themselves: see
// `gateway/backend_picker.h`.
//
//     if (const auto until = quarantine.refusedUntil(fingerprint, now)) // answer that it is not run
//     quarantine.lost(server, fingerprint);

#include "coltsfootbend/gateway/crash_detector.h"
#include "coltsfootbend/quarantine/crash_history.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootbend {

class request_quarantine {
public:
    // `isExpected`: as for the detector. `publish` is handed what this gateway has found itself.
    request_quarantine(fiber_runtime&, crash_witness&, std::function<bool(const backend_server&)> isExpected,
        std::function<void(const std::vector<crash_record>&)> publish);
    request_quarantine(const request_quarantine&) = delete;
    request_quarantine& operator=(const request_quarantine&) = delete;

    // False while no request is suspected, so that nobody has to work out fingerprints.
    bool isActive() const { return !m_history.isEmpty(); }
    // None for a request that may be sent to a server.
    std::optional<time_point> refusedUntil(const request_fingerprint&, time_point now) const;
    // True when a request that has just been lost at a server may be sent to another one for the same attempt.
    bool maySendOn(const request_fingerprint&) const;

    // The exchange with `server` broke while it had the request.
    void lost(const backend_server&, const request_fingerprint&);
    // The request was run to a good end.
    void answered(const request_fingerprint&);

    // What is known here and elsewhere. Call `review` after each change.
    crash_history& history() { return m_history; }
    // Tells of verdicts that have changed.
    void review();

private:
    void noteCrash(const backend_crash&);

    crash_history m_history;
    crash_detector m_detector;
    const std::function<void(const std::vector<crash_record>&)> m_publish;
    std::map<request_fingerprint, std::string> m_logged; // The verdict of each as it was told last.
};

} // namespace coltsfootbend
