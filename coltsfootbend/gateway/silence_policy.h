#pragma once

// Decides when the response of a silent backend server is overdue, so that another server should be made ready to take
// the request over. A sound server may send nothing for a second or so and continue, and a silent connection may belong
// to a server that sends on its other connections, so the time depends on what is known of the server. Deterministic.
// Does not end a wait: see `gateway/second_attempt.h`.
//
//     const auto overdue = streamOverdueTimes(route, lastDataAt);
//     if (isOverdue(overdue, condition, now))
//         prepareAnotherServer();

#include "coltsfootbend/gateway/catalogue.h"

namespace coltsfootbend {

// What a gateway knows of a server from which it awaits a response.
enum class server_condition {
    Sending, // The server sends on other connections of this gateway, or nothing is known of it.
    Silent, // The server sends on no connection of this gateway: it is paused, unreachable or has terminated.
    GroupStalled, // The server's group makes no passes, so all its ranks wait for the same rank.
};

// When a response is overdue, by the condition of its server. `time_point::max()` stands for never.
struct overdue_times {
    time_point whileSending = time_point::max();
    time_point whileSilent = time_point::max();
    time_point whileStalled = time_point::max();
};

// Longest time a stream may go without an event. Callers leave after two seconds; the difference is the transfer time.
constexpr std::chrono::milliseconds callerGapLimit { 1900 };

// Returns when the head of a response is overdue. `sentAt`: when the request was sent, `lastEventAt`: when the caller
// last received an event, or when its request arrived.
overdue_times headOverdueTimes(const route&, duration predictedLatency, time_point sentAt, time_point lastEventAt);

// Returns when the next data of a started stream is overdue.
overdue_times streamOverdueTimes(const route&, time_point lastDataAt);

// Returns whether a response is overdue now.
bool isOverdue(const overdue_times&, server_condition, time_point now);

} // namespace coltsfootbend
