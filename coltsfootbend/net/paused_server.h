#pragma once

// A server for tests that stands still, as a suspended process does: the kernel accepts connections and buffers a few
// bytes of each, and nothing is read until the test resumes the server. Shows what of a request that was given up in
// the meantime still reaches the server.
//
//     paused_server server;
//     ... // A client connects to server.address(), sends a request and gives it up.
//     const auto received = server.resume();
//     EXPECT_TRUE(received.wasReset);

#include "coltsfootbend/net/byte_stream.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace coltsfootbend {

// What a server reads from one connection after its pause.
struct received_after_pause {
    std::string bytes;
    bool hasConnection = false;
    bool hasEnded = false; // The connection has ended in order: all that was sent has arrived.
    bool wasReset = false;
};

// Listens on a free loopback port. One connection at a time is served.
class paused_server {
public:
    paused_server()
        : m_listening(::socket(AF_INET, SOCK_STREAM, 0))
    {
        // The kernel buffers about this much of what is sent to the paused server; the rest stays with the sender.
        const int receiveBufferBytes = 2048;
        ::setsockopt(m_listening, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        auto* bound = reinterpret_cast<sockaddr*>(&address);
        if (::bind(m_listening, bound, length) != 0 || ::listen(m_listening, SOMAXCONN) != 0
            || ::getsockname(m_listening, bound, &length) != 0)
            throw std::system_error(errno, std::generic_category(), "listening on a loopback port");
        m_port = ntohs(address.sin_port);
    }
    ~paused_server()
    {
        closeConnection();
        ::close(m_listening);
    }
    paused_server(const paused_server&) = delete;
    paused_server& operator=(const paused_server&) = delete;

    endpoint address() const { return { "127.0.0.1", m_port }; }

    // Sends bytes on the next connection without reading from it. Returns false if there is none.
    bool respondWithoutReading(std::string_view bytes)
    {
        return accept() && ::send(m_connection, bytes.data(), bytes.size(), MSG_NOSIGNAL) == ssize_t(bytes.size());
    }

    // Reads from the connection until it ends, or until nothing arrives for `quietTimeMs`. Blocks the thread.
    received_after_pause resume()
    {
        received_after_pause received;
        received.hasConnection = accept();
        while (received.hasConnection && !received.hasEnded && !received.wasReset && isReadable(m_connection)) {
            std::array<char, 4096> buffer {};
            const auto size = ::recv(m_connection, buffer.data(), buffer.size(), 0);
            received.hasEnded = size == 0;
            received.wasReset = size < 0 && errno == ECONNRESET;
            received.bytes.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
        }
        closeConnection();
        return received;
    }

private:
    static constexpr int quietTimeMs = 500;

    static bool isReadable(int descriptor)
    {
        pollfd polled { .fd = descriptor, .events = POLLIN, .revents = 0 };
        return ::poll(&polled, 1, quietTimeMs) == 1;
    }

    bool accept()
    {
        if (m_connection < 0 && isReadable(m_listening))
            m_connection = ::accept(m_listening, nullptr, nullptr);
        return m_connection >= 0;
    }

    void closeConnection()
    {
        if (m_connection >= 0)
            ::close(m_connection);
        m_connection = -1;
    }

    const int m_listening;
    int m_connection = -1;
    std::uint16_t m_port = 0;
};

} // namespace coltsfootbend
