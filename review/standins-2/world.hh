// Small stand-ins for the cases of this review: an HTTP/1.1 server, the platform's store with its tables and its feed,
// and a supervisor of processes. They speak what PROTOCOL.md describes and nothing else. POSIX sockets, one thread for
// each connection.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <random>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace world {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

inline const steady::time_point startedAt = steady::now();

inline double seconds() { return std::chrono::duration<double>(steady::now() - startedAt).count(); }

inline void sleepMs(double ms) { std::this_thread::sleep_for(std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000))); }

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// Ends this process, and with it those that it has started, if the script that started it ends.
inline void endWithParent()
{
    const auto parent = ::getppid();
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (parent == 1 || ::getppid() != parent)
        std::_Exit(2);
}

// Writes `record.txt`: one line for each event, with the seconds since the start.
class recorder {
public:
    void open(const std::string& path) { m_file.open(path); }
    void line(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        char at[32];
        std::snprintf(at, sizeof at, "%8.3f  ", seconds());
        m_file << at << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline recorder& record()
{
    static recorder only;
    return only;
}

struct address {
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in toSockaddr(const address& at)
{
    sockaddr_in native {};
    native.sin_family = AF_INET;
    native.sin_port = htons(static_cast<std::uint16_t>(at.port));
    inet_pton(AF_INET, at.ip.c_str(), &native.sin_addr);
    return native;
}

// Returns a listening socket, or -1 if the address cannot be bound.
inline int listenAt(const address& at)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto native = toSockaddr(at);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&native), sizeof native) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

// Returns whether nobody uses the address, for TCP and UDP.
inline bool isFree(const address& at)
{
    const int tcp = listenAt(at);
    if (tcp < 0)
        return false;
    ::close(tcp);
    const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const auto native = toSockaddr(at);
    const bool bound = ::bind(udp, reinterpret_cast<const sockaddr*>(&native), sizeof native) == 0;
    ::close(udp);
    return bound;
}

inline int connectTo(const address& at, int timeoutMs = 1000)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval limit { timeoutMs / 1000, (timeoutMs % 1000) * 1000 };
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto native = toSockaddr(at);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&native), sizeof native) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

inline bool sendAll(int fd, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

inline std::string lower(std::string text)
{
    for (auto& letter : text)
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    return text;
}

struct message {
    std::string first; // The request line or the status line.
    std::map<std::string, std::string> headers; // Names in lower case.
    std::string body;
    std::string header(const std::string& name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const auto from = first.find(' ') + 1;
        return first.substr(from, first.find(' ', from) - from);
    }
    int status() const { return first.size() > 9 ? std::atoi(first.c_str() + 9) : 0; }
};

// Reads messages from a connection.
class reader {
public:
    explicit reader(int fd)
        : m_fd(fd)
    {
    }

    // Reads more bytes; false at the end of the connection or at `timeoutMs`.
    bool more(int timeoutMs)
    {
        pollfd waited { m_fd, POLLIN, 0 };
        if (::poll(&waited, 1, timeoutMs) <= 0) {
            m_timedOut = true;
            return false;
        }
        char bytes[16384];
        const auto n = ::recv(m_fd, bytes, sizeof bytes, 0);
        if (n <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    bool readHead(message& into, int timeoutMs)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more(timeoutMs))
                return false;
        }
        into = {};
        std::size_t at = 0;
        while (at < end) {
            auto stop = m_buffer.find("\r\n", at);
            stop = std::min(stop, end);
            const auto text = m_buffer.substr(at, stop - at);
            if (into.first.empty()) {
                into.first = text;
            } else if (const auto colon = text.find(':'); colon != std::string::npos) {
                auto value = text.substr(colon + 1);
                while (!value.empty() && value.front() == ' ')
                    value.erase(0, 1);
                into.headers[lower(text.substr(0, colon))] = value;
            }
            at = stop + 2;
        }
        m_buffer.erase(0, end + 4);
        return true;
    }

    bool readBytes(std::size_t count, std::string& into, int timeoutMs)
    {
        while (m_buffer.size() < count) {
            if (!more(timeoutMs))
                return false;
        }
        into += m_buffer.substr(0, count);
        m_buffer.erase(0, count);
        return true;
    }

    bool readLine(std::string& into, int timeoutMs)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            if (!more(timeoutMs))
                return false;
        }
        into = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return true;
    }

    // Reads a body with a length or in chunks. Returns false if it does not end as it should.
    bool readBody(message& into, int timeoutMs)
    {
        if (lower(into.header("transfer-encoding")) == "chunked") {
            while (true) {
                std::string size;
                if (!readLine(size, timeoutMs))
                    return false;
                const auto length = std::strtoul(size.c_str(), nullptr, 16);
                if (length > 0 && !readBytes(length, into.body, timeoutMs))
                    return false;
                std::string end;
                if (!readLine(end, timeoutMs))
                    return false;
                if (length == 0)
                    return true;
            }
        }
        const auto length = into.header("content-length");
        return length.empty() || readBytes(std::strtoul(length.c_str(), nullptr, 10), into.body, timeoutMs);
    }

    bool timedOut() const { return m_timedOut; }

