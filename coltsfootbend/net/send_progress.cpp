#include "coltsfootbend/net/send_progress.h"

#include <algorithm>
#include <linux/tcp.h> // <netinet/tcp.h> lacks the later members of `tcp_info`.
#include <netinet/in.h>
#include <sys/socket.h>

namespace coltsfootbend {

namespace {

constexpr int closedState = 7; // TCP_CLOSE of the kernel.

} // namespace

send_state sendStateOf(int socket)
{
    ::tcp_info info {}; // An older kernel fills only its first members.
    socklen_t size = sizeof info;
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return {};
    const bool isOpen = info.tcpi_state != closedState;
    return { .acknowledgedBytes = info.tcpi_bytes_acked,
        .sinceAcknowledgement = std::chrono::milliseconds(info.tcpi_last_ack_recv),
        .isOutstanding = isOpen && (info.tcpi_unacked > 0 || info.tcpi_notsent_bytes > 0),
        .isWaiting = isOpen && info.tcpi_notsent_bytes > 0,
        .wasWindowClosed = info.tcpi_rwnd_limited > 0 };
}

void send_progress::update(const send_state& state, time_point now)
{
    if (!state.isOutstanding)
        m_progressAt = now;
    else if (state.acknowledgedBytes != m_acknowledgedBytes)
        m_progressAt = std::max(m_progressAt, now - state.sinceAcknowledgement);
    m_acknowledgedBytes = state.acknowledgedBytes;
}

} // namespace coltsfootbend
