#pragma once

// The gateways that subscribe to the load of a rank agent's engine, and what each of them knows of the deployment.
// Determines which gateways have newer tables than others, when any gateway last confirmed a table with the store, and
// which gateways poll the store on behalf of all. Takes the time as an argument and sends nothing itself.
//
//     subscribers.subscribe(address, knowledge, now + lifetime, now);
//     for (const auto& [address, gateway] : subscribers.all()) ...

#include "coltsfootbend/base/time.h"
#include "coltsfootbend/net/byte_stream.h"
#include "coltsfootbend/store/store_revision.h"
#include "coltsfootbend/wire/messages.h"

#include <map>
#include <optional>
#include <random>

namespace coltsfootbend {

class load_subscribers {
public:
    struct subscriber {
        time_point expiresAt {}; // No updates are sent after this time.
        time_point receivedAt {}; // Time of the last message.
        wire::deployment_knowledge knowledge; // As of `receivedAt`.
    };

    explicit load_subscribers(std::uint32_t seed)
        : m_random(seed)
    {
    }

    // Adds the gateway, or renews its subscription, until `expiresAt`.
    void subscribe(const endpoint&, wire::deployment_knowledge, time_point expiresAt, time_point now);
    // Removes subscriptions that have expired.
    void expire(time_point now);
    const std::map<endpoint, subscriber>& all() const { return m_subscribers; }

    // Returns the address of a gateway that has a newer table of the deployment than `requester`, or a newer
    // configuration in force, or null. O(gateways)
    // if there is one; otherwise constant until the next call of `subscribe` or `expire`.
    const endpoint* findNewerSource(const subscriber& requester);

    // Return the most recent confirmation of a table by any gateway, with its age as of `now`.
    wire::store_confirmation configuration(time_point now) const;
    wire::store_confirmation servers(time_point now) const;

    // Returns which gateways follow the store, which one also checks it in between, and which ones do not read it. All
    // agents with the same subscribers return the same. O(gateways).
    std::map<endpoint, wire::store_duty> duties() const;

private:
    // What a gateway knows of the deployment.
    struct known_state {
        store_revision configuration;
        store_revision servers;
        std::uint64_t version = 0; // Of the configuration in force.

        // Returns whether this is newer than `other` in any respect.
        bool isAheadOf(const known_state& other) const
        {
            return configuration > other.configuration || servers > other.servers || version > other.version;
        }
    };
    static known_state stateOf(const subscriber&);
    // Returns the newest state of each table, and the newest version in force, that any gateway knows.
    const known_state& newestState();
    // Returns the latest confirmation in the latest era in which a gateway knows the table.
    wire::store_confirmation newestConfirmation(
        wire::store_confirmation wire::deployment_knowledge::*table, time_point now) const;

    std::map<endpoint, subscriber> m_subscribers;
    std::optional<known_state> m_newestState; // None after a change of the subscribers.
    std::minstd_rand m_random;
};

} // namespace coltsfootbend