private:
    int m_fd;
    std::string m_buffer;
    bool m_timedOut = false;
};

inline std::string response(
    int status, const std::string& body, const std::vector<std::pair<std::string, std::string>>& headers = {})
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Returns whether the peer has closed or reset the connection.
inline bool hasPeerLeft(int fd)
{
    pollfd asked { fd, POLLIN | POLLRDHUP, 0 };
    if (::poll(&asked, 1, 0) <= 0)
        return false;
    if ((asked.revents & (POLLHUP | POLLERR | POLLRDHUP)) != 0)
        return true;
    char byte = 0;
    return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

// Serves requests. The handler writes the answer to the connection itself, and returns whether it stays open.
class server {
public:
    using handler = std::function<bool(const message&, int fd)>;

    bool open(const address& at, handler serve)
    {
        const int listening = listenAt(at);
        if (listening < 0)
            return false;
        std::thread([listening, serve = std::move(serve)] {
            while (true) {
                const int fd = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) {
                    sleepMs(5);
                    continue;
                }
                const int on = 1;
                ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread([fd, &serve] {
                    reader from(fd);
                    message request;
                    while (from.readHead(request, 60'000) && from.readBody(request, 60'000) && serve(request, fd)) { }
                    ::close(fd);
                }).detach();
            }
        }).detach();
        return true;
    }
};

inline std::string base64(const std::string& bytes)
{
    static const char* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = static_cast<unsigned char>(bytes[i]) << 16U;
        value |= i + 1 < bytes.size() ? static_cast<unsigned char>(bytes[i + 1]) << 8U : 0;
        value |= i + 2 < bytes.size() ? static_cast<unsigned char>(bytes[i + 2]) : 0;
        text += letters[value >> 18U & 63U];
        text += letters[value >> 12U & 63U];
        text += i + 1 < bytes.size() ? letters[value >> 6U & 63U] : '=';
        text += i + 2 < bytes.size() ? letters[value & 63U] : '=';
    }
    return text;
}

inline std::string queryOf(const std::string& target, const std::string& name)
{
    auto at = target.find('?');
    while (at != std::string::npos) {
        const auto end = target.find('&', at + 1);
        const auto part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (part.rfind(name + "=", 0) == 0)
            return part.substr(name.size() + 1);
        at = end;
    }
    return "";
}

// The platform's store: rows in tables, one revision for all, and a feed of changes. Loses nothing.
class store {
public:
    bool open(const address& at)
    {
        return m_server.open(at, [this](const message& request, int fd) { return serve(request, fd); });
    }

    // Writes a row as the operator or a worker does.
    void put(const std::string& table, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        m_rows[table][key] = { value, ++m_revision, false };
        m_changed.notify_all();
    }
    void remove(const std::string& table, const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        m_rows[table][key] = { "", ++m_revision, true };
        m_changed.notify_all();
    }

private:
    struct row {
        std::string value;
        std::uint64_t revision = 0;
        bool isDeleted = false;
    };

