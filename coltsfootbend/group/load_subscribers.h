#pragma once

// The gateways that a rank agent tells its engine's load, and what each of them knows of the deployment: who knows more
// than another, when the store was last heard by any of them, and who of them follows it for all. Takes the time and
// decides; sends nothing itself.
//
//     subscribers.hear(address, knowledge, now + length, now);
//     for (const auto& [address, gateway] : subscribers.all()) ...

#include "coltsfootbend/base/time.h"
#include "coltsfootbend/net/byte_stream.h"
#include "coltsfootbend/wire/messages.h"

#include <map>
#include <optional>
#include <random>

namespace coltsfootbend {

class load_subscribers {
public:
    struct subscriber {
        time_point until {};
        time_point heardAt {};
        wire::deployment_knowledge knows; // As of `heardAt`.
    };

    explicit load_subscribers(std::uint32_t seed)
        : m_random(seed)
    {
    }

    void hear(const endpoint&, wire::deployment_knowledge, time_point until, time_point now);
    void expire(time_point now);
    const std::map<endpoint, subscriber>& all() const { return m_subscribers; }

    // A gateway that knows more of the deployment than `asker`, or null.
    const endpoint* findInformed(const subscriber& asker);

    // The youngest confirmation of a table by any gateway, aged until `now`.
    wire::store_confirmation configuration(time_point now) const;
    wire::store_confirmation servers(time_point now) const;

    // Who follows the store, who asks it in between, and who rests. All agents that hear the same gateways say the
    // same. O(gateways).
    std::map<endpoint, wire::store_duty> duties() const;

private:
    wire::store_confirmation youngest(
        wire::store_confirmation wire::deployment_knowledge::*table, time_point now) const;

    std::map<endpoint, subscriber> m_subscribers;
    std::minstd_rand m_random;
};

} // namespace coltsfootbend
