// Tests that peers cannot make a process hold much that it has not read: the platform counts it as memory.

#include "coltsfootbend/measure/process_usage.h"
#include "coltsfootbend/net/byte_stream.h"
#include "coltsfootbend/net/fiber_runtime.h"
#include "coltsfootbend/net/test_address.h"

#include <arpa/inet.h>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mostUnread = 64 * kibibyte;

sockaddr_in nameOf(const endpoint& address)
{
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    (void)::inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
    return name;
}

// Represents a peer that sends without end, whatever the other end reads.
class endless_sender {
public:
    endless_sender()
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
    }
    ~endless_sender()
    {
        (void)::close(m_socket);
        if (m_listening >= 0)
            (void)::close(m_listening);
    }
    endless_sender(const endless_sender&) = delete;
    endless_sender& operator=(const endless_sender&) = delete;

    bool connect(const endpoint& address) const
    {
        const auto name = nameOf(address);
        return ::connect(m_socket, reinterpret_cast<const sockaddr*>(&name), sizeof name) == 0;
    }

    bool listen(const endpoint& address)
    {
        const auto name = nameOf(address);
        m_listening = std::exchange(m_socket, -1);
        return ::bind(m_listening, reinterpret_cast<const sockaddr*>(&name), sizeof name) == 0
            && ::listen(m_listening, 1) == 0;
    }

    // Waits for the connection to what `listen` opened.
    bool accept()
    {
        m_socket = ::accept4(m_listening, nullptr, nullptr, SOCK_CLOEXEC);
        return m_socket >= 0;
    }

    // Sends until the kernel takes nothing for 200 ms.
    void sendUntilFull(fiber_runtime& runtime) const
    {
        const std::string bytes(16 * kibibyte, 'x');
        for (auto lastSentAt = clock_type::now(); clock_type::now() < lastSentAt + 200ms;) {
            if (::send(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL) > 0)
                lastSentAt = clock_type::now();
            else
                runtime.sleepFor(1ms);
        }
    }

private:
    int m_socket;
    int m_listening = -1;
};

// Runs `work` on a new runtime in a new thread, because the fiber scheduler of a thread cannot be replaced.
void onRuntime(const std::function<void(fiber_runtime&)>& work)
{
    std::thread([&] {
        fiber_runtime runtime;
        runtime.spawn([&] {
            work(runtime);
            runtime.spawn([&] {
                const auto limit = clock_type::now() + 5s;
                while (runtime.fibers() > 1 && clock_type::now() < limit)
                    runtime.sleepFor(1ms);
                runtime.stop();
            });
        });
        runtime.run();
    }).join();
}

std::size_t unreadBytes() { return usageOf(::getpid())->unread; }

// Guards against callers that send without end: 2,000 of them held 217 MB of a gateway whose VM has 260.
TEST(UnreadBytes, OfACallerThatIsNotReadAreBounded)
{
    onRuntime([](fiber_runtime& runtime) {
        const auto address = testAddress(27470);
        const auto isDone = std::make_shared<bool>(false);
        const auto opened
            = listener::open(runtime, { .address = address, .tls = {} }, [&runtime, isDone](const byte_stream_ptr&) {
                  while (!*isDone)
                      runtime.sleepFor(1ms);
              });
        ASSERT_TRUE(opened);
        const endless_sender caller;
        ASSERT_TRUE(caller.connect(address));
        const auto before = unreadBytes();
        caller.sendUntilFull(runtime);
        const auto unread = unreadBytes() - before;
        EXPECT_GT(unread, 0U);
        EXPECT_LE(unread, mostUnread);
        *isDone = true;
        (*opened)->close();
    });
}

// Guards against servers whose answers wait for slow callers: 1,500 of them held 80 MB of a gateway.
TEST(UnreadBytes, OfAServerThatIsNotReadAreBounded)
{
    onRuntime([](fiber_runtime& runtime) {
        const auto address = testAddress(27471);
        endless_sender server;
        ASSERT_TRUE(server.listen(address));
        const auto connected = connectTcp(runtime, address, clock_type::now() + 5s);
        ASSERT_TRUE(connected);
        ASSERT_TRUE(server.accept());
        const auto before = unreadBytes();
        server.sendUntilFull(runtime);
        const auto unread = unreadBytes() - before;
        EXPECT_GT(unread, 0U);
        EXPECT_LE(unread, mostUnread);
        (*connected)->close();
    });
}

} // namespace
} // namespace coltsfootbend