    json encode(const std::string& table, std::uint64_t after, bool withDeleted)
    {
        json rows = json::array();
        std::vector<std::pair<std::uint64_t, json>> ordered;
        for (const auto& [key, found] : m_rows[table]) {
            if (found.revision <= after || (found.isDeleted && !withDeleted))
                continue;
            json entry { { "table", table }, { "part", "" }, { "key", key }, { "version_number", found.revision } };
            if (found.isDeleted)
                entry["deleted"] = true;
            else
                entry["value"] = base64(found.value);
            ordered.emplace_back(withDeleted ? found.revision : 0, entry);
        }
        if (withDeleted)
            std::sort(ordered.begin(), ordered.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
        for (auto& [revision, entry] : ordered)
            rows.push_back(std::move(entry));
        return { { "rows", rows }, { "truncated", false }, { "version_number", m_revision },
            { "now_ms", static_cast<std::int64_t>(seconds() * 1000) } };
    }

    bool serve(const message& request, int fd)
    {
        const auto target = request.target();
        const auto table = queryOf(target, "table");
        std::unique_lock lock(m_mutex);
        if (target.rfind("/-/rows-get", 0) == 0)
            return answer(fd, lock, 200, encode(table, 0, false).dump());
        if (target.rfind("/-/rows-feed", 0) == 0) {
            const auto after = std::strtoull(queryOf(target, "after_revision").c_str(), nullptr, 10);
            const auto until
                = steady::now() + std::chrono::milliseconds(std::strtoll(queryOf(target, "wait_ms").c_str(), nullptr, 10));
            const auto hasNews = [&] {
                for (const auto& [key, found] : m_rows[table]) {
                    if (found.revision > after)
                        return true;
                }
                return false;
            };
            while (!hasNews() && m_changed.wait_until(lock, until) != std::cv_status::timeout) { }
            return answer(fd, lock, 200, encode(table, after, true).dump());
        }
        if (target.rfind("/-/rows-tx", 0) == 0) {
            const auto asked = json::parse(request.body, nullptr, false);
            for (const auto& entry : asked.value("writes", json::array()))
                m_rows[entry.value("table", "")][entry.value("key", "")] = { "", ++m_revision, false };
            m_changed.notify_all();
            return answer(fd, lock, 200, json { { "version_number", m_revision }, { "now_ms", 0 } }.dump());
        }
        return answer(fd, lock, 404, "{}");
    }

    static bool answer(int fd, std::unique_lock<std::mutex>& lock, int status, const std::string& body)
    {
        lock.unlock();
        sleepMs(4);
        return sendAll(fd, response(status, body, { { "Content-Type", "application/json" } }));
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, row>> m_rows;
    std::uint64_t m_revision = 0;
    server m_server;
};

// The processes of the system. All of them are killed at the end, by their ids.
class supervisor {
public:
    explicit supervisor(std::string program, std::string folder)
        : m_program(std::move(program))
        , m_folder(std::move(folder))
    {
    }
    ~supervisor() { killAll(); }

    // Starts the program of the deploy file, whose settings the platform names in COLTSFOOTBEND_BOOT.
    void start(const std::string& name, const std::string& settings)
    {
        const auto path = m_folder + "/" + name + ".toml";
        std::ofstream(path) << settings;
        startAgain(name);
    }
    void startAgain(const std::string& name)
    {
        const auto path = m_folder + "/" + name + ".toml";
        const auto log = m_folder + "/" + name + ".log";
        const auto pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            ::setenv("COLTSFOOTBEND_BOOT", path.c_str(), 1);
            ::execl(m_program.c_str(), m_program.c_str(), static_cast<char*>(nullptr));
            ::_exit(127);
        }
        const std::lock_guard lock(m_mutex);
        m_pids[name] = pid;
    }
    // Kills all processes and exits with 2 if the case takes longer than this.
    void endAfter(double limit)
    {
        std::thread([this, limit] {
            while (seconds() < limit)
                sleepMs(100);
            record().line("the case took too long");
            killAll();
            std::_Exit(2);
        }).detach();
    }
    void signal(const std::string& name, int number)
    {
        const std::lock_guard lock(m_mutex);
        if (const auto found = m_pids.find(name); found != m_pids.end())
            ::kill(found->second, number);
    }
    // Returns whether the process runs; takes its status if it has ended.
    bool isRunning(const std::string& name)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_pids.find(name);
        if (found == m_pids.end())
            return false;
        int status = 0;
        if (::waitpid(found->second, &status, WNOHANG) == 0)
            return true;
        m_pids.erase(found);
        return false;
    }
    void killAll()
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [name, pid] : m_pids) {
            ::kill(pid, SIGKILL);
            int status = 0;
            ::waitpid(pid, &status, 0);
        }
        m_pids.clear();
    }

