#include "coltsfootbend/measure/process_usage.h"

#include <filesystem>
#include <fstream>
#include <set>
#include <string>

namespace coltsfootbend {

namespace {

std::string folderOf(pid_t id) { return "/proc/" + std::to_string(id); }

// Returns the number after `name` in the status of process `id`; 0 if it is missing.
std::size_t readStatus(pid_t id, const std::string& name)
{
    std::ifstream status(folderOf(id) + "/status");
    for (std::string word; status >> word;) {
        std::size_t value = 0;
        if (word == name && status >> value)
            return value;
    }
    return 0;
}

// The open files of a process: their number, and the inodes of those that are sockets.
struct open_files {
    std::size_t count = 0;
    std::set<std::string> sockets;
};

open_files filesOf(pid_t id)
{
    constexpr std::string_view prefix = "socket:[";
    open_files found;
    std::error_code code;
    for (std::filesystem::directory_iterator file(folderOf(id) + "/fd", code), end; !code && file != end;
         file.increment(code)) {
        ++found.count;
        std::error_code closed; // The process may close the file at any time.
        const auto target = std::filesystem::read_symlink(file->path(), closed).string();
        if (!closed && target.starts_with(prefix))
            found.sockets.insert(target.substr(prefix.size(), target.size() - prefix.size() - 1));
    }
    return found;
}

// Returns how many bytes wait in the receive queues of TCP sockets that are open in a process.
std::size_t unreadBytes(pid_t id, const std::set<std::string>& sockets)
{
    constexpr int hexadecimal = 16;
    std::ifstream table(folderOf(id) + "/net/tcp");
    std::string line;
    std::getline(table, line); // The names of the columns.
    std::size_t unread = 0;
    std::string number, local, remote, state, queues, timer, retransmits, user, timeouts, inode;
    while (table >> number >> local >> remote >> state >> queues >> timer >> retransmits >> user >> timeouts >> inode) {
        std::getline(table, line);
        constexpr std::string_view listening = "0A"; // Its queue counts connections.
        const auto colon = queues.find(':');
        if (state != listening && colon != std::string::npos && sockets.contains(inode))
            unread += std::stoul(queues.substr(colon + 1), nullptr, hexadecimal);
    }
    return unread;
}

} // namespace

std::optional<process_usage> usageOf(pid_t id)
{
    const auto processorTime = processorTimeOf(id);
    if (!processorTime)
        return std::nullopt;
    const auto files = filesOf(id);
    return process_usage { .processorTime = *processorTime,
        .peakResident = peakResidentOf(id),
        .unread = unreadBytes(id, files.sockets),
        .descriptors = files.count };
}

std::size_t peakResidentOf(pid_t id)
{
    constexpr std::size_t kibibyte = 1024;
    return readStatus(id, "VmHWM:") * kibibyte;
}

std::optional<std::chrono::nanoseconds> processorTimeOf(pid_t id)
{
    std::ifstream file(folderOf(id) + "/schedstat");
    std::int64_t nanoseconds = 0;
    if (id == 0 || !(file >> nanoseconds))
        return std::nullopt;
    return std::chrono::nanoseconds(nanoseconds);
}

} // namespace coltsfootbend
