#include "coltsfootbend/gateway/response_watchdog.h"

#include <utility>

namespace coltsfootbend {

watched_response::watched_response(
    response_watchdog& watchdog, backend_instance server, backend_connection_ptr connection)
    : m_watchdog(watchdog)
    , m_server(std::move(server))
    , m_connection(std::move(connection))
{
    m_watchdog.m_responses.insert(this);
}

watched_response::~watched_response() { m_watchdog.m_responses.erase(this); }

void response_watchdog::check(const std::function<bool(const backend_instance&)>& isAdvancing, time_point now)
{
    for (auto* response : m_responses) {
        const bool isOverdue = now >= response->m_finalDeadline
            || (now >= response->m_deadlineWhileAdvancing && isAdvancing(response->m_server));
        if (!isOverdue)
            continue;
        response->m_hasExpired = true;
        response->clearDeadlines();
        response->m_connection->close();
    }
}

} // namespace coltsfootbend
