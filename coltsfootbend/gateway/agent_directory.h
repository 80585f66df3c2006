#pragma once

// Where the rank agents are, by the list of backend servers: each engine has one beside it. Not for engines' own news:
// see `gateway/engine_report.h`.
//
//     agent_directory agents(watch, settings.peers.port);
//     for (const auto& agent : agents.all()) ...
//     const auto witnesses = agents.near(server);

#include "coltsfootbend/gateway/deployment_watch.h"

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

private:
    // Engines have an agent beside them.
    bool hasAgent(const backend_server&) const;
    endpoint beside(const backend_server& server) const { return { server.address.ip, m_port }; }

    const deployment_watch& m_watch;
    const std::uint16_t m_port;
    std::minstd_rand m_random { std::random_device {}() };
};

} // namespace coltsfootbend
