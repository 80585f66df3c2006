#pragma once

// Exchanges relayed orders between agents: sends them to other agents, and answers them for the own rank and for the
// ranks below it in the tree. Not for the shape of the tree: see `group/order_relay.h`.
//
//     peer_relay_transport transport(peers, port);
//     order_relay relay(runtime, transport);
//     relay_node node(runtime, participant, relay);
//     node.registerHandler(peers);

#include "coltsfootbend/group/map_participant.h"
#include "coltsfootbend/group/order_relay.h"
#include "coltsfootbend/wire/peer.h"

#include <cstdint>
#include <functional>

namespace coltsfootbend {

// Sends relayed orders over connections between agents.
class peer_relay_transport final : public relay_transport {
public:
    // `port` is the one on which all agents accept peers.
    peer_relay_transport(peer_client& peers, std::uint16_t port)
        : m_peers(peers)
        , m_port(port)
    {
    }

    result<wire::relayed_answers> send(const wire::relayed_order&, time_point deadline) override;

private:
    result<wire::relayed_answers> awaitAnswers(peer_stream&, time_point deadline);

    peer_client& m_peers;
    const std::uint16_t m_port;
};

// One agent's place in the tree.
class relay_node {
public:
    relay_node(fiber_runtime& runtime, map_participant& own, order_relay& relay)
        : m_runtime(runtime)
        , m_participant(own)
        , m_relay(relay)
    {
    }

    // Registers this node as the handler of `relayed_order` messages.
    void registerHandler(peer_service&);

    // Carries out `order` for the own rank and concurrently relays it to the others. Returns the answers received until
    // `deadline`. Blocks the calling fiber.
    wire::relayed_answers answer(const wire::relayed_order& order, time_point deadline);

private:
    gathered_states answerForOwnRank(const wire::relayed_order&, time_point deadline);
    void serve(peer_stream&, const wire::relayed_order&);

    fiber_runtime& m_runtime;
    map_participant& m_participant;
    order_relay& m_relay;
};

} // namespace coltsfootbend
