#include "coltsfootbend/gateway/backend_notices.h"

#include "coltsfootbend/base/text.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

std::string limitText(const limit_statement& limit) { return limit.isNamed ? fixedText(limit.perSecond, 2) : "none"; }

} // namespace

backend_notices::server_state* backend_notices::enterIncarnation(const backend_id& id, backend_incarnation incarnation)
{
    auto& state = m_servers[id];
    if (incarnation == state.incarnation || incarnation.isNone())
        return &state;
    if (incarnation < state.incarnation)
        return nullptr;
    if (!state.incarnation.isNone())
        state = {};
    state.incarnation = incarnation;
    return &state;
}

const backend_notices::server_state* backend_notices::find(const backend_instance& server) const
{
    const auto found = m_servers.find(server.id);
    if (found == m_servers.end())
        return nullptr;
    const auto incarnation = found->second.incarnation;
    const bool isSame = incarnation == server.incarnation || incarnation.isNone() || server.incarnation.isNone();
    return isSame ? &found->second : nullptr;
}

std::string backend_notices::applyLimit(server_state& state, const limit_statement& limit)
{
    const auto before = std::exchange(state.limit, limit);
    if (limitText(before) == limitText(limit))
        return {};
    if (!limit.isNamed) {
        state.permitUntil = {};
        state.requestPendingUntil = {};
    }
    return "limit_per_s=" + limitText(limit) + " before=" + limitText(before);
}

// A later notice with a shorter backoff does not shorten an earlier, longer one.
std::string backend_notices::applyBackoff(server_state& state, duration length, time_point now)
{
    const auto until = now + length;
    if (until <= state.backoffUntil)
        return {};
    state.backoffUntil = until;
    return "rest_s=" + fixedText(toMilliseconds(length) / 1000, 2);
}

std::string backend_notices::applyNoticeLimit(
    server_state& state, const backend_notice& notice, time_point sentAt, time_point now) const
{
    const auto incarnation = state.incarnation.number();
    if (notice.requestsPerSecond)
        return applyLimit(state,
            { .serverIncarnation = incarnation, .perSecond = *notice.requestsPerSecond, .isNamed = true, .at = now });
    // Answers overtake each other: only the answer to a request sent after the limit was received can end the limit.
    if (!notice.endsLimit || !state.limit.isNamed || sentAt <= state.limit.at)
        return {};
    return applyLimit(state, { .serverIncarnation = incarnation, .perSecond = 0, .isNamed = false, .at = now });
}

std::string backend_notices::receiveAnswer(
    const backend_instance& server, const backend_notice& notice, time_point sentAt, time_point now)
{
    if (!notice.isAny() && !m_servers.contains(server.id))
        return {};
    auto* state = enterIncarnation(server.id, server.incarnation);
    if (!state)
        return {};
    state->lastReceivedAt = now;
    auto changes = applyNoticeLimit(*state, notice, sentAt, now);
    if (notice.backoff)
        changes += (changes.empty() ? "" : " ") + applyBackoff(*state, *notice.backoff, now);
    if (notice.isLeaving && !std::exchange(state->isLeaving, true))
        changes += std::string(changes.empty() ? "" : " ") + "leaving=yes";
    return changes;
}

std::string backend_notices::receiveStatement(const backend_id& id, const limit_statement& limit, time_point now)
{
    auto* state = enterIncarnation(id, backend_incarnation(limit.serverIncarnation));
    if (!state)
        return {};
    state->lastReceivedAt = now;
    return state->limit.isSupersededBy(limit) ? applyLimit(*state, limit) : std::string();
}

std::optional<limit_statement> backend_notices::limitOf(const backend_instance& server) const
{
    const auto* state = find(server);
    return state && state->limit.at != time_point {} ? std::optional(state->limit) : std::nullopt;
}

bool backend_notices::isLimited(const backend_instance& server) const
{
    const auto* state = find(server);
    return state && state->limit.isNamed;
}

bool backend_notices::mustConfirmLimit(const backend_instance& server, time_point now) const
{
    return isLimited(server) && now >= find(server)->limit.at + m_options.limitConfirmedFor;
}

std::optional<time_point> backend_notices::unavailableUntil(const backend_instance& server, time_point now) const
{
    const auto* state = find(server);
    if (!state || (now >= state->backoffUntil && !state->isLeaving))
        return std::nullopt;
    return state->isLeaving ? time_point::max() : state->backoffUntil;
}

bool backend_notices::isLeaving(const backend_instance& server) const
{
    const auto* state = find(server);
    return state && state->isLeaving;
}

bool backend_notices::canAcquire(const backend_instance& server, time_point now) const
{
    const auto* state = find(server);
    if (!state)
        return true;
    return !isUnavailable(server, now) && (!state->limit.isNamed || now < state->permitUntil);
}

bool backend_notices::tryAcquire(const backend_instance& server, time_point now)
{
    if (!canAcquire(server, now))
        return false;
    if (isLimited(server))
        m_servers.at(server.id).permitUntil = {};
    return true;
}

std::optional<std::uint64_t> backend_notices::beginPermitRequest(const backend_instance& server, time_point now)
{
    if (canAcquire(server, now) || isUnavailable(server, now))
        return std::nullopt;
    auto& state = m_servers.at(server.id);
    if (now < state.requestPendingUntil)
        return std::nullopt;
    state.requestPendingUntil = now + m_options.permitRequestTimeout;
    state.requestSerial = ++m_lastSerial;
    return state.requestSerial;
}

void backend_notices::expectPermit(
    const backend_id& id, std::uint64_t serial, time_point expectedAt, std::uint32_t requesters)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end() || found->second.requestSerial != serial)
        return;
    found->second.permitExpectedAt = expectedAt;
    found->second.requesters = std::max(1U, requesters);
}

void backend_notices::grant(const backend_id& id, std::uint64_t serial, time_point now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end() || found->second.requestSerial != serial || now >= found->second.requestPendingUntil)
        return;
    found->second.requestPendingUntil = {};
    found->second.permitUntil = now + m_options.permitLifetime;
}

time_point backend_notices::expectedAt(const backend_instance& server, time_point now) const
{
    const auto* state = find(server);
    return state && now < state->requestPendingUntil ? std::max(now, state->permitExpectedAt) : now;
}

double backend_notices::shareOf(const backend_instance& server) const
{
    const auto* state = find(server);
    return state && state->limit.isNamed ? state->limit.perSecond / state->requesters : 0;
}

void backend_notices::expire(time_point now)
{
    std::erase_if(
        m_servers, [&](const auto& entry) { return now >= entry.second.lastReceivedAt + m_options.retention; });
}

} // namespace coltsfootbend
