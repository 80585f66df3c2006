#pragma once

// Chooses the backend server for a request, or refuses the request, from reported load, the condition of engine groups
// and the outcome of earlier requests. One gateway's view is partial: reports are a few hundred milliseconds old, and
// other gateways send to the same servers. Deterministic apart from its seeded random source. Does not send requests:
// see `gateway/exchange.h`.
//
//     backend_picker picker(options, seed);
//     picker.setServers(directory.servers(), catalogue);
//     auto choice = picker.pick({ .deployment = id, .latencyTarget = 400ms, ... }, now);
//     if (choice)
//         picker.onRequestSent(choice->server.instance(), now);
//     ...
//     picker.onRequestFinished(choice->server.instance(), outcome, latency, now);

#include "coltsfootbend/gateway/backend_directory.h"
#include "coltsfootbend/gateway/backend_notices.h"
#include "coltsfootbend/gateway/catalogue.h"
#include "coltsfootbend/gateway/engine_report.h"
#include "coltsfootbend/gateway/group_directory.h"
#include "coltsfootbend/gateway/pass_model.h"
#include "coltsfootbend/gateway/pick.h"
#include "coltsfootbend/gateway/return_schedule.h"
#include "coltsfootbend/gateway/silence_policy.h"
#include "coltsfootbend/gateway/traffic_share.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace coltsfootbend {

// The state of all backend servers and engine groups as one gateway knows it, and the choice based on it.
class backend_picker {
public:
    struct options {
        // Data centre of this gateway; its servers are preferred.
        data_centre_id localDataCentre;
        // Region of each data centre. Requests that are restricted to regions use no server elsewhere.
        std::map<data_centre_id, region_id> regions;
        // Load reports older than this are ignored.
        duration maxReportAge = std::chrono::milliseconds(1500);
        // How long a server gets no requests after it broke one exchange; doubles with each further one in a row.
        duration baseEjectionTime = std::chrono::milliseconds(400);
        // Upper bound of the doubled ejection time.
        duration maxEjectionTime = std::chrono::seconds(4);
        // Added to the score of a server of another data centre, in requests: it must have that many fewer.
        double remoteDataCentrePenalty = 0.25;
        // How long a server gets no requests after another server answered at its address, unless it registers anew
        // earlier.
        duration maxReplacedTime = std::chrono::seconds(5);
        // A server that sends nothing for this long on any connection, although responses are awaited from it, gets no
        // new requests while another server can take them.
        duration silenceLimit = std::chrono::milliseconds(500);
        // A server whose agent has stopped to report gets no new requests from when its last report is ignored until
        // this long after that report. Its registration lapses earlier if the server itself is lost, so one that is
        // still listed then has lost only its agent.
        duration maxReportPause = std::chrono::milliseconds(4000);
        // Weight of a new sample in the moving averages of latency and failure rate.
        double smoothingFactor = 0.2;
    };

    backend_picker(options, std::minstd_rand::result_type seed);

    // Replaces the set of servers and deployments; keeps the state of those that remain.
    void setServers(const std::map<backend_id, backend_server>&, const catalogue&);

    // Sets the data centres to whose servers no requests may be sent.
    void setEvacuated(std::set<data_centre_id> dataCentres) { m_evacuated = std::move(dataCentres); }

    // Returns the limits, backoffs and departures that servers have announced; `pick` respects them.
    backend_notices& notices() { return m_notices; }

    // Sets the function that sends a permit request for a limited server, with the request's serial number.
    void onPermitRequest(std::function<void(const backend_server&, std::uint64_t serial)> sendPermitRequest)
    {
        m_sendPermitRequest = std::move(sendPermitRequest);
    }
    // Sets the number of gateways that send to the same server, on average, and that of all; both include this one.
    void setGatewayCounts(std::uint32_t perServer, std::uint32_t all)
    {
        m_gatewayCount = std::max(1U, perServer);
        m_allGatewayCount = std::max(m_gatewayCount, all);
    }

    // Processes a report of the engine at `address`. Ignores a report of an earlier incarnation; a report of a newer
    // one resets all state of the server.
    void receiveReport(const endpoint& address, const engine_report&, time_point now);
    // Processes the load that a response of the server stated. Has no effect unless the server is known with this
    // incarnation; the same holds for `onRequestSent` and `onRequestFinished`.
    void receiveResponseLoad(const backend_instance&, std::uint32_t running, std::uint32_t waiting, time_point now);

    // Returns the server to send the request to, or why it is refused.
    tl::expected<picked_backend, refused_pick> pick(const pick_request&, time_point now);

    // Returns after which time a refused caller should retry, a time of its own where callers that return at the same
    // time would be refused again. The time may exceed the caller's deadline.
    duration scheduleRetry(const pick_request&, const refused_pick&, time_point now);

    // Records that a request was sent to the server.
    void onRequestSent(const backend_instance&, time_point now);
    // Records that the server has sent something on one of its connections.
    void onDataReceived(const backend_instance&, time_point now);
    // Returns what is known of a server from which a response is awaited. O(ranks).
    server_condition conditionOf(const backend_instance&, time_point now) const;
    // Records the outcome of a request. `latency`: time to the first byte of the answer, if there was one.
    void onRequestFinished(const backend_instance&, backend_outcome, std::optional<duration> latency, time_point now);

