#pragma once

// Support for tests that run the daemon as a real process, as a supervisor does.
//
//     daemon_run run(settings);
//     run.signal(SIGTERM);
//     EXPECT_EQ(run.exitCode(), EXIT_SUCCESS) << run.log();

#include "coltsfootbend/base/time.h"
#include "coltsfootbend/measure/child_process.h"
#include "coltsfootbend/measure/process_usage.h"

#include <filesystem>
#include <fstream>
#include <functional>
#include <gtest/gtest.h>
#include <optional>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace coltsfootbend {

// A process with settings in a directory of its own, which is removed with the object.
class daemon_run {
public:
    // `limits` are commands of the shell that starts the program, such as "ulimit -n 64".
    explicit daemon_run(const std::string& settings, const std::string& limits = "true")
        : m_directory(std::filesystem::temp_directory_path()
            / ("coltsfootbend-daemon." + std::to_string(::getpid()) + "." + std::to_string(nextNumber())))
    {
        std::filesystem::create_directories(m_directory);
        write(settings);
        m_process.emplace(
            std::vector<std::string> { "/bin/sh", "-c",
                limits + "; exec " COLTSFOOTBEND_DAEMON " --settings " + (m_directory / "settings.toml").string() },
            m_directory / "daemon.log");
        EXPECT_TRUE(m_process->start());
    }
    ~daemon_run()
    {
        m_process.reset();
        std::filesystem::remove_all(m_directory);
    }
    daemon_run(const daemon_run&) = delete;
    daemon_run& operator=(const daemon_run&) = delete;

    void write(const std::string& settings) const { std::ofstream(m_directory / "settings.toml") << settings; }
    std::filesystem::path settingsPath() const { return m_directory / "settings.toml"; }
    void signal(int number) { m_process->signal(number); }
    bool isRunning() { return m_process->isRunning(); }
    // Waits until the process has set a handler for signal `number`. Returns false if it has not within ten seconds.
    bool awaitHandler(int number) const
    {
        return waitUntil([&] { return m_process->handles(number); }, std::chrono::seconds(10));
    }
    // Returns the most memory that the process may have had, counted as the platform does; 0 if it is not running.
    std::size_t peakMemory() const
    {
        const auto usage = usageOf(m_process->id());
        return usage ? usage->memory() : 0;
    }

    // Returns the exit code; none if the process does not end within `limit` or ends by a signal.
    std::optional<int> exitCode(duration limit = std::chrono::seconds(10))
    {
        if (!waitUntil([this] { return !isRunning(); }, limit))
            return std::nullopt;
        const int status = m_process->exitStatus();
        return WIFEXITED(status) ? std::optional(WEXITSTATUS(status)) : std::nullopt;
    }

    // Returns whether the log contains `text` within `limit`.
    bool logs(const std::string& text, duration limit = std::chrono::seconds(10)) const
    {
        return waitUntil([&] { return log().find(text) != std::string::npos; }, limit);
    }

    std::string log() const
    {
        std::ifstream in(m_directory / "daemon.log");
        return { std::istreambuf_iterator<char>(in), {} };
    }

private:
    static int nextNumber()
    {
        static int number = 0;
        return ++number;
    }

    static bool waitUntil(const std::function<bool()>& isDone, duration limit)
    {
        const auto until = clock_type::now() + limit;
        while (!isDone()) {
            if (clock_type::now() >= until)
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return true;
    }

    const std::filesystem::path m_directory;
    std::optional<child_process> m_process;
};

} // namespace coltsfootbend
