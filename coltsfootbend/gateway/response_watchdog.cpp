#include "coltsfootbend/gateway/response_watchdog.h"

#include <utility>

namespace coltsfootbend {

watched_response::watched_response(response_watchdog& guard, backend_instance server, backend_connection_ptr connection)
    : m_guard(guard)
    , m_server(std::move(server))
    , m_connection(std::move(connection))
{
    m_guard.m_waits.insert(this);
}

watched_response::~watched_response() { m_guard.m_waits.erase(this); }

void response_watchdog::check(const std::function<bool(const backend_instance&)>& isMoving, time_point now)
{
    for (auto* wait : m_waits) {
        const bool isDue = now >= wait->m_inAnyCase || (now >= wait->m_whileMoving && isMoving(wait->m_server));
        if (!isDue)
            continue;
        wait->m_isGivenUp = true;
        wait->waitOn();
        wait->m_connection->close();
    }
}

} // namespace coltsfootbend
