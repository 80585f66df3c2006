#pragma once

// The signals of the process outside its services: those that mean nothing to it, those that arrive before the services
// can handle them, and those by which a fault ends it.
//
//     installSignalHandlers(); // First in main.
//     if (isStopRequested()) ...

namespace coltsfootbend {

// Ignores what means nothing to the process, remembers requests to stop and to reload until the services handle the
// signals themselves, and logs the end by a fault (E108). Also takes signals that were blocked in the process that
// started this one.
void installSignalHandlers();

// Returns whether the process was asked to stop, by SIGTERM, SIGINT or SIGQUIT, before its services handled these
// signals.
bool isStopRequested();

// Returns whether the process was asked to reload its settings, by SIGHUP, before its services handled that signal.
bool isReloadRequested();

} // namespace coltsfootbend
