#pragma once

// Keeps requests that crash backend servers away from them, at one gateway: records which requests, and which parts of
// their prompts, were at a server that crashed, merges the records of other VMs, and clears what completes. Does not
// handle servers that fail for other reasons: see `gateway/backend_picker.h`.
//
//     if (const auto until = quarantine.refusedUntil(suspects, now)) // answer that the request is not run
//     quarantine.onExchangeBroken(server, lost);
//     quarantine.onRequestCompleted(suspects);

#include "coltsfootbend/gateway/crash_detector.h"
#include "coltsfootbend/quarantine/completed_parts.h"
#include "coltsfootbend/quarantine/crash_history.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace coltsfootbend {

// The requests that one gateway refuses because they are suspected to crash servers.
class request_quarantine {
public:
    // `isExpected`: true for servers that terminate as planned, `listedAt`: the servers registered at an address, see
    // `crash_detector`. `publish`: receives the records that this gateway has added.
    request_quarantine(fiber_runtime&, crash_verifier&, std::function<bool(const backend_server&)> isExpected,
        std::function<std::set<backend_instance>(const endpoint&)> listedAt,
        std::function<void(const std::vector<crash_record>&)> publish);
    request_quarantine(const request_quarantine&) = delete;
    request_quarantine& operator=(const request_quarantine&) = delete;

    // Returns false while nothing is suspected, so that no fingerprints need to be computed.
    bool isActive() const { return !m_history.isEmpty(); }
    // Returns until when a request with these suspects must not be sent to a server; none if it may be sent.
    std::optional<time_point> refusedUntil(const std::set<crash_suspect>&, time_point now) const;
    // Returns true if a request with these suspects that was lost at a server may be sent to another one within the
    // same attempt.
    bool mayTryAnotherServer(const std::set<crash_suspect>&) const;

    // Handles an exchange with `server` that broke while the server had the request.
    void onExchangeBroken(const backend_server&, const lost_request&);
    // Returns when an exchange broke last; the clock's epoch if none has.
    time_point lastLossAt() const { return m_lastLossAt; }
    // Called after each change of the registered servers, which may confirm a crash.
    void onServersChanged() { m_detector.onServersChanged(); }
    // Clears a request that a server ran successfully, and the parts of its prompt.
    void onRequestCompleted(const std::set<crash_suspect>&);
    // Records parts of a prompt that a server ran successfully while nothing is suspected.
    void onPartsCompleted(const std::vector<prompt_part_id>&);
    // Returns whether a part is known to have completed, at this gateway or at another one.
    bool hasCompleted(const crash_suspect& part) const
    {
        return m_completed.contains(part) || m_history.isClearedPart(part);
    }
    // Clears the parts among `received` that have completed at this gateway. Returns the records that this changed.
    std::vector<crash_record> clearCompleted(const std::vector<crash_record>& received);

    // Registers a request that waits for the response of a server, for as long as this object exists. `checkVerdicts`
    // is called several times a second while there are verdicts.
    class pending_request {
    public:
        pending_request(request_quarantine&, std::function<void(time_point now)> checkVerdicts);
        ~pending_request();
        pending_request(const pending_request&) = delete;
        pending_request& operator=(const pending_request&) = delete;

    private:
        friend class request_quarantine;
        request_quarantine& m_quarantine;
        const std::function<void(time_point)> m_checkVerdicts;
    };
    // Lets the pending requests check the verdicts. To be called several times a second. O(pending requests) while
    // there are verdicts, else O(1).
    void checkPending(time_point now);

    // Returns the records of this gateway and of other VMs. Call `logChangedVerdicts` after each change.
    crash_history& history() { return m_history; }
    const crash_history& history() const { return m_history; }
    // Logs the verdicts that have changed since the last call.
    void logChangedVerdicts();

private:
    void onCrash(const backend_crash&);
    // Returns the suspects among the parts of a request that was lost at a server.
    std::vector<crash_suspect> suspectedParts(const lost_request&) const;

    crash_history m_history;
    crash_detector m_detector;
    const std::function<void(const std::vector<crash_record>&)> m_publish;
    completed_parts m_completed { { .seed = std::random_device {}() } };
    time_point m_lastLossAt {};
    std::set<pending_request*> m_pending;
    std::map<crash_suspect, std::string> m_loggedVerdicts;
};

} // namespace coltsfootbend