    // Records that the server's answer reported another rank of its group as unreachable.
    void onGroupFailed(const backend_instance&, time_point now);

    // Returns the state of all groups. O(groups * ranks).
    std::vector<group_status> groups(time_point now) const { return m_groups.statuses(now); }

    // How many servers of a deployment are in each state; one may be in several.
    struct server_summary {
        std::size_t listed = 0;
        std::size_t reporting = 0; // Their load was reported lately.
        std::size_t leaving = 0;
        std::size_t evacuated = 0;
        std::size_t unavailable = 0; // By their own notices.
        std::size_t avoided = 0; // After failures, or because they are silent.
        std::size_t groupClosed = 0;
    };
    server_summary summarise(const deployment_id&, time_point now) const;

private:
    struct backend_state {
        backend_server server;
        std::optional<engine_report> report;
        time_point reportedAt {};
        time_point agentReportedAt {}; // When its agent last reported.
        // Requests of this gateway that are in flight.
        std::uint32_t inFlight = 0;
        // Send times of this gateway's requests that the last report cannot include yet.
        std::vector<time_point> unreportedSentAt;
        time_point lastDataAt {}; // When the server last sent something.
        time_point awaitedSince {}; // Since when responses are awaited from it without interruption.
        std::uint32_t consecutiveMoves
            = 0; // Requests that moved to other servers since the server last sent something.
        time_point avoidedUntil {}; // End of the time without new requests after such a move.
        std::uint32_t consecutiveBrokenExchanges = 0;
        time_point ejectedUntil {};
        // End of the cold time of an incarnation that was reported before the list of servers stated it.
        time_point reportedColdUntil {};
        // While the server is cold: when this gateway may send it the next request.
        std::optional<time_point> nextColdSendAt;
        time_point replacedUntil {};
        // When a request first found this server without a report of its group.
        std::optional<time_point> groupUnknownSince;
        // Moving average; 1 if every request fails.
        double failureRate = 0;
        // Moving average of the time to the first byte; 0 until known.
        double meanLatencyMs = 0;
    };
    struct deployment_state {
        std::optional<engine_model> engine;
        duration coldTime {};
        double coldRequestsPerSecond = 0;
        // Rate at which this gateway sends requests.
        double requestsPerSecond = 0;
        time_point lastSentAt {};
        // This gateway's share of the requests at the servers.
        traffic_share share;
        return_schedule returns;
    };

    // How long a server without a report of its group gets no requests: agents report within this time unless they are
    // unreachable.
    static constexpr std::chrono::milliseconds maxFirstReportWait { 1000 };

