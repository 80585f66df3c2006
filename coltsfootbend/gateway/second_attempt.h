#pragma once

// Sends a request to a second backend server while the response of the first one is awaited. Opens the connection,
// sends the request and receives the beginning of the response on a fiber of its own, so that the first server is given
// up only when the second one has begun to respond. Does not decide whether a second attempt is allowed.
//
//     m_secondAttempt = std::make_unique<second_attempt>(runtime, connections,
//         second_attempt::options { .picked = picked, .deadline = deadline, .onConnected = ..., .onEnded = ... });

#include "coltsfootbend/gateway/backend_connection.h"
#include "coltsfootbend/gateway/pick.h"
#include "coltsfootbend/net/fiber_signal.h"

#include <functional>
#include <memory>
#include <optional>

namespace coltsfootbend {

// An attempt at a second server, from the choice of the server until its response has begun.
class second_attempt {
public:
    struct options {
        picked_backend picked;
        // When the attempt fails if no head has arrived.
        time_point deadline {};
        // Called when the connection is open. Returns the request to send, or none to give up the attempt.
        std::function<std::optional<http_request>()> onConnected;
        // Returns whether a head belongs to the request.
        std::function<bool(const http_head&)> matchesRequest;
        // Returns whether the response has begun with this head and this part of its body.
        std::function<bool(const http_head&, const std::string& received)> hasBegun;
        // Called once when the attempt has an outcome: the response has begun, or the attempt has failed.
        std::function<void()> onEnded;
    };

    // Starts the attempt. The callbacks are called until this object is destroyed; they must not destroy it.
    second_attempt(fiber_runtime&, backend_connection_pool&, options);
    // Ends the attempt and closes its connection.
    ~second_attempt();
    second_attempt(const second_attempt&) = delete;
    second_attempt& operator=(const second_attempt&) = delete;

    const picked_backend& picked() const;
    // Returns when the request was sent, or none if it was not.
    std::optional<time_point> sentAt() const;
    // Returns true if the attempt was given up before the request was sent, without a failure.
    bool wasDeclined() const;
    // Returns true when the response has begun or the attempt has failed.
    bool hasOutcome() const;
    // Returns the head, or why the attempt failed. Must only be called when the attempt has ended.
    const result<http_head>& head() const;
    // Returns the part of the body that has been received. Must only be called when the attempt has ended.
    const std::string& received() const;
    // Blocks the calling fiber until the attempt has ended.
    void waitForEnd();
    // Returns the connection, and leaves it to the caller.
    backend_connection_ptr takeConnection();

private:
    // Shared with the fiber, which may outlive this object while it opens a connection.
    struct shared_state;

    static void run(const std::shared_ptr<shared_state>&, backend_connection_pool&);
    static result<http_head> receiveHead(const std::shared_ptr<shared_state>&, backend_connection_pool&);
    // Receives the body until the response has begun.
    static result<void> receiveBeginning(shared_state&, backend_connection&, const http_head&);

    std::shared_ptr<shared_state> m_state;
};

} // namespace coltsfootbend
