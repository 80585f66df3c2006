#pragma once

// Chooses the backend server for a request, or refuses it, from what is known of load and of how servers answered. The
// knowledge of one gateway is partial: reports are some hundred milliseconds old, and other gateways send too.
// Deterministic apart from the random source that it is given. Not for sending: see `gateway/exchange.h`.
//
//     backend_picker picker(options, random);
//     picker.setServers(directory.servers(), deployments);
//     auto choice = picker.pick({ .deployment = id, .latencyTarget = 400ms, ... }, now);
//     if (choice) { picker.sent(choice->server.instance(), now); ...; picker.finished(..., outcome, latency, now); }

#include "coltsfootbend/gateway/backend_directory.h"
#include "coltsfootbend/gateway/backend_notices.h"
#include "coltsfootbend/gateway/catalogue.h"
#include "coltsfootbend/gateway/engine_report.h"
#include "coltsfootbend/gateway/group_outlook.h"
#include "coltsfootbend/gateway/pass_model.h"
#include "coltsfootbend/gateway/pick.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace coltsfootbend {

class backend_picker {
public:
    struct options {
        data_centre_id home;
        // Reports older than this are not believed.
        duration reportLimit = std::chrono::milliseconds(1500);
        // A server that broke an exchange is left alone for this long, doubled with each further time.
        duration ejection = std::chrono::milliseconds(400);
        duration longestEjection = std::chrono::seconds(4);
        // What a server of another data centre must have less, in requests, to be chosen.
        double otherDataCentreHandicap = 0.25;
        // A server whose address another one has is asked no more until it is registered anew, but for so long at most.
        duration replacedLimit = std::chrono::seconds(5);
        // The share of a new sample in the averages of latency and of failures.
        double smoothing = 0.2;
    };

    backend_picker(options, std::minstd_rand::result_type seed);

    // Takes the servers and deployments as they are now; what is known of those that stay is kept.
    void setServers(const std::map<backend_id, backend_server>&, const catalogue&);

    // What servers have asked for, by which the choice abides.
    backend_notices& notices() { return m_notices; }

    // `ask` is handed the limited servers for which a permit is to be asked, each with the number of the wish.
    void onPermitWish(std::function<void(const backend_server&, std::uint64_t serial)> ask)
    {
        m_askPermit = std::move(ask);
    }
    // Those that wait for limited servers of a deployment.
    waiting_line& lineOf(const deployment_id& deployment) { return m_deployments[deployment].line; }

    // How many gateways send to the same servers, this one included.
    void setGateways(std::uint32_t count) { m_gateways = std::max(1U, count); }

    // Takes news of the engine at `address`. News of a life before the known one is dropped; with a later one all that
    // is remembered of the server starts anew.
    void report(const endpoint& address, const engine_report&, time_point now);
    // Takes what a response told of its server's load. Like `sent` and `finished` without effect for another life of
    // the server than the one that it has now.
    void responseLoad(const backend_instance&, std::uint32_t running, std::uint32_t waiting, time_point now);

    tl::expected<picked_backend, pick_refused> pick(const pick_request&, time_point now);

    // After which time a caller that is refused is to come back. Where servers take only so many, each is given a time
    // of its own, for all at the same time would be refused again.
    duration scheduleReturn(const pick_request&, const pick_refused&, time_point now);

    void sent(const backend_instance&, time_point now);
    // `latency`: to the first byte of the answer, where there was one.
    void finished(const backend_instance&, backend_outcome, std::optional<duration> latency, time_point now);

    // A server answered that another rank of its group is gone.
    void groupFailed(const backend_instance&, time_point now);
    // True when the server belongs to no group, or to one that makes passes. O(ranks).
    bool isMoving(const backend_instance&, time_point now) const;
    // True when a server of `deployment` can take a request, for all that is known of their groups. O(servers).
    bool isOpen(const deployment_id& deployment, time_point now) const;

