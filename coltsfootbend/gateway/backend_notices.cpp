#include "coltsfootbend/gateway/backend_notices.h"

#include "coltsfootbend/base/text.h"

namespace coltsfootbend {

namespace {

std::string limitText(const std::optional<double>& requestsPerSecond)
{
    return requestsPerSecond ? fixedText(*requestsPerSecond, 2) : "none";
}

} // namespace

backend_notices::server_state* backend_notices::enterLife(const backend_instance& instance)
{
    auto& state = m_servers[instance.id];
    if (instance.life == state.life || instance.life.isNone())
        return &state;
    if (instance.life < state.life)
        return nullptr;
    if (!state.life.isNone())
        state = {};
    state.life = instance.life;
    return &state;
}

std::string backend_notices::hearAnswer(
    const backend_instance& server, const backend_notice& notice, time_point sentAt, time_point now)
{
    auto* state = enterLife(server);
    if (!state)
        return {};
    const auto before = state->requestsPerSecond;
    if (notice.requestsPerSecond) {
        state->requestsPerSecond = notice.requestsPerSecond;
        state->namedAt = now;
    } else if (before && !notice.isLimitUnreadable && sentAt > state->namedAt) {
        // Answers overtake each other: only one to a later request shows that the server names no limit any more.
        state->requestsPerSecond.reset();
    }
    if (before == state->requestsPerSecond)
        return {};
    return "limit_per_s=" + limitText(state->requestsPerSecond) + " before=" + limitText(before);
}

} // namespace coltsfootbend
