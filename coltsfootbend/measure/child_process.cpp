#include "coltsfootbend/measure/child_process.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace coltsfootbend {

namespace {

constexpr int logMode = 0644;
// Interval at which a silent pipe is checked for whether it is to be closed.
constexpr int pipeCheckMs = 20;

} // namespace

child_process::~child_process()
{
    if (isRunning()) {
        signal(SIGKILL);
        (void)::waitpid(m_processId, &m_exitStatus, 0);
    }
    if (m_copier.joinable())
        m_copier.join();
}

std::unique_ptr<child_process> child_process::another() const
{
    auto made = std::make_unique<child_process>(m_command, m_logPath);
    made->m_usesPipe = m_usesPipe;
    return made;
}

void child_process::copyToLog(int pipe) const
{
    constexpr std::size_t chunkBytes = 4096;
    std::ofstream log(m_logPath, std::ios::app);
    std::array<char, chunkBytes> chunk {};
    while (!m_isPipeClosing) {
        pollfd ready { pipe, POLLIN, 0 };
        if (::poll(&ready, 1, pipeCheckMs) <= 0)
            continue;
        const auto received = ::read(pipe, chunk.data(), chunk.size());
        if (received <= 0)
            break;
        log.write(chunk.data(), received).flush();
    }
    (void)::close(pipe);
}

bool child_process::start()
{
    std::vector<char*> words;
    words.reserve(m_command.size() + 1);
    for (const auto& word : m_command)
        words.push_back(const_cast<char*>(word.c_str())); // NOLINT(cppcoreguidelines-pro-type-const-cast)
    words.push_back(nullptr);
    if (m_copier.joinable())
        m_copier.join(); // The process before has ended, so it has closed its end of the pipe.
    m_isPipeClosing = false;
    std::array<int, 2> pipe {}; // The end that is read, and the other one.
    if (m_usesPipe && ::pipe2(pipe.data(), O_CLOEXEC) != 0)
        return false;
    posix_spawn_file_actions_t files {};
    posix_spawn_file_actions_init(&files);
    if (m_usesPipe)
        posix_spawn_file_actions_adddup2(&files, pipe[1], STDOUT_FILENO);
    else
        posix_spawn_file_actions_addopen(
            &files, STDOUT_FILENO, m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    // Without this, the child would inherit listening sockets and keep their ports open after this process closes them.
    posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
    // A signal that this process ignores would be ignored in the child too.
    sigset_t defaults {};
    (void)::sigemptyset(&defaults);
    (void)::sigaddset(&defaults, SIGPIPE);
    posix_spawnattr_t attributes {};
    posix_spawnattr_init(&attributes);
    posix_spawnattr_setsigdefault(&attributes, &defaults);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGDEF);
    const int failed = ::posix_spawn(&m_processId, words.front(), &files, &attributes, words.data(), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&files);
    if (m_usesPipe) {
        (void)::close(pipe[1]);
        m_copier = std::thread([this, end = pipe[0]] { copyToLog(end); });
    }
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
