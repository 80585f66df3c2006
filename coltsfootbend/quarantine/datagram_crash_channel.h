#pragma once

// Sends crash reports as datagrams, which may be lost.
//
//     datagram_crash_channel channel(settings.vm, *socket);
//     crash_gossip gossip(history, channel);

#include "coltsfootbend/net/datagram.h"
#include "coltsfootbend/quarantine/crash_gossip.h"
#include "coltsfootbend/wire/codec.h"

#include <utility>

namespace coltsfootbend {

// Sends the crash reports of one VM through its datagram socket.
class datagram_crash_channel final : public crash_channel {
public:
    datagram_crash_channel(vm_id sender, datagram_socket& socket)
        : m_sender(std::move(sender))
        , m_socket(socket)
    {
    }

    void send(const endpoint& receiver, const wire::crash_report& report) override
    {
        m_socket.send(
            receiver, wire::encode({ .sender = m_sender, .senderIncarnation = {}, .version = {}, .content = report }));
    }

private:
    const vm_id m_sender;
    datagram_socket& m_socket;
};

} // namespace coltsfootbend
