#pragma once

// The engine groups of all deployments as one gateway knows them: which group a server belongs to, whether that group
// accepts requests, and when the first of several groups is expected to open. A server that has sent no report belongs
// to an unknown group. Deterministic. Does not track the load of servers: see `gateway/backend_picker.h`.
//
//     group_directory groups;
//     groups.receiveReport(deployment, address, report, now);
//     if (const auto* group = groups.find({ deployment, report.group }); group && group->condition(now) ...)

#include "coltsfootbend/base/id.h"
#include "coltsfootbend/gateway/catalogue.h"
#include "coltsfootbend/gateway/engine_report.h"
#include "coltsfootbend/gateway/group_monitor.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootbend {

// Identifies a group. Groups of different deployments may have the same name.
struct group_key {
    deployment_id deployment;
    std::string group;
    auto operator<=>(const group_key&) const = default;
};

// State of one group, for the log.
struct group_status {
    deployment_id deployment;
    std::string group;
    group_condition condition = group_condition::Open;
    group_forecast forecast;
    time_point lastPassAt {};
    double passMs = 0;
    double stretch = 0;
};

// When the first of several groups is expected to open, and what keeps them closed.
struct groups_forecast {
    group_key group;
    group_forecast first;
    bool isAnyStalled = false;
};

// The monitors of all groups.
class group_directory {
public:
    // Applies the operator's figures of a deployment to its groups.
    void configure(const deployment&);

    // Processes a report of the engine at `address`. Ignores a report without a group. O(log groups).
    void receiveReport(const deployment_id&, const endpoint& address, const engine_report&, time_point now);
    // Processes the proof that a rank of the group is unreachable.
    void receiveFailureProof(const group_key&, time_point now);

    // Returns null for a group that is not known.
    const group_monitor* find(const group_key&) const;
    // Returns whether a group of the deployment is known and does not accept requests. O(groups * ranks).
    bool isAnyClosed(const deployment_id&, time_point now) const;

    // Returns the forecast of the group that is expected to open first, or none without a known group in `keys`.
    std::optional<groups_forecast> forecast(const std::vector<group_key>& keys, time_point now) const;
    // Records that a stalled group is probed, and gets no further probe of this gateway before `nextAt`.
    void onProbeSent(const group_key&, time_point nextAt);

    // Returns the state of all groups. O(groups * ranks).
    std::vector<group_status> statuses(time_point now) const;

private:
    std::map<deployment_id, engine_model> m_engines;
    std::map<group_key, group_monitor> m_groups;
};

} // namespace coltsfootbend
