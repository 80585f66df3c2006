#pragma once

// Detects crashes of backend servers and the requests that were at the server then. A broken connection may also mean a
// fault of the network, of the answer, or of another rank of the group, so a verifier has to confirm that the server
// has terminated. A new registration at its address confirms the crash as well: of a server that has started again at
// once and accepts connections, and of one that no verifier could judge. Reports all requests that were lost with the
// server, because a gateway cannot determine which one caused the crash. Does not detect unresponsive servers and does
// not judge requests: see `quarantine/crash_history.h`.
//
//     crash_detector detector(runtime, verifier, { .isExpected = isLeaving, .listedAt = ..., .onCrash = ... });
//     detector.onExchangeBroken(server, { .request = fingerprint, .parts = parts, .brokenAt = now });
//     detector.onServersChanged(); // After each change of the registered servers.

#include "coltsfootbend/gateway/crash_verifier.h"
#include "coltsfootbend/quarantine/prompt_part.h"
#include "coltsfootbend/quarantine/request_fingerprint.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace coltsfootbend {

// A request that was lost at a backend server.
struct lost_request {
    request_fingerprint request;
    // Parts of its prompt that other requests may share.
    std::vector<prompt_part_id> parts;
    // When the head of the response was received; none if it was not.
    std::optional<time_point> begunAt = {};
    time_point brokenAt {}; // When the exchange broke.
};

// A crashed server and this gateway's requests that were at it.
struct backend_crash {
    backend_server server;
    std::map<request_fingerprint, lost_request> requests;
};

// Collects the requests of broken exchanges by server, and reports them if the server has crashed.
class crash_detector {
public:
    struct callbacks {
        // Returns true for servers that leave as planned; the exchanges that they break when they terminate do not
        // indicate a crash.
        std::function<bool(const backend_server&)> isExpected;
        // Returns the servers that are registered at an address.
        std::function<std::set<backend_instance>(const endpoint&)> listedAt;
        // Receives each confirmed crash.
        std::function<void(const backend_crash&)> onCrash;
    };

    crash_detector(fiber_runtime&, crash_verifier&, callbacks);

    // Handles an exchange with `server` that broke while the server had the request. Returns at once; a confirmed crash
    // is reported later from a fiber of its own.
    void onExchangeBroken(const backend_server&, const lost_request&);
    // Reports the crashes that new registrations confirm. O(suspected servers).
    void onServersChanged();

private:
    // A server whose exchanges broke, until its termination is confirmed or ruled out.
    struct suspected_crash {
        backend_server server;
        std::map<request_fingerprint, lost_request> requests;
        std::set<backend_instance> listedBefore; // Servers at its address when the first exchange broke.
    };
    // A server whose termination was not confirmed, and until when another incarnation at its address confirms it.
    struct awaited_registration {
        suspected_crash suspect;
        time_point until {};
    };
    struct shared_state {
        crash_verifier& verifier;
        std::map<backend_instance, suspected_crash> suspected; // One fiber checks each entry.
        std::vector<awaited_registration> awaited;
        callbacks owner;
    };

    static void report(const shared_state&, const suspected_crash&);
    // Returns whether another incarnation has been registered at the server's address since its exchanges broke. Then
    // the server was terminated, although its port accepts connections.
    static bool hasStartedAgain(const shared_state&, const suspected_crash&);
    static void check(fiber_runtime&, const std::shared_ptr<shared_state>&, const backend_instance&);

    fiber_runtime& m_runtime;
    std::shared_ptr<shared_state> m_state; // Shared with the checking fibers, which may outlive the detector.
};

} // namespace coltsfootbend
