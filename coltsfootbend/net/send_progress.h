#pragma once

// Finds connections whose peer acknowledges nothing of what was sent. TCP_USER_TIMEOUT does so until the peer's receive
// window has been closed: the kernel then counts from the first time that it was closed, also if everything was
// acknowledged in between, so a slow reader that is alive loses its connection.
//
//     progress.begin(clock_type::now());
//     // From time to time, while bytes are outstanding:
//     progress.update(sendStateOf(socket), clock_type::now());
//     if (clock_type::now() >= progress.progressAt() + limit) // end the connection

#include "coltsfootbend/base/time.h"

#include <cstdint>

namespace coltsfootbend {

// What the kernel states about the bytes that were sent on a connection.
struct send_state {
    std::uint64_t acknowledgedBytes = 0;
    duration sinceAcknowledgement = duration::zero(); // Since the last one, also if it was for a probe.
    bool isOutstanding = false; // Bytes are not acknowledged yet.
    bool isWaiting = false; // Bytes are not sent yet: they wait for the peer's window or for acknowledgements.
    bool wasWindowClosed = false; // The peer's window has kept bytes waiting at least once.
};

// Returns the state of a TCP socket; nothing is outstanding if the kernel states none.
send_state sendStateOf(int socket);

// Represents since when bytes have been outstanding without an acknowledgement of any of them. Deterministic.
class send_progress {
public:
    // Begins to count: bytes are sent while none are outstanding.
    void begin(time_point now) { m_progressAt = now; }
    // Takes the present state.
    void update(const send_state&, time_point now);
    // Returns when bytes were acknowledged last, or nothing was outstanding.
    time_point progressAt() const { return m_progressAt; }

private:
    time_point m_progressAt;
    std::uint64_t m_acknowledgedBytes = 0;
};

} // namespace coltsfootbend
