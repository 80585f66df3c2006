#pragma once

// A child process that a test or the soak starts, signals and terminates. Signals go only to the process id that the
// start returned. The child's standard output and error are appended to a log file. Not for the product, which starts
// no processes.
//
//     child_process gateway({ "build/bin/coltsfootbend", "--settings", path }, logPath);
//     gateway.start();
//     gateway.signal(SIGTERM);

#include <memory>
#include <string>
#include <sys/types.h>
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
    // Returns another process with the same command and log, which is not started yet.
    std::unique_ptr<child_process> another() const { return std::make_unique<child_process>(m_command, m_logPath); }
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
    const std::vector<std::string> m_command;
    const std::string m_logPath;
    pid_t m_processId = 0;
    int m_exitStatus = 0;
};

} // namespace coltsfootbend
