#pragma once

// A child process that a test or the soak starts, signals and terminates. Signals go only to the process id that the
// start returned. The child's standard output and error are appended to a log file, directly or through a pipe that can
// be closed. Not for the product, which starts no processes.
//
//     child_process gateway({ "build/bin/coltsfootbend", "--settings", path }, logPath);
//     gateway.start();
//     gateway.signal(SIGTERM);

#include <atomic>
#include <memory>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace coltsfootbend {

// Represents a command and, while it runs, its process.
class child_process {
public:
    child_process(std::vector<std::string> command, std::string logPath)
        : m_command(std::move(command))
        , m_logPath(std::move(logPath))
    {
    }
    // Kills the process if it is running, and waits for its end.
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    // Starts the command. Returns false if the process could not be created.
    bool start();
    // Returns another process with the same command, log and kind of output, which is not started yet.
    std::unique_ptr<child_process> another() const;
    // Lets the output of the next start pass through a pipe, as under a supervisor that reads it.
    void usePipe() { m_usesPipe = true; }
    // Closes the pipe within 20 ms, as if the supervisor had ended: what the process writes from then on fails.
    void closePipe() { m_isPipeClosing = true; }
    // Sends signal `number`. Does nothing if the process is not running.
    void signal(int number) const;
    // Returns whether the process is running, and collects its exit status if it has ended.
    bool isRunning();
    // Returns whether the process has set a handler for signal `number`.
    bool handles(int number) const;
    // Returns the id of the process; 0 if it is not running.
    pid_t id() const { return m_processId; }
    // Returns the exit status in the form of `waitpid`. Valid after `isRunning` has returned false.
    int exitStatus() const { return m_exitStatus; }

private:
    // Reads the pipe into the log until it is closed at one of its ends.
    void copyToLog(int pipe) const;

    const std::vector<std::string> m_command;
    const std::string m_logPath;
    bool m_usesPipe = false;
    std::atomic<bool> m_isPipeClosing = false;
    std::thread m_copier; // Runs while the pipe is open at both ends.
    pid_t m_processId = 0;
    int m_exitStatus = 0;
};

} // namespace coltsfootbend
