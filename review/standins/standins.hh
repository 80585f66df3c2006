#pragma once

// Small stand-ins for scripts of the review: an HTTP/1.1 server with one thread for each connection, the platform's
// store, and a supervisor that renders a role's template and starts a process as the deploy file says. POSIX sockets
// only. Limits: no TLS, no pipelining, requests with Content-Length only.

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;

// Exit codes of a script.
constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

inline const steady::time_point startedAt = steady::now();

inline double seconds() { return std::chrono::duration<double>(steady::now() - startedAt).count(); }
inline void sleepMs(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

// Ends this process when its parent ends, and after `limitSeconds` in any case. The processes that it starts end with it.
inline void endWithParent(unsigned limitSeconds)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() == 1)
        std::_Exit(exitNotRun);
    alarm(limitSeconds);
}

// Writes lines with the time in seconds to the case's record, and to standard output.
class record {
public:
    explicit record(const std::string& path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
    }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_file) {
            std::fprintf(m_file, "%8.3f %s\n", seconds(), text);
            std::fflush(m_file);
        }
    }

private:
    std::FILE* m_file;
    std::mutex m_mutex;
};

struct address {
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in toSockaddr(const address& at)
{
    sockaddr_in raw {};
    raw.sin_family = AF_INET;
    raw.sin_port = htons(static_cast<std::uint16_t>(at.port));
    inet_pton(AF_INET, at.ip.c_str(), &raw.sin_addr);
    return raw;
}

// Returns a port that is free for TCP and UDP on all of `ips`; 0 if none is found.
inline int freePort(const std::vector<std::string>& ips)
{
    for (int port = 21000 + getpid() % 9000, tries = 0; tries < 500; ++tries, ++port) {
        bool isFree = true;
        for (const auto& ip : ips) {
            for (const int type : { SOCK_STREAM, SOCK_DGRAM }) {
                const int fd = socket(AF_INET, type, 0);
                const auto raw = toSockaddr({ ip, port });
                isFree = isFree && bind(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) == 0;
                close(fd);
            }
        }
        if (isFree)
            return port;
    }
    return 0;
}

inline bool sendAll(int fd, const char* bytes, std::size_t size)
{
    while (size > 0) {
        const auto sent = ::send(fd, bytes, size, MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes += sent;
        size -= static_cast<std::size_t>(sent);
    }
    return true;
}
inline bool sendAll(int fd, const std::string& bytes) { return sendAll(fd, bytes.data(), bytes.size()); }

// Connects to `to`; returns -1 on failure. `receiveBuffer`: size of the receive buffer in bytes, 0 for the default.
inline int connectTo(const address& to, int receiveBuffer = 0)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (receiveBuffer > 0)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    const auto raw = toSockaddr(to);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) == 0)
        return fd;
    close(fd);
    return -1;
}

inline std::string lower(std::string text)
{
    for (auto& letter : text)
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    return text;
}

// The head of a request or a response, and what was received after it.
struct message {
    std::string firstLine;
    std::map<std::string, std::string> headers; // Names in lower case.
    std::string rest;

