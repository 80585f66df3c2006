#pragma once

// Where the rank agents are, by the list of backend servers: each engine has one beside it. Not for engines' own news:
// see `gateway/engine_report.h`.
//
//     agent_directory agents(watch, settings.peers.port);
//     for (const auto& agent : agents.all()) ...
//     const auto witnesses = agents.near(server);

#include "coltsfootbend/gateway/deployment_watch.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace coltsfootbend {

class agent_directory {
public:
    // `port`: the internal one, which all agents share.
    agent_directory(const deployment_watch& watch, std::uint16_t port)
        : m_watch(watch)
        , m_port(port)
    {
    }

    // In the order of their addresses. O(servers).
    std::vector<endpoint> all() const;
    // The agent beside `server`, if it has one, and then others of its data centre in any order. O(servers).
    std::vector<endpoint> near(const backend_server&);
    // Whether any engine is listed. O(servers).
    bool hasAny() const;

    // News have come from the agent.
    void heard(const endpoint& agent, time_point now) { m_heardUntil[agent] = now + heardLimit; }
    // The one agent that issues permits for `server`: the one beside it, else one of its data centre, or of all where
    // its own has none. None while none of these is heard. O(servers).
    std::optional<endpoint> issuerFor(const backend_server&, time_point now) const;
    void expire(time_point now);

private:
    // Engines have an agent beside them.
    bool hasAgent(const backend_server&) const;
    endpoint beside(const backend_server& server) const { return { server.address.ip, m_port }; }

    // Agents tell their engine's load ten times a second.
    static constexpr std::chrono::milliseconds heardLimit { 1500 };

    bool isHeard(const endpoint& agent, time_point now) const;

    const deployment_watch& m_watch;
    const std::uint16_t m_port;
    std::map<endpoint, time_point> m_heardUntil;
    std::minstd_rand m_random { std::random_device {}() };
};

} // namespace coltsfootbend
