#pragma once

// Addresses of the rank agents, derived from the list of backend servers: each engine has an agent on its VM. Tracks
// which agents this gateway subscribes to and which of these are reachable. Doesn't hold the engines' reports: see
// `gateway/engine_report.h`.
//
//     agent_directory agents(watch, settings.peers.port);
//     agents.setUsedEngines(used.engines());
//     for (const auto& agent : agents.subscribed(now)) ...
//     const auto witnesses = agents.near(server);

#include "coltsfootbend/gateway/deployment_watch.h"
#include "coltsfootbend/permits/issuer_selector.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace coltsfootbend {

// Finds rank agents by server and tracks which of them are reachable.
class agent_directory {
public:
    // `port` is the internal port, which is the same for all agents.
    agent_directory(const deployment_watch& watch, std::uint16_t port)
        : m_watch(watch)
        , m_port(port)
    {
    }

    // Returns all agents in the order of their addresses. O(servers).
    std::vector<endpoint> all() const;
    // Returns the agent on the VM of `server`, if it has one, followed by the other agents of its data centre in random
    // order. O(servers).
    std::vector<endpoint> near(const backend_server&);
    // Sets the engines that this gateway sends requests to.
    void setUsedEngines(const std::vector<endpoint>& engines);
    // Returns the agents to subscribe to: those of the used engines, and those that recently issued permits. O(used).
    std::vector<endpoint> subscribed(time_point now);
    // Returns whether any engine is listed, and with it an agent. O(servers).
    bool hasAny() const;

    // Returns whether any agent has reported lately. O(agents).
    bool isAnyReachable(time_point now) const;

    // Records that a report has been received from the agent.
    void recordReport(const endpoint& agent, time_point now) { m_reachableUntil[agent] = now + reportTimeout; }
    // Records the agent's report that it has issued permits of the server for the time `issuingFor`.
    void recordIssuing(const backend_id& server, const endpoint& agent, duration issuingFor, time_point now)
    {
        m_issuers.recordIssuing(permit_subject(server.text()), agent, issuingFor, now);
    }
    // Returns the agent that issues permits for the server. The first choice is the one on its VM, or else one of its
    // data centre, or one of all agents if the data centre has none; another one is used while gateways that do not
    // reach the first choice use that one. Gateways with different subsets choose alike, so an agent counts as
    // unreachable only if this gateway has subscribed to it without receiving a report. Returns none while none of
    // these is reachable. O(servers).
    std::optional<endpoint> issuerFor(const backend_server&, time_point now);
    // Drops the agents that are no longer reachable.
    void expire(time_point now);

private:
    // Returns whether the server is an engine: only engines have an agent on their VM.
    bool hasAgent(const backend_server&) const;
    endpoint agentOf(const backend_server& server) const { return { server.address.ip, m_port }; }

    // Time after its last report for which an agent counts as reachable. Agents report their engine's load ten times a
    // second.
    static constexpr std::chrono::milliseconds reportTimeout { 1500 };

    // Time for which this gateway subscribes to an agent after a request for a permit.
    static constexpr std::chrono::seconds issuerInterest { 5 };

    bool isReachable(const endpoint& agent, time_point now) const;
    // Returns whether the agent is reachable, or its reports have not been awaited for long enough to tell.
    bool mayBeReachable(const endpoint& agent, time_point now) const;
    // Returns the reachable agents that may issue permits for the server, the first choice first.
    std::vector<endpoint> rankIssuers(const backend_server&, time_point now) const;

    const deployment_watch& m_watch;
    const std::uint16_t m_port;
    std::map<endpoint, time_point> m_reachableUntil;
    std::vector<endpoint> m_usedAgents;
    issuer_selector m_issuers;
    std::map<endpoint, time_point> m_issuerUntil; // Agents that permits were requested from recently.
    std::map<endpoint, time_point> m_subscribedSince;
    std::minstd_rand m_random { std::random_device {}() };
};

} // namespace coltsfootbend