    // Returns null unless the server is known with this incarnation.
    backend_state* find(const backend_instance&);
    // Switches to the incarnation `received` and discards the state of an earlier one. Returns false if `received`
    // itself is an earlier one.
    static bool enterIncarnation(backend_state&, backend_incarnation received);
    // Returns how long the server has sent nothing although responses are awaited from it.
    static duration silenceOf(const backend_state&, time_point now);
    // Returns whether the server has been silent for so long that it is suspended or unreachable.
    bool isSilent(const backend_state&, time_point now) const;
    // Returns whether neither the server nor its agent, which runs on the same VM, has sent anything for so long that
    // its load is not known.
    bool hasStoppedReporting(const backend_state&, time_point now) const;
    // Returns whether the server gets no new requests while another one can take them.
    bool isAvoided(const backend_state&, time_point now) const;
    // Returns whether a request that moves away from a silent server may be sent to this one.
    bool mayTakeOver(const backend_state&, const pick_request&, time_point now) const;
    // Returns the time for which a server gets no requests after `count` incidents in a row.
    duration backoffAfter(std::uint32_t count) const;
    // Returns the key of the group that the server has reported; its group is empty if it has reported none.
    static group_key groupKeyOf(const backend_state&);
    // Returns null for a server that belongs to no group, or whose group is not known yet.
    const group_monitor* groupOf(const backend_state& state) const { return m_groups.find(groupKeyOf(state)); }
    // Returns whether the server belongs to a group that is known not to accept requests.
    bool isGroupKnownClosed(const backend_state&, time_point now) const;
    // Returns whether the server's deployment forms groups and the server has not reported its group.
    bool isGroupUnknown(const backend_state&) const;
    // Returns whether requests may be sent to the server as far as its group is concerned.
    bool isGroupOpen(const backend_state&, time_point now) const;
    // Refuses a request for which no group is open. States when the first group is expected to open.
    refused_pick refuseForGroups(const std::vector<backend_state*>&, const pick_request&, time_point now);
    // Reduces `servers` to those of one stalled group that may be probed with this request. Returns false if there is
    // no such group.
    bool keepProbeTargets(std::vector<backend_state*>& servers, time_point now);
    // Reduces `servers` to those that may be sent one more request. Returns a refusal if all are limited and the
    // requests ahead use up the permits.
    std::optional<refused_pick> keepPermitted(
        std::vector<backend_state*>& servers, const pick_request&, time_point now);
    // Requests a permit for one of the servers that need one.
    void requestPermit(const std::vector<backend_state*>&, time_point now);
    // `ahead`: number of waiting requests that get permits first.
    refused_pick refuseForLimits(
        const std::vector<backend_state*>&, std::size_t ahead, const pick_request&, time_point now);
    // Returns the number of requests at the server: the last report plus later sends, or at least those in flight.
    double loadOf(const backend_state&, time_point now) const;
    // Returns how unfavourable the server is, in requests; the lowest score is best.
    double scoreOf(const backend_state&, const deployment_state&, time_point now) const;
    // Returns the expected time to the first event, or to the answer of a server without an engine model.
    duration predictFirstEvent(const backend_state&, const deployment_state&, time_point now) const;
    // Returns how many slots of each of `servers` servers are kept free for more urgent requests, which other gateways
    // send too, until the next reports.
    double reservedSlots(const pick_request&, const deployment_state&, std::size_t servers) const;
    // Returns true if a returning request must yield its slot to new requests: neither this gateway's share of the
    // slots nor the reported load of all servers leaves capacity beyond the slots reserved for new callers.
    bool mustYieldToNew(const pick_request&, const deployment_state&, time_point now) const;
    pass_model passModelOf(const backend_state&, const engine_model&) const;
    // Refuses a request for which all slots are taken or reserved. `chosen`: the least loaded server.
    refused_pick refuseForLoad(
        const backend_state& chosen, const deployment_state&, const pick_request&, time_point now);
    // Builds a refusal. `wait`: time until the request could be sent. `startLatency`: time to its first event after
    // that.
    refused_pick refuse(refusal_reason, duration wait, duration startLatency, const pick_request&, time_point now);
    // Returns the interval at which this gateway may have refused callers return to the deployment of the server; 0
    // without an engine model.
    duration returnInterval(const backend_state&, const pick_request&) const;
    // Returns the expected time to the first event once a slot of the server is free.
    duration startLatencyAt(const backend_state&, const deployment_state&) const;
    // Returns how many gateways that send as much as this one would send all requests to a server, and to all servers.
    double equivalentGateways(const deployment_state& deployment) const
    {
        return deployment.share.equivalentGateways(m_gatewayCount);
    }
    double allEquivalentGateways(const deployment_state& deployment) const
    {
        return std::max(1.0, equivalentGateways(deployment) * m_allGatewayCount / m_gatewayCount);
    }
    // Returns whether the request would use neither a slot of others nor one that is kept for more urgent requests.
    // `servers`: number of servers that it may be sent to.
    bool hasFreeSlot(
        const backend_state&, const deployment_state&, const pick_request&, std::size_t servers, time_point now) const;
    // Returns a server with a free slot whose limit must be confirmed by another request; null if there is none.
    backend_state* findUnconfirmed(
        const std::vector<backend_state*>&, const deployment_state&, const pick_request&, time_point now) const;
    backend_state& choose(
        const std::vector<backend_state*>&, const deployment_state&, const pick_request&, time_point now);
    static void updateRequestRate(deployment_state&, time_point now);
    // Returns true if the server is in service and is not in an evacuated data centre.
    bool isInUse(const backend_state& state) const
    {
        return !state.server.isLeaving && !m_evacuated.contains(state.server.dataCentre);
    }
    // Returns true if the server belongs to `deployment` and accepts new work.
    bool isServing(const backend_state&, const deployment_id&, time_point now) const;
    // Returns the servers that the request may be sent to, leaving aside their groups and permits.
    std::vector<backend_state*> candidates(const pick_request&, time_point now);
    // Returns whether the server is in a region to which the request is restricted, if it is.
    bool isAtHome(const backend_state&, const pick_request&) const;
    bool isCold(const backend_state& state, time_point now) const
    {
        return now < std::max(state.server.coldUntil, state.reportedColdUntil);
    }
    // Returns the interval at which this gateway may send requests to a cold server of the deployment.
    duration coldInterval(const deployment_state&) const;
    // Returns whether the server is warm, or cold and this gateway may send it a request now.
    bool mayStartOn(backend_state&, time_point now);
    // Refuses a request that has no candidates.
    refused_pick refuseForNoCandidates(const pick_request&, time_point now);

    const options m_options;
    std::minstd_rand m_random;
    backend_notices m_notices;
    std::uint32_t m_gatewayCount = 1; // Gateways that send to the same server.
    std::uint32_t m_allGatewayCount = 1;
    std::set<data_centre_id> m_evacuated;
    std::map<backend_id, backend_state> m_backends;
    // Servers at each address: an address may be listed for a server that has ended and for its successor.
    std::map<endpoint, std::vector<backend_id>> m_backendsAt;
    std::map<deployment_id, deployment_state> m_deployments;
    group_directory m_groups;
    std::function<void(const backend_server&, std::uint64_t serial)> m_sendPermitRequest;
};

} // namespace coltsfootbend
