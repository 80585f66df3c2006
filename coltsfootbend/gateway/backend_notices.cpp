#include "coltsfootbend/gateway/backend_notices.h"

#include "coltsfootbend/base/text.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

std::string limitText(const limit_statement& limit) { return limit.isNamed ? fixedText(limit.perSecond, 2) : "none"; }

} // namespace

backend_notices::server_state* backend_notices::enterLife(const backend_id& id, backend_life life)
{
    auto& state = m_servers[id];
    if (life == state.life || life.isNone())
        return &state;
    if (life < state.life)
        return nullptr;
    if (!state.life.isNone())
        state = {};
    state.life = life;
    return &state;
}

const backend_notices::server_state* backend_notices::find(const backend_instance& server) const
{
    const auto found = m_servers.find(server.id);
    if (found == m_servers.end())
        return nullptr;
    const auto life = found->second.life;
    const bool isSame = life == server.life || life.isNone() || server.life.isNone();
    return isSame ? &found->second : nullptr;
}

std::string backend_notices::takeLimit(server_state& state, const limit_statement& limit)
{
    const auto before = std::exchange(state.limit, limit);
    if (limitText(before) == limitText(limit))
        return {};
    if (!limit.isNamed) {
        state.permitUntil = {};
        state.wishUntil = {};
    }
    return "limit_per_s=" + limitText(limit) + " before=" + limitText(before);
}

// A shorter rest does not shorten a longer one that the server has asked for before.
std::string backend_notices::takeRest(server_state& state, duration length, time_point now)
{
    const auto until = now + length;
    if (until <= state.restUntil)
        return {};
    state.restUntil = until;
    return "rest_s=" + fixedText(toMilliseconds(length) / 1000, 2);
}

std::string backend_notices::takeLimitOf(
    server_state& state, const backend_notice& notice, time_point sentAt, time_point now) const
{
    const auto life = state.life.number();
    if (notice.requestsPerSecond)
        return takeLimit(
            state, { .serverIncarnation = life, .perSecond = *notice.requestsPerSecond, .isNamed = true, .at = now });
    // Answers overtake each other: only one to a later request shows that the server names no limit any more.
    if (!notice.endsLimit || !state.limit.isNamed || sentAt <= state.limit.at)
        return {};
    return takeLimit(state, { .serverIncarnation = life, .perSecond = 0, .isNamed = false, .at = now });
}

std::string backend_notices::hearAnswer(
    const backend_instance& server, const backend_notice& notice, time_point sentAt, time_point now)
{
    if (!notice.isAny() && !m_servers.contains(server.id))
        return {};
    auto* state = enterLife(server.id, server.life);
    if (!state)
        return {};
    state->heardAt = now;
    auto news = takeLimitOf(*state, notice, sentAt, now);
    if (notice.rest)
        news += (news.empty() ? "" : " ") + takeRest(*state, *notice.rest, now);
    if (notice.isLeaving && !std::exchange(state->isLeaving, true))
        news += std::string(news.empty() ? "" : " ") + "leaving=yes";
    return news;
}

std::string backend_notices::hearOthers(const backend_id& id, const limit_statement& limit, time_point now)
{
    auto* state = enterLife(id, backend_life(limit.serverIncarnation));
    if (!state)
        return {};
    state->heardAt = now;
    return state->limit.isSupersededBy(limit) ? takeLimit(*state, limit) : std::string();
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

std::optional<time_point> backend_notices::closedUntil(const backend_instance& server, time_point now) const
{
    const auto* state = find(server);
    if (!state || (now >= state->restUntil && !state->isLeaving))
        return std::nullopt;
    return state->isLeaving ? time_point::max() : state->restUntil;
}

bool backend_notices::isLeaving(const backend_instance& server) const
{
    const auto* state = find(server);
    return state && state->isLeaving;
}

bool backend_notices::mayTake(const backend_instance& server, time_point now) const
{
    const auto* state = find(server);
    if (!state)
        return true;
    return !isClosed(server, now) && (!state->limit.isNamed || now < state->permitUntil);
}

bool backend_notices::take(const backend_instance& server, time_point now)
{
    if (!mayTake(server, now))
        return false;
    if (isLimited(server))
        m_servers.at(server.id).permitUntil = {};
    return true;
}

std::optional<std::uint64_t> backend_notices::wish(const backend_instance& server, time_point now)
{
    if (mayTake(server, now) || isClosed(server, now))
        return std::nullopt;
    auto& state = m_servers.at(server.id);
    if (now < state.wishUntil)
        return std::nullopt;
    state.wishUntil = now + m_options.wishLimit;
    state.wishSerial = ++m_lastSerial;
    return state.wishSerial;
}

void backend_notices::expectPermit(
    const backend_id& id, std::uint64_t serial, time_point expectedAt, std::uint32_t askers)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end() || found->second.wishSerial != serial)
        return;
    found->second.permitExpectedAt = expectedAt;
    found->second.askers = std::max(1U, askers);
}

void backend_notices::grant(const backend_id& id, std::uint64_t serial, time_point now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end() || found->second.wishSerial != serial || now >= found->second.wishUntil)
        return;
    found->second.wishUntil = {};
    found->second.permitUntil = now + m_options.permitLimit;
}

time_point backend_notices::expectedAt(const backend_instance& server, time_point now) const
{
    const auto* state = find(server);
    return state && now < state->wishUntil ? std::max(now, state->permitExpectedAt) : now;
}

double backend_notices::shareOf(const backend_instance& server) const
{
    const auto* state = find(server);
    return state && state->limit.isNamed ? state->limit.perSecond / state->askers : 0;
}

void backend_notices::expire(time_point now)
{
    std::erase_if(m_servers, [&](const auto& entry) { return now >= entry.second.heardAt + m_options.memory; });
}

} // namespace coltsfootbend
