#include "coltsfootbend/daemon/process_signals.h"

#include "coltsfootbend/base/log_event.h"

#include <array>
#include <csignal>
#include <unistd.h>

namespace coltsfootbend {

namespace {

// Signals whose default action would end the process, and which mean nothing to it. Supervisors and terminals send
// them.
constexpr std::array ignoredSignals { SIGPIPE, SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF, SIGIO, SIGPWR, SIGXFSZ };
// Signals by which a fault in the program ends it.
constexpr std::array faultSignals { SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT };
// Stack of the handlers of faults, because the one in use may be the cause.
constexpr std::size_t faultStackBytes = std::size_t { 64 } * 1024;

// Signals that ask the process for something.
constexpr std::array stopSignals { SIGTERM, SIGINT, SIGQUIT };
constexpr int reloadSignal = SIGHUP;

volatile std::sig_atomic_t stopRequested = 0;
volatile std::sig_atomic_t reloadRequested = 0;
alignas(16) std::array<char, faultStackBytes> faultStack;

void noteStopRequest(int) { stopRequested = 1; }

void noteReloadRequest(int) { reloadRequested = 1; }

// Writes the line without the log, which may be what is broken. The signal then takes its default effect.
void logFault(int number)
{
    constexpr int decimal = 10;
    std::array line { std::to_array("E108 why=\"a fault of the program\" signal=00\n") };
    line[line.size() - 4] = static_cast<char>('0' + number / decimal);
    line[line.size() - 3] = static_cast<char>('0' + number % decimal);
    (void)writeLine(STDERR_FILENO, { line.data(), line.size() - 1 });
    (void)::raise(number);
}

void handleFault(int number)
{
    struct sigaction former { };
    // A tool that has set a handler of its own, such as a sanitizer, reports more.
    if (::sigaction(number, nullptr, &former) != 0 || former.sa_handler != SIG_DFL)
        return;
    struct sigaction action { };
    action.sa_handler = logFault;
    action.sa_flags = static_cast<int>(SA_RESETHAND | SA_ONSTACK | SA_NODEFER);
    (void)::sigaction(number, &action, nullptr);
}

// A process inherits the signals that are blocked in the one that starts it.
void unblockSignals()
{
    sigset_t handled {};
    (void)::sigemptyset(&handled);
    for (const int number : stopSignals)
        (void)::sigaddset(&handled, number);
    (void)::sigaddset(&handled, reloadSignal);
    for (const int number : faultSignals)
        (void)::sigaddset(&handled, number);
    (void)::pthread_sigmask(SIG_UNBLOCK, &handled, nullptr);
}

} // namespace

void installSignalHandlers()
{
    for (const int number : stopSignals)
        std::signal(number, noteStopRequest);
    std::signal(reloadSignal, noteReloadRequest);
    for (const int number : ignoredSignals)
        std::signal(number, SIG_IGN);
    stack_t stack {};
    stack.ss_sp = faultStack.data();
    stack.ss_size = faultStack.size();
    (void)::sigaltstack(&stack, nullptr);
    for (const int number : faultSignals)
        handleFault(number);
    unblockSignals();
}

bool isStopRequested() { return stopRequested != 0; }

bool isReloadRequested() { return reloadRequested != 0; }

} // namespace coltsfootbend
