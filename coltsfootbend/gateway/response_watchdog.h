#pragma once

// Notifies exchanges whose responses are overdue, so that they can make another backend server ready. One periodic
// check of all pending responses (ten times a second) is cheaper than a timer for each stream. Does not end a response:
// the exchange does, once another server has begun its own. The caller's deadline is not handled here; it ends a wait
// in any case.
//
//     watched_response response(watchdog, server, [this] { prepareAnotherServer(); });
//     response.setOverdueTimes(streamOverdueTimes(route, lastDataAt));
//     auto bytes = connection->readBody(deadline);

#include "coltsfootbend/gateway/backend_directory.h"
#include "coltsfootbend/gateway/silence_policy.h"

#include <functional>
#include <set>

namespace coltsfootbend {

class watched_response;

// The responses that the exchanges of a process wait for.
class response_watchdog {
public:
    // Notifies the exchanges of all overdue responses. `conditionOf` returns the condition of a server. O(responses).
    void check(const std::function<server_condition(const backend_instance&)>& conditionOf, time_point now);

private:
    friend class watched_response;
    std::set<watched_response*> m_responses;
};

// Registers one pending response with the watchdog as long as this object exists. Must not outlive the watchdog.
class watched_response {
public:
    // `onOverdue` is called at each check while the response is overdue. It must neither block nor begin or end a
    // watched response.
    watched_response(response_watchdog&, backend_instance, std::function<void()> onOverdue);
    ~watched_response();
    watched_response(const watched_response&) = delete;
    watched_response& operator=(const watched_response&) = delete;

    // Sets when the response is overdue. Replaces the previous times.
    void setOverdueTimes(const overdue_times& times) { m_times = times; }

private:
    friend class response_watchdog;

    response_watchdog& m_watchdog;
    const backend_instance m_server;
    const std::function<void()> m_onOverdue;
    overdue_times m_times;
};

} // namespace coltsfootbend
