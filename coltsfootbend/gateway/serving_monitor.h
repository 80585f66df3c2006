#pragma once

// Detects that a gateway serves none of the requests that reach it for a deployment, and that it serves again. Each
// refusal has a line of its own at the level of information, so a log does not show otherwise whether a gateway refuses
// all its callers or has none. Deterministic.
//
//     serving_monitor monitor;
//     monitor.onUnserved(deployment, "503 not run: group_down", now);
//     for (const auto& change : monitor.check(now)) ...

#include "coltsfootbend/base/id.h"
#include "coltsfootbend/base/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace coltsfootbend {

class serving_monitor {
public:
    // The beginning or the end of a time in which no request for a deployment was served.
    struct change {
        deployment_id deployment; // Empty for requests that no route or customer fits.
        bool isServing = false;
        duration unservedFor {}; // Since the first request that was not served.
        std::map<std::string, std::uint64_t> reasons; // The requests since then that were not served, by reason.
    };

    // Records that a request was answered by a server. Requests that no route or customer fits count only while no
    // request of any deployment is served: a gateway in order refuses them too.
    void onServed(const deployment_id&, time_point now);
    // Records that a request ended otherwise. `reason` is one of a few.
    void onUnserved(const deployment_id&, const std::string& reason, time_point now);
    // Forgets the deployments that are not in `configured` any more: no request of theirs will be served.
    void retainOnly(const std::set<deployment_id>& configured);
    // Returns the changes since the last call.
    std::vector<change> check(time_point now);
    // Returns the number of deployments of which nothing is served.
    std::size_t unserved() const;

private:
    struct deployment_state {
        time_point unservedSince {};
        std::uint64_t unserved = 0; // Number of requests in a row that were not served.
        std::map<std::string, std::uint64_t> reasons;
        bool isReported = false; // As not serving.
    };

    void endUnserved(const deployment_id&, time_point now);

    std::map<deployment_id, deployment_state> m_deployments;
    std::vector<change> m_ended;
};

} // namespace coltsfootbend