private:
    const std::string m_program;
    const std::string m_folder;
    std::mutex m_mutex;
    std::map<std::string, pid_t> m_pids;
};

// Addresses of a small deployment on loopback: 127.NETWORK.x.y, with the ports of the users' example.
struct network {
    int number = 0;
    std::string ip(int group, int host) const
    {
        return "127." + std::to_string(number) + "." + std::to_string(group) + "." + std::to_string(host);
    }
    address storeAddress() const { return { ip(3, 1), 8223 }; }
    address callers(int gateway) const { return { ip(1, gateway), 8227 }; }
    address ready(int gateway) const { return { ip(1, gateway), 8220 }; }
    address gatewayPeers(int gateway) const { return { ip(1, gateway), 7340 }; }
    address engine(int rank) const { return { ip(2, rank + 1), 8228 }; }
    address agentPeers(int rank) const { return { ip(2, rank + 1), 7340 }; }
    address plain(int number) const { return { ip(4, number), 8229 }; }
};

// Draws a network of which all addresses are free. Returns number 0 if none is found.
inline network drawNetwork(int gateways, int ranks)
{
    std::mt19937 random(static_cast<unsigned>(unixMs()) ^ static_cast<unsigned>(::getpid()));
    for (int tries = 0; tries < 50; ++tries) {
        network drawn { static_cast<int>(30 + random() % 190) };
        bool free = isFree(drawn.storeAddress());
        for (int i = 1; i <= gateways; ++i)
            free = free && isFree(drawn.callers(i)) && isFree(drawn.ready(i)) && isFree(drawn.gatewayPeers(i));
        for (int i = 0; i < ranks; ++i)
            free = free && isFree(drawn.engine(i)) && isFree(drawn.agentPeers(i));
        for (int i = 1; i <= 4; ++i)
            free = free && isFree(drawn.plain(i));
        if (free)
            return drawn;
    }
    return {};
}

// The settings of the two roles, as the templates of the deploy file give them.
inline std::string commonSettings(const std::string& vm, const address& peers, const network& net, int memoryMb, int fds)
{
    return "vm = \"" + vm + "\"\ndata_centre = \"zone-a\"\npeers = \"" + peers.text() + "\"\ndeployment_store = \""
        + net.storeAddress().text() + "\"\npeer_hints = []\ndrain_limit_s = \"8\"\n\n[regions]\n\"zone-a\" = \"region\"\n\n"
        + "[limits]\nmemory_mb = \"" + std::to_string(memoryMb) + "\"\nfile_descriptors = \"" + std::to_string(fds)
        + "\"\n\n";
}

inline std::string gatewaySettings(const network& net, int gateway)
{
    return commonSettings("frontend-" + std::to_string(gateway), net.gatewayPeers(gateway), net, 260, 4100)
        + "[gateway]\ncallers = \"" + net.callers(gateway).text() + "\"\nhealth = \"" + net.ready(gateway).text()
        + "\"\nretry_ratio = \"0.2\"\nretry_window_s = \"10\"\nretry_extra = \"92\"\n";
}

inline std::string agentSettings(const network& net, int rank)
{
    return commonSettings("side-" + std::to_string(rank), net.agentPeers(rank), net, 128, 2048) + "[rank_agent]\nengine = \""
        + net.engine(rank).text() + "\"\n";
}

} // namespace world
