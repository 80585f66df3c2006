#include "coltsfootbend/measure/child_process.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace coltsfootbend {

child_process::~child_process()
{
    if (!isRunning())
        return;
    signal(SIGKILL);
    (void)::waitpid(m_processId, &m_exitStatus, 0);
}

bool child_process::start()
{
    std::vector<char*> words;
    words.reserve(m_command.size() + 1);
    for (const auto& word : m_command)
        words.push_back(const_cast<char*>(word.c_str())); // NOLINT(cppcoreguidelines-pro-type-const-cast)
    words.push_back(nullptr);
    posix_spawn_file_actions_t files {};
    posix_spawn_file_actions_init(&files);
    constexpr int mode = 0644;
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, mode);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    // Without this, the child would inherit listening sockets and keep their ports open after this process closes them.
    posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
    const int failed = ::posix_spawn(&m_processId, words.front(), &files, nullptr, words.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    if (failed != 0)
        m_processId = 0;
    return failed == 0;
}

void child_process::signal(int number) const
{
    if (m_processId != 0)
        (void)::kill(m_processId, number);
}

bool child_process::isRunning()
{
    if (m_processId != 0 && ::waitpid(m_processId, &m_exitStatus, WNOHANG) == m_processId)
        m_processId = 0;
    return m_processId != 0;
}

bool child_process::handles(int number) const
{
    constexpr int hexadecimal = 16;
    std::ifstream status("/proc/" + std::to_string(m_processId) + "/status");
    std::string mask;
    for (std::string name; status >> name;) {
        if (name == "SigCgt:" && status >> mask)
            return ((std::stoull(mask, nullptr, hexadecimal) >> static_cast<unsigned>(number - 1)) & 1U) != 0;
    }
    return false;
}

} // namespace coltsfootbend
