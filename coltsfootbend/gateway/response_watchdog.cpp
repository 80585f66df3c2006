#include "coltsfootbend/gateway/response_watchdog.h"

#include <algorithm>
#include <utility>

namespace coltsfootbend {

watched_response::watched_response(
    response_watchdog& watchdog, backend_instance server, std::function<void()> onOverdue)
    : m_watchdog(watchdog)
    , m_server(std::move(server))
    , m_onOverdue(std::move(onOverdue))
{
    m_watchdog.m_responses.insert(this);
}

watched_response::~watched_response() { m_watchdog.m_responses.erase(this); }

void response_watchdog::check(
    const std::function<server_condition(const backend_instance&)>& conditionOf, time_point now)
{
    for (auto* response : m_responses) {
        // The condition matters only for responses that are overdue under some condition.
        const auto earliest = std::min(
            { response->m_times.whileSending, response->m_times.whileSilent, response->m_times.whileStalled });
        if (now >= earliest && isOverdue(response->m_times, conditionOf(response->m_server), now))
            response->m_onOverdue();
    }
}

} // namespace coltsfootbend
