#pragma once

// Gives up waits for servers that are silent while their group makes passes. A silent server of a group that stands
// still says nothing: all ranks wait for the same one, another server would not answer sooner, and what runs there goes
// on when the group does. Cheaper than a timer a stream: one look at all waits ten times a second. Not for the limits
// of a caller, which end a wait in any case.
//
//     watched_response wait(guard, server, connection);
//     wait.giveUpAt(clock_type::now() + 900ms, clock_type::now() + 1900ms);
//     auto bytes = connection->readBody(limit);
//     if (!bytes && wait.isGivenUp()) ...

#include "coltsfootbend/gateway/backend_connection.h"
#include "coltsfootbend/gateway/backend_directory.h"

#include <functional>
#include <set>

namespace coltsfootbend {

class watched_response;

class response_watchdog {
public:
    // Closes the connection of every wait that is due and whose server's group moves. O(waits).
    void check(const std::function<bool(const backend_instance&)>& isMoving, time_point now);

private:
    friend class watched_response;
    std::set<watched_response*> m_waits;
};

// One wait, for as long as it exists. Must not outlive its guard.
class watched_response {
public:
    watched_response(response_watchdog&, backend_instance, backend_connection_ptr);
    ~watched_response();
    watched_response(const watched_response&) = delete;
    watched_response& operator=(const watched_response&) = delete;

    // From when on a silent server is given up while its group moves, and in any case. Replaces the former moments.
    void giveUpAt(time_point whileMoving, time_point inAnyCase)
    {
        m_whileMoving = whileMoving;
        m_inAnyCase = inAnyCase;
    }
    void waitOn() { giveUpAt(time_point::max(), time_point::max()); }
    bool isGivenUp() const { return m_isGivenUp; }

private:
    friend class response_watchdog;

    response_watchdog& m_guard;
    const backend_instance m_server;
    const backend_connection_ptr m_connection;
    time_point m_whileMoving = time_point::max();
    time_point m_inAnyCase = time_point::max();
    bool m_isGivenUp = false;
};

} // namespace coltsfootbend
