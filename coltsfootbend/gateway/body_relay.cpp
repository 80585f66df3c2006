#include "coltsfootbend/gateway/body_relay.h"

#include <utility>

namespace coltsfootbend {

namespace {

// A buffered response is copied once more while it is sent.
constexpr std::size_t copiesWhileSending = 2;

result<void> callerLost() { return fail(error_kind::Lost, "the caller disconnected", ""); }

} // namespace

body_relay::body_relay(http_responder& responder, buffer_budget& budget, options options)
    : m_responder(responder)
    , m_mayForward(options.mayForward)
    , m_maxBuffered(options.maxBuffered)
    , m_share(budget)
    , m_response { std::move(options.head), {} }
{
}

result<void> body_relay::add(std::string_view bytes)
{
    if (m_hasBegun)
        return forward(bytes);
    const auto size = m_response.body.size() + bytes.size();
    if (size <= m_maxBuffered && m_share.resize(copiesWhileSending * size)) {
        m_response.body += bytes;
        return {};
    }
    if (!m_mayForward && size > m_maxBuffered)
        return fail(error_kind::BadInput, "the response body is too long to buffer", "Check the backend server's log");
    if (!m_mayForward)
        return tl::unexpected(buffersUsedUp());
    m_hasBegun = true;
    if (!m_responder.begin(m_response.head))
        return callerLost();
    const auto begun = forward(std::exchange(m_response.body, {}));
    (void)m_share.resize(0);
    return begun ? forward(bytes) : begun;
}

result<void> body_relay::forward(std::string_view bytes)
{
    if (!m_responder.write(bytes))
        return callerLost();
    return {};
}

void body_relay::finish()
{
    if (m_hasBegun)
        (void)m_responder.end();
    else
        (void)m_responder.send(m_response);
}

} // namespace coltsfootbend
