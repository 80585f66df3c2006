#pragma once

// Sends a request to a second backend server while the response of the first one is awaited. Opens the connection,
// sends the request and receives the head of the response on a fiber of its own, so that the first server is given up
// only when the second one has begun to respond. Does not decide whether a second attempt is allowed and does not read
// the body.
//
//     m_standby = std::make_unique<standby_attempt>(runtime, connections,
//         standby_attempt::options { .picked = picked, .deadline = deadline, .onConnected = ..., .onEnded = ... });

#include "coltsfootbend/gateway/backend_connection.h"
#include "coltsfootbend/gateway/pick.h"
#include "coltsfootbend/net/fiber_signal.h"

#include <functional>
#include <memory>
#include <optional>

namespace coltsfootbend {

// An attempt at a second server, from the choice of the server until the head of its response has arrived.
class standby_attempt {
public:
    struct options {
        picked_backend picked;
        // When the attempt fails if no head has arrived.
        time_point deadline {};
        // Called when the connection is open. Returns the request to send, or none to give up the attempt.
        std::function<std::optional<http_request>()> onConnected;
        // Returns whether a head belongs to the request.
        std::function<bool(const http_head&)> matchesRequest;
        // Called once when the attempt has ended: its head has arrived, or it has failed.
        std::function<void()> onEnded;
    };

    // Starts the attempt. The callbacks are called until this object is destroyed; they must not destroy it.
    standby_attempt(fiber_runtime&, backend_connection_pool&, options);
    // Ends the attempt and closes its connection.
    ~standby_attempt();
    standby_attempt(const standby_attempt&) = delete;
    standby_attempt& operator=(const standby_attempt&) = delete;

    const picked_backend& picked() const;
    // Returns when the request was sent, or none if it was not.
    std::optional<time_point> sentAt() const;
    // Returns true if the attempt was given up before the request was sent, without a failure.
    bool wasDeclined() const;
    // Returns true when the head has arrived or the attempt has failed.
    bool hasEnded() const;
    // Returns the head, or why the attempt failed. Must only be called when the attempt has ended.
    const result<http_head>& head() const;
    // Blocks the calling fiber until the attempt has ended.
    void waitForEnd();
    // Returns the connection, and leaves it to the caller.
    backend_connection_ptr takeConnection();

private:
    // Shared with the fiber, which may outlive this object while it opens a connection.
    struct shared_state;

    static void run(const std::shared_ptr<shared_state>&, backend_connection_pool&);
    static result<http_head> receiveHead(const std::shared_ptr<shared_state>&, backend_connection_pool&);

    std::shared_ptr<shared_state> m_state;
};

} // namespace coltsfootbend
