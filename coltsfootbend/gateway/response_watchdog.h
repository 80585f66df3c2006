#pragma once

// Closes the connection to a backend server that sends nothing although its group of engines makes passes, so that the
// request can be sent to another server. While the group is stalled, all its ranks wait for the same rank: another
// server would not respond sooner, and the request continues when the group does. One periodic check of all pending
// responses (ten times a second) is cheaper than a timer for each stream. The caller's deadline is not handled here; it
// ends a wait in any case.
//
//     watched_response response(watchdog, server, connection);
//     response.setDeadlines(clock_type::now() + 900ms, clock_type::now() + 1900ms);
//     auto bytes = connection->readBody(deadline);
//     if (!bytes && response.hasExpired()) ...

#include "coltsfootbend/gateway/backend_connection.h"
#include "coltsfootbend/gateway/backend_directory.h"

#include <functional>
#include <set>

namespace coltsfootbend {

class watched_response;

// The responses that the exchanges of a process wait for.
class response_watchdog {
public:
    // Closes the connections of responses that are past their final deadline, and of those that are past their first
    // deadline while the group of their server advances (`isAdvancing`). O(responses).
    void check(const std::function<bool(const backend_instance&)>& isAdvancing, time_point now);

private:
    friend class watched_response;
    std::set<watched_response*> m_responses;
};

// Registers one pending response with the watchdog as long as this object exists. Must not outlive the watchdog.
class watched_response {
public:
    watched_response(response_watchdog&, backend_instance, backend_connection_ptr);
    ~watched_response();
    watched_response(const watched_response&) = delete;
    watched_response& operator=(const watched_response&) = delete;

    // Sets the time at which the response expires while the group of its server advances, and the time at which it
    // expires in any case. Replaces the previous deadlines.
    void setDeadlines(time_point whileAdvancing, time_point finalDeadline)
    {
        m_deadlineWhileAdvancing = whileAdvancing;
        m_finalDeadline = finalDeadline;
    }
    // Lets the response take any time.
    void clearDeadlines() { setDeadlines(time_point::max(), time_point::max()); }
    // Returns true when the watchdog has closed the connection.
    bool hasExpired() const { return m_hasExpired; }

private:
    friend class response_watchdog;

    response_watchdog& m_watchdog;
    const backend_instance m_server;
    const backend_connection_ptr m_connection;
    time_point m_deadlineWhileAdvancing = time_point::max();
    time_point m_finalDeadline = time_point::max();
    bool m_hasExpired = false;
};

} // namespace coltsfootbend
