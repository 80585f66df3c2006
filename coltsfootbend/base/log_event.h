#pragma once

// Numbered log events. Each line that the daemons log begins with its event number, so that operators can search and
// alert without matching prose; docs/operators/EVENTS.md documents each event and the response to it. Request bodies,
// prompts and keys are never logged.
//
//     logEvent(log_event::WorkerSuspected, "worker=w3");

#include <string_view>

namespace coltsfootbend {

// The events that daemons log. Operators match the numbers, so a number is never reused or changed.
enum class log_event {
    ProcessStarted = 100,
    ProcessLeaving = 101,
    ProcessStopped = 102,
    SettingsReloaded = 103,
    SettingsRefused = 104,
    ProcessFaulted = 105,
    StartWaits = 106,
    SettingReplaced = 107,
    ProcessFailed = 108,
    ReloadGivenUp = 109,
    ConfigurationInForce = 200,
    ConfigurationAccepted = 201,
    ConfigurationRejected = 202,
    StoreLost = 203,
    StoreRegained = 204,
    DeploymentRead = 205,
    DeploymentRowRemoved = 206,
    DeploymentRowUnreadable = 207,
    StoreCallFailed = 208,
    DeploymentPageDropped = 209,
    StorePollStalled = 210,
    EvacuationsInForce = 211,
    StoreRestored = 212,
    ConfigurationMayBeBehind = 213,
    ConfigurationLatestAgain = 214,
    WorkerJoined = 300,
    WorkerSuspected = 301,
    WorkerLeaving = 302,
    BackendListed = 303,
    GroupCondition = 304,
    BackendCrashed = 305,
    RequestQuarantine = 306,
    BackendNotice = 307,
    ServingChanged = 308,
    LedgerHandedOver = 400,
    LedgerRestored = 401,
    LedgerIncomplete = 402,
    RequestUnknown = 500,
    EngineFailed = 501,
    RequestRefused = 502,
    RequestSent = 503,
    RequestAnswered = 504,
    RequestFailed = 505,
    RequestResumed = 506,
    CallerDisconnected = 507,
    AnswerIncomplete = 508,
    RequestFaulted = 509,
    ConnectionRefused = 510,
    WaitEnded = 511,
    OperatorRefused = 600,
    OperatorDrain = 601,
    MapLeader = 700,
    MapPlanned = 701,
    MapChangeStep = 702,
    MapChanged = 703,
    MapChangeFailed = 704,
    GroupChanged = 705,
    ReadinessChanged = 800,
};

// Logs one line, "E<number> <details>", at the severity of the event. `details` is a list of name=value. Lines of one
// event beyond the rate limit are dropped; the next line that is written reports their number as dropped_before.
void logEvent(log_event, std::string_view details);

// Writes `line` to the file descriptor `file` if that does not block. Returns whether the whole line was written.
bool writeLine(int file, std::string_view line);

// Starts the log: to files in `directory`, or to standard output when it is empty.
void startLog(const char* program, std::string_view directory);

// Flushes buffered lines. Call before the process ends.
void stopLog();

} // namespace coltsfootbend
