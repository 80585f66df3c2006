#include "coltsfootbend/gateway/second_attempt.h"

#include <utility>

namespace coltsfootbend {

namespace {

// Limit in bytes for the part of a response that is received before it counts as begun.
constexpr std::size_t maxBeginningSize = std::size_t { 256 } * 1024;

} // namespace

struct second_attempt::shared_state {
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
    std::string received; // The part of the body that has arrived.
    fiber_signal ended;
};

second_attempt::second_attempt(fiber_runtime& runtime, backend_connection_pool& connections, options chosen)
    : m_state(std::make_shared<shared_state>(runtime, std::move(chosen)))
{
    runtime.spawn([state = m_state, &connections] { run(state, connections); });
}

second_attempt::~second_attempt()
{
    m_state->isCancelled = true;
    if (m_state->connection)
        m_state->connection->close();
}

const picked_backend& second_attempt::picked() const { return m_state->request.picked; }

std::optional<time_point> second_attempt::sentAt() const { return m_state->sentAt; }

bool second_attempt::wasDeclined() const { return m_state->wasDeclined; }

bool second_attempt::hasOutcome() const { return m_state->head.has_value(); }

const result<http_head>& second_attempt::head() const { return *m_state->head; }

const std::string& second_attempt::received() const { return m_state->received; }

void second_attempt::waitForEnd()
{
    while (!hasOutcome())
        (void)m_state->ended.waitUntil(time_point::max());
}

backend_connection_ptr second_attempt::takeConnection() { return std::exchange(m_state->connection, nullptr); }

void second_attempt::run(const std::shared_ptr<shared_state>& state, backend_connection_pool& connections)
{
    result<http_head> head = fail(error_kind::Internal, "the second attempt ended with an exception");
    (void)runLogged("second attempt", [&] { head = receiveHead(state, connections); });
    if (state->isCancelled)
        return;
    state->head = std::move(head);
    state->ended.notify();
    state->request.onEnded();
}

result<http_head> second_attempt::receiveHead(
    const std::shared_ptr<shared_state>& state, backend_connection_pool& connections)
{
    const auto& server = state->request.picked.server;
    auto connection = connections.acquire(server, state->request.deadline, false);
    if (!connection)
        return tl::unexpected(connection.error());
    const auto request = state->isCancelled ? std::nullopt : state->request.onConnected();
    if (!request) {
        state->wasDeclined = true;
        (*connection)->close();
        return fail(error_kind::Unavailable, "the attempt is not needed or not allowed any more");
    }
    state->connection = *connection;
    state->sentAt = clock_type::now();
    const auto sent = (*connection)->send(*request, state->request.deadline);
    if (!sent)
        return tl::unexpected(sent.error());
    // The owner of the callbacks may end while the head is awaited.
    auto head = (*connection)->readHead(state->request.deadline, [&](const http_head& received) {
        return state->isCancelled || state->request.matchesRequest(received);
    });
    if (!head)
        return head;
    if (const auto begun = receiveBeginning(*state, **connection, *head); !begun)
        return tl::unexpected(begun.error());
    return head;
}

result<void> second_attempt::receiveBeginning(
    shared_state& state, backend_connection& connection, const http_head& head)
{
    while (!state.isCancelled && !state.request.hasBegun(head, state.received)) {
        const auto bytes = connection.readBody(state.request.deadline);
        if (!bytes)
            return tl::unexpected(bytes.error());
        if (!*bytes)
            break; // The owner judges whether the response is complete.
        state.received += **bytes;
        if (state.received.size() > maxBeginningSize)
            return fail(error_kind::BadInput, "the first event does not end", "Check the backend server's log");
    }
    return {};
}

} // namespace coltsfootbend
