#include "coltsfootbend/gateway/silence_guard.h"

#include <utility>

namespace coltsfootbend {

guarded_wait::guarded_wait(silence_guard& guard, backend_instance server, backend_connection_ptr connection)
    : m_guard(guard)
    , m_server(std::move(server))
    , m_connection(std::move(connection))
{
    m_guard.m_waits.insert(this);
}

guarded_wait::~guarded_wait() { m_guard.m_waits.erase(this); }

void silence_guard::check(const std::function<bool(const backend_instance&)>& isMoving, time_point now)
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