    // What is believed of one group, for the log.
    struct group_view {
        deployment_id deployment;
        std::string group;
        group_condition condition = group_condition::Open;
        group_forecast forecast;
        time_point lastPassAt {};
        double passMs = 0;
    };
    std::vector<group_view> groups(time_point now) const;

private:
    struct group_key {
        deployment_id deployment;
        std::string group;
        auto operator<=>(const group_key&) const = default;
    };
    struct backend_state {
        backend_server server;
        std::optional<engine_report> report;
        time_point reportedAt {};
        // Of own requests: in flight, and when those were sent that the report cannot know yet.
        std::uint32_t inFlight = 0;
        std::vector<time_point> sentAt;
        std::uint32_t consecutiveBreaks = 0;
        time_point ejectedUntil {};
        time_point replacedUntil {};
        double failureShare = 0;
        double latencyMs = 0;
    };
    struct deployment_state {
        std::optional<engine_model> engine;
        // Of the requests that this gateway sends.
        double requestsPerSecond = 0;
        time_point lastSentAt {};
        // Of those that wait for limited servers.
        waiting_line line;
        // When the last of those is back who were refused for limits.
        time_point lastReturnAt {};
    };

    // Null unless the server is known with this life.
    backend_state* find(const backend_instance&);
    // Forgets what belongs to a former life. Returns false when `life` itself is a former one.
    static bool enterLife(backend_state&, backend_life life);
    // Null for a server that belongs to no group, or whose group is not known yet.
    const group_outlook* groupOf(const backend_state&) const;
    bool isMoving(const backend_state&, time_point now) const;
    // What is expected of the group that opens first. None is open.
    pick_refused refuseForGroups(const std::vector<backend_state*>&, const pick_request&, time_point now);
    // Keeps those of `servers` that one request may be sent to although their group stands. False when there are none.
    bool keepProbed(std::vector<backend_state*>& servers, time_point now);
    // Keeps those of `servers` that take one more. Returns why the request may not be sent, where there are none.
    std::optional<pick_refused> keepPermitted(
        std::vector<backend_state*>& servers, const pick_request&, time_point now);
    // Asks for a permit of one of those servers that need one.
    void wishForPermit(const std::vector<backend_state*>&, time_point now);
    // `ahead`: others that get permits first.
    pick_refused refuseForLimits(
        const std::vector<backend_state*>&, std::size_t ahead, const pick_request&, time_point now);
    double loadOf(const backend_state&, time_point now) const;
    double scoreOf(const backend_state&, const deployment_state&, time_point now) const;
    duration predictFirst(const backend_state&, const deployment_state&, time_point now) const;
    // True when a caller that was refused before has to stand behind new ones: neither this gateway's part of the slots
    // nor what reports tell of all of them leaves room beside those kept for new callers.
    bool isBehindNew(const pick_request&, const deployment_state&, time_point now) const;
    pass_model modelOf(const backend_state&, const engine_model&) const;
    // How long a request waits and how long its first event takes then, at `state`.
    pick_refused refuse(pick_refusal, duration wait, duration startLatency, const pick_request&, time_point now);
    duration startLatencyAt(const backend_state&, const deployment_state&) const;
    backend_state& choose(const std::vector<backend_state*>&, const deployment_state&, time_point now);
    static void noteRate(deployment_state&, time_point now);
    // Whether the server belongs to `deployment` and takes new work.
    bool isServing(const backend_state&, const deployment_id&, time_point now) const;
    std::vector<backend_state*> candidates(const pick_request&, time_point now);
    // For a request for which there are no candidates.
    pick_refused refuseForWantOfServers(const pick_request&, time_point now);

    const options m_options;
    std::minstd_rand m_random;
    backend_notices m_notices;
    std::uint32_t m_gateways = 1;
    std::map<backend_id, backend_state> m_backends;
    std::map<deployment_id, deployment_state> m_deployments;
    std::map<group_key, group_outlook> m_groups;
    std::function<void(const backend_server&, std::uint64_t serial)> m_askPermit;
};

} // namespace coltsfootbend