    std::string header(const std::string& name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
    std::size_t length() const { return std::strtoull(header("content-length").c_str(), nullptr, 10); }
    int status() const { return firstLine.size() > 12 ? std::atoi(firstLine.c_str() + 9) : 0; }
    std::string target() const
    {
        const auto begin = firstLine.find(' ') + 1;
        return firstLine.substr(begin, firstLine.rfind(' ') - begin);
    }
};

// Reads a head. `received` holds bytes that were received before. Returns none if the connection ends first.
inline std::optional<message> readHead(int fd, std::string received = {})
{
    std::size_t end = 0;
    while ((end = received.find("\r\n\r\n")) == std::string::npos) {
        char bytes[4096];
        const auto got = recv(fd, bytes, sizeof bytes, 0);
        if (got <= 0)
            return std::nullopt;
        received.append(bytes, static_cast<std::size_t>(got));
    }
    message head;
    std::istringstream lines(received.substr(0, end + 2));
    std::string line;
    std::getline(lines, line);
    head.firstLine = line.substr(0, line.size() - 1);
    while (std::getline(lines, line) && line.size() > 1) {
        const auto colon = line.find(':');
        auto value = line.substr(colon + 1, line.size() - colon - 2);
        value.erase(0, value.find_first_not_of(' '));
        head.headers[lower(line.substr(0, colon))] = value;
    }
    head.rest = received.substr(end + 4);
    return head;
}

// Listens at `at` and calls `serve` for each connection on a thread of its own; closes the connection afterwards.
// Returns false if the address cannot be bound.
inline bool listenAt(const address& at, std::function<void(int)> serve)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto raw = toSockaddr(at);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) != 0 || listen(fd, 512) != 0)
        return false;
    std::thread([fd, serve = std::move(serve)] {
        while (true) {
            const int connection = accept(fd, nullptr, nullptr);
            if (connection < 0)
                continue;
            std::thread([connection, serve] {
                serve(connection);
                close(connection);
            }).detach();
        }
    }).detach();
    return true;
}

inline std::string toBase64(const std::string& bytes)
{
    static const char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j > bytes.size() ? '=' : letters[group >> (18 - 6 * j) & 63U];
    }
    return text;
}

// The platform's store: reads of whole tables and the feed of changes with long polls. Transactions are accepted and
// stored nowhere, because the scripts need none.
class store {
public:
    bool open(const address& at)
    {
        return listenAt(at, [this](int fd) { serve(fd); });
    }
    void put(const std::string& table, const std::string& key, const std::string& value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_rows[table][key] = { toBase64(value), ++m_revision };
        m_changed.notify_all();
    }

private:
    struct row {
        std::string value;
        std::uint64_t revision = 0;
    };

    static std::string parameter(const std::string& target, const std::string& name)
    {
        auto begin = target.find(name + "=");
        if (begin == std::string::npos)
            return "";
        begin += name.size() + 1;
        return target.substr(begin, target.find('&', begin) - begin);
    }

    bool hasAfter(const std::string& table, std::uint64_t after)
    {
        for (const auto& [key, row] : m_rows[table]) {
            if (row.revision > after)
                return true;
        }
        return false;
    }

    std::string encode(const std::string& table, std::uint64_t after)
    {
        std::map<std::uint64_t, std::string> byRevision;
        std::string all;
        for (const auto& [key, row] : m_rows[table]) {
            const auto text = "{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" + key + "\",\"value\":\"" + row.value
                + "\",\"version_number\":" + std::to_string(row.revision) + "}";
            if (row.revision > after)
                byRevision[row.revision] = text;
            all += (all.empty() ? "" : ",") + text;
        }
        std::string changed;
        for (const auto& [revision, text] : byRevision)
            changed += (changed.empty() ? "" : ",") + text;
        return "{\"rows\":[" + (after == 0 ? all : changed)
            + "],\"truncated\":false,\"version_number\":" + std::to_string(m_revision)
            + ",\"now_ms\":" + std::to_string(static_cast<long>(seconds() * 1000)) + "}";
    }

