#pragma once

// Spreads crash records among gateways and rank agents without consensus. Updates are sent at once, and a process that
// receives a different digest exchanges all records with the sender. Gateways do not know each other, so agents carry
// records between them. The exchange repairs lost messages and network partitions, and fills the empty history of a VM
// that has started. Decides which records to send to which process; the channel sends them.
//
//     crash_gossip gossip(history, channel);
//     gossip.send(history.add(records, now), receivers, now);
//     gossip.receive(sender, report, now);

#include "coltsfootbend/net/byte_stream.h"
#include "coltsfootbend/quarantine/crash_history.h"
#include "coltsfootbend/wire/messages.h"

#include <vector>

namespace coltsfootbend {

// Sends a message to one process. The message may be lost.
class crash_channel {
public:
    virtual ~crash_channel() = default;
    virtual void send(const endpoint&, const wire::crash_report&) = 0;
};

// Keeps one crash history consistent with those of other processes.
class crash_gossip {
public:
    crash_gossip(crash_history& history, crash_channel& channel)
        : m_history(history)
        , m_channel(channel)
    {
    }

    // Sends records to each receiver, in as many messages as are needed.
    void send(const std::vector<crash_record>&, const std::vector<endpoint>& receivers, time_point now);

    // Adds the records of a report to the history, and returns those that changed it. Replies with all records if the
    // sender asks for them.
    std::vector<crash_record> receive(const endpoint& sender, const wire::crash_report&, time_point now);

    // Compares the digest of another process with that of this history. Exchanges all records with the sender if they
    // differ, a few times a second at most.
    void receiveDigest(const endpoint& sender, std::uint64_t digest, time_point now);

private:
    void sendAll(const endpoint& receiver, bool wantsAll, time_point now);

    crash_history& m_history;
    crash_channel& m_channel;
    time_point m_nextExchangeAt {};
};

} // namespace coltsfootbend
