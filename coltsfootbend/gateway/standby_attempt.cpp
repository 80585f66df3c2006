#include "coltsfootbend/gateway/standby_attempt.h"

#include <utility>

namespace coltsfootbend {

struct standby_attempt::shared_state {
    shared_state(fiber_runtime& runtime, options chosen)
        : request(std::move(chosen))
        , ended(runtime)
    {
    }

    options request;
    bool isCancelled = false;
    bool wasDeclined = false;
    backend_connection_ptr connection;
    std::optional<time_point> sentAt;
    std::optional<result<http_head>> head;
    fiber_signal ended;
};

standby_attempt::standby_attempt(fiber_runtime& runtime, backend_connection_pool& connections, options chosen)
    : m_state(std::make_shared<shared_state>(runtime, std::move(chosen)))
{
    runtime.spawn([state = m_state, &connections] { run(state, connections); });
}

standby_attempt::~standby_attempt()
{
    m_state->isCancelled = true;
    if (m_state->connection)
        m_state->connection->close();
}

const picked_backend& standby_attempt::picked() const { return m_state->request.picked; }

std::optional<time_point> standby_attempt::sentAt() const { return m_state->sentAt; }

bool standby_attempt::wasDeclined() const { return m_state->wasDeclined; }

bool standby_attempt::hasEnded() const { return m_state->head.has_value(); }

const result<http_head>& standby_attempt::head() const { return *m_state->head; }

void standby_attempt::waitForEnd()
{
    while (!hasEnded())
        (void)m_state->ended.waitUntil(time_point::max());
}

backend_connection_ptr standby_attempt::takeConnection() { return std::exchange(m_state->connection, nullptr); }

void standby_attempt::run(const std::shared_ptr<shared_state>& state, backend_connection_pool& connections)
{
    auto head = receiveHead(state, connections);
    if (state->isCancelled)
        return;
    state->head = std::move(head);
    state->ended.notify();
    state->request.onEnded();
}

result<http_head> standby_attempt::receiveHead(
    const std::shared_ptr<shared_state>& state, backend_connection_pool& connections)
{
    const auto& server = state->request.picked.server;
    auto connection = connections.acquire(server, state->request.deadline, false);
    if (!connection)
        return tl::unexpected(connection.error());
    const auto request = state->isCancelled ? std::nullopt : state->request.onConnected();
    if (!request) {
        state->wasDeclined = true;
        connections.release(server, *connection, std::nullopt);
        return fail(error_kind::Unavailable, "the attempt is not needed or not allowed any more");
    }
    state->connection = *connection;
    state->sentAt = clock_type::now();
    const auto sent = (*connection)->send(*request, state->request.deadline);
    if (!sent)
        return tl::unexpected(sent.error());
    return (*connection)->readHead(state->request.deadline, state->request.matchesRequest);
}

} // namespace coltsfootbend