    std::string answer(const std::string& target)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        const auto table = parameter(target, "table");
        const auto after = std::strtoull(parameter(target, "after_revision").c_str(), nullptr, 10);
        if (target.rfind("/-/rows-get", 0) == 0)
            return encode(table, 0);
        if (target.rfind("/-/rows-feed", 0) == 0) {
            m_changed.wait_for(lock, std::chrono::milliseconds(std::atoi(parameter(target, "wait_ms").c_str())),
                [&] { return hasAfter(table, after); });
            return hasAfter(table, after)
                ? encode(table, after)
                : "{\"rows\":[],\"version_number\":" + std::to_string(m_revision) + ",\"now_ms\":0}";
        }
        return "{\"version_number\":" + std::to_string(++m_revision) + ",\"now_ms\":0}";
    }

    void serve(int fd)
    {
        std::string rest;
        while (auto head = readHead(fd, rest)) {
            char bytes[4096];
            std::size_t left = head->length() - std::min(head->length(), head->rest.size());
            for (ssize_t got = 1; left > 0 && got > 0; left -= static_cast<std::size_t>(got))
                got = recv(fd, bytes, std::min(left, sizeof bytes), 0);
            rest.clear();
            const auto body = answer(head->target());
            if (!sendAll(fd,
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + std::to_string(body.size()) + "\r\n\r\n" + body))
                return;
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, row>> m_rows;
    std::uint64_t m_revision = 1;
};

// Fills in a template as DEPLOY.md says: {{name}}, and the sections `seeds` (empty here) and `zones`.
inline std::string render(std::string text, const std::map<std::string, std::string>& values,
    const std::vector<std::pair<std::string, std::string>>& zones)
{
    const auto replaceAll = [](std::string& in, const std::string& from, const std::string& to) {
        for (auto at = in.find(from); at != std::string::npos; at = in.find(from, at + to.size()))
            in.replace(at, from.size(), to);
    };
    const auto replaceSection = [&](const std::string& name, const std::function<std::string(const std::string&)>& make) {
        const std::string open = "{{#" + name + "}}";
        const std::string close = "{{/" + name + "}}";
        const auto begin = text.find(open);
        const auto end = text.find(close);
        if (begin == std::string::npos || end == std::string::npos)
            return;
        const auto inner = text.substr(begin + open.size(), end - begin - open.size());
        text.replace(begin, end + close.size() - begin, make(inner));
    };
    replaceSection("seeds", [](const std::string&) { return std::string(); });
    replaceSection("zones", [&](const std::string& inner) {
        std::string all;
        for (const auto& [zone, region] : zones) {
            auto one = inner;
            replaceAll(one, "{{@}}", zone);
            replaceAll(one, "{{.}}", region);
            all += one;
        }
        return all;
    });
    for (const auto& [name, value] : values)
        replaceAll(text, "{{" + name + "}}", value);
    return text;
}

inline std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// A process of the system, started with the command of the deploy file. It is killed when this process ends.
class system_process {
public:
    system_process(std::string name, std::string directory, const std::string& settings)
        : m_settings(directory + "/" + name + ".toml")
        , m_log(directory + "/" + name + ".log")
    {
        std::ofstream(m_settings) << settings;
    }
    ~system_process() { kill(SIGKILL); }

    void start()
    {
        const pid_t parent = getpid();
        m_pid = fork();
        if (m_pid != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(127);
        const int log = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, 1);
        dup2(log, 2);
        for (int fd = 3; fd < 1024; ++fd)
            close(fd);
        execl("target/bin/coltsfootbend", "target/bin/coltsfootbend", "--settings", m_settings.c_str(), nullptr);
        _exit(127);
    }
    // Sends a signal; waits for the end of the process after SIGKILL.
    void kill(int signal)
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, signal);
        if (signal != SIGKILL)
            return;
        waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
    // Returns whether the process has ended by itself.
    bool hasEnded()
    {
        if (m_pid <= 0 || waitpid(m_pid, nullptr, WNOHANG) != m_pid)
            return false;
        m_pid = -1;
        return true;
    }
    // Returns the resident memory in KiB; 0 if it cannot be read.
    long residentKiB() const
    {
        std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.rfind("VmRSS:", 0) == 0)
                return std::atol(line.c_str() + 6);
        }
        return 0;
    }

private:
    const std::string m_settings;
    const std::string m_log;
    pid_t m_pid = -1;
};

// Returns the status of GET /-/readiness; 0 without an answer.
inline int readiness(const address& at)
{
    const int fd = connectTo(at);
    if (fd < 0)
        return 0;
    sendAll(fd, "GET /-/readiness HTTP/1.1\r\nHost: " + at.text() + "\r\nConnection: close\r\n\r\n");
    const auto head = readHead(fd);
    close(fd);
    return head ? head->status() : 0;
}

// Waits until the gateway reports that it is ready.
inline bool awaitReady(const address& at, double limit)
{
    for (const double until = seconds() + limit; seconds() < until; sleepMs(50)) {
        if (readiness(at) == 200)
            return true;
    }
    return false;
}

} // namespace review
