#pragma once

// The backend servers that are registered in the store. A server that announces that it leaves gets no new work; one
// whose registration has vanished is removed at once, unless the store has just been unavailable: registrations lapse
// during an outage and are renewed after it, so they are kept for a grace period after its end. An outage may be too
// short to be noticed otherwise than by most registrations of a deployment lapsing at once. If the store comes back
// from an older copy, registrations are missing until they are renewed, and those of servers that have left are back.
// Deterministic. Doesn't track how well a server answers: see `gateway/backend_picker.h`.
//
//     directory.put(server);
//     directory.removeIsolatedLapses(now);
//     for (const auto& [id, server] : directory.servers()) ...

#include "coltsfootbend/base/id.h"
#include "coltsfootbend/base/time.h"
#include "coltsfootbend/net/byte_stream.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace coltsfootbend {

// Registered name of a backend server, which may stay the same across restarts.
using backend_id = text_id<struct backend_tag>;
// Incarnation of a backend server: the Unix millisecond of its start; none if not reported. A later incarnation has the
// higher number, and knows nothing of requests and orders that an earlier one received.
using backend_incarnation = number_id<struct backend_incarnation_tag>;

// Identifies one incarnation of a server. State that is kept about a server belongs to one incarnation.
struct backend_instance {
    backend_id id;
    backend_incarnation incarnation;
    auto operator<=>(const backend_instance&) const = default;
};

// A registration of a backend server.
struct backend_server {
    backend_id id;
    deployment_id deployment;
    endpoint address;
    data_centre_id dataCentre;
    std::uint32_t slots = 1;
    bool isLeaving = false;
    backend_incarnation incarnation;
    // Until then the server has not warmed up since its start, and accepts few requests.
    time_point coldUntil {};

    backend_instance instance() const { return { id, incarnation }; }
};

// Holds the registered servers and decides when a lapsed registration removes its server.
class backend_directory {
public:
    struct options {
        // Grace period after the store's return, within which registrations that lapsed during the outage must be
        // renewed. The platform states "about two seconds".
        duration registrationGracePeriod = std::chrono::milliseconds(2200);
        // The same where most registrations lapse without a noticed outage. Shorter, because the servers may have left:
        // these must get no requests two seconds later.
        duration unnoticedOutageGracePeriod = std::chrono::milliseconds(1500);
        // Shorter outages let no registration lapse: heartbeats are sent about every second.
        duration outageThreshold = std::chrono::milliseconds(800);
        // Time for which a server that has left is remembered. The store's copies are some seconds old.
        duration departureRetention = std::chrono::seconds(60);
        // Time for which a registration that the store has brought back must remain before a server that was known to
        // have left is used again. The platform removes a registration after three heartbeats of 1.2 s without one.
        duration returnProofTime = std::chrono::seconds(5);
        // Time after the removal of a registration within which the server's end is not planned. A server that leaves
        // as planned serves for two seconds after its registration is removed, of which this process may be notified
        // late. A VM that is busy or has just resumed may notice the removal before the broken connections of a crash.
        duration unplannedEndTime = std::chrono::milliseconds(300);
    };

    backend_directory()
        : backend_directory(options {})
    {
    }
    explicit backend_directory(const options& options)
        : m_options(options)
    {
    }

    // Adds or replaces a registration; one of an earlier incarnation than the known one is dropped. Returns whether it
    // was accepted.
    bool put(const backend_server&);
    // Adds or replaces a registration that the store has brought back from an older copy, as above. An incarnation that
    // has announced its leaving remains leaving. One that has left is withheld: it is added by a later registration, or
    // by `admitReturned`. Returns whether it was added.
    bool putRestored(const backend_server&, time_point now);
    // Removes a server whose registration cannot be decoded, whether or not the store is available.
    void discard(const backend_id& id);
    // Removes a server whose registration was deleted, at once or after the grace period.
    void remove(const backend_id& id, time_point now);
    // Removes every server that is not in `present`, as above.
    void retainOnly(const std::vector<backend_id>& present, time_point now);

    // Record that the store stopped answering, or answers again, at `now`.
    void storeFailed(time_point now);
    void storeAnswered(time_point now);
    // Records that the store has come back from an older copy at `now`. Missing registrations are awaited for the grace
    // period.
    void storeRestored(time_point now);

    // Removes the lapsed servers of each deployment of which most servers are still registered: after an outage of the
    // store itself, most registrations have lapsed. Takes back the servers that were removed since the last call if
    // they were most of their deployment. To be called after all changes of a page are applied. O(servers).
    void removeIsolatedLapses(time_point now);

    // Removes servers whose registration was not renewed in time. Returns how many.
    std::size_t expire(time_point now);
    // Adds the withheld servers whose registrations the platform has kept for long enough to show that they are
    // renewed. Returns these servers.
    std::vector<backend_server> admitReturned(time_point now);

    const std::map<backend_id, backend_server>& servers() const { return m_servers; }
    // Returns the server, or null if it is unknown.
    const backend_server* find(const backend_id&) const;
    // Returns whether the server leaves as planned: it has announced its leaving, or has not been registered for longer
    // than `unplannedEndTime`.
    bool leavesAsPlanned(const backend_server&, time_point now) const;
    // Returns the servers that are registered at an address. O(servers).
    std::set<backend_instance> listedAt(const endpoint& address) const;

private:
    // A server that is no longer registered.
    struct departure {
        backend_incarnation incarnation;
        time_point at {};
        bool wasAnnounced = false;
    };

    // A registration that is not used until the time is over, because its server was known to have left.
    struct withheld_registration {
        backend_server server;
        time_point until {};
    };

    void restoreMassRemovals(time_point now);
    // Removes a server of the list and records its departure.
    void erase(const backend_id&, time_point now);

    const options m_options;
    std::map<backend_id, backend_server> m_servers;
    // Servers in service that were removed since the last call of `removeIsolatedLapses`.
    std::vector<backend_server> m_justRemoved;
    // Servers whose registration lapsed, and until when each is kept.
    std::map<backend_id, time_point> m_lapsed;
    // Deployments of which most registrations lapsed, and until when their renewal is awaited.
    std::map<deployment_id, time_point> m_massLapses;
    // The latest departures.
    std::map<backend_id, departure> m_departures;
    std::map<backend_id, withheld_registration> m_withheld;
    std::optional<time_point> m_failingSince;
    time_point m_keepLapsedUntil {};
    // Until then registrations may be missing because the store came back from an older copy.
    time_point m_restoredUntil {};
};

} // namespace coltsfootbend
