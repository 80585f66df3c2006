#pragma once

// What a process waits for before its services start. A passing obstacle does not end a start: an address may still be
// used by the process before or by a connection that was closed a minute ago, the VM may not have it yet, and a
// settings file may be half written. A supervisor would only start the next process, which meets the same obstacle.
//
//     auto settings = awaitSettings(path, isStopRequested);
//     auto isFree = awaitAddresses(runtime, listenAddresses(settings->settings), addressDeadline(settings->settings,
//     now));

#include "coltsfootbend/base/error.h"
#include "coltsfootbend/base/time.h"
#include "coltsfootbend/net/address_probe.h"
#include "coltsfootbend/settings/settings.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootbend {

// Time in which a settings file that is being written at a reload is complete.
constexpr std::chrono::seconds settingsLimit { 10 };
// Time between two attempts to start.
constexpr std::chrono::milliseconds startRetryInterval { 100 };

// Prints what is wrong with the settings file to standard error, for an operator at a prompt. Blocks while the reader
// leaves no room.
void printErrors(const std::string& path, const std::vector<error>&);

// Prints `line`, cut to 4095 bytes, to standard error if that does not block. Returns whether it was printed. For
// processes under a supervisor, which may have stopped reading.
bool tryPrintLine(const std::string& line);

// Reads the settings file for a start. While it cannot be used, reads it again and prints its errors to standard error,
// each time that they are others than before, once the reader leaves room. Blocks the thread. Returns none once
// `isStopRequested` returns true.
std::optional<start_settings> awaitSettings(const std::string& path, const std::function<bool()>& isStopRequested);

// Returns the addresses at which the services of `settings` listen.
std::vector<listen_address> listenAddresses(const daemon_settings&);

// Returns until when an address may be in use although nothing is wrong: by a connection in TIME_WAIT, or by the
// process before, which completes its requests.
time_point addressDeadline(const daemon_settings&, time_point now);

// Blocks the calling fiber until all addresses can be bound, and logs what it waits for, each time that it is something
// else than before. Fails with `Unavailable` if an address is still in use at `deadline`, and at once if waiting does
// not help, as for a port that the process may not use. Waits as long as it takes for an address that the VM does not
// have.
result<void> awaitAddresses(fiber_runtime&, const std::vector<listen_address>&, time_point deadline);

} // namespace coltsfootbend
