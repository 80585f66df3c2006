#pragma once

// Spreads what is known of crashes among gateways and rank agents, without anybody being asked to agree: news are told
// at once, and who hears that another one knows something else exchanges all with it. Agents pass on what gateways,
// which do not know each other, tell them. Lost messages, cuts, and VMs that start with nothing are made up for by the
// exchange. Decides whom to tell what; the channel sends.
//
//     crash_gossip gossip(history, channel);
//     gossip.tell(history.add(records, now), receivers, now);
//     gossip.hear(sender, report, now);

#include "coltsfootbend/net/byte_stream.h"
#include "coltsfootbend/quarantine/crash_history.h"
#include "coltsfootbend/wire/messages.h"

#include <vector>

namespace coltsfootbend {

// Sends one message to one process. It may be lost.
class crash_channel {
public:
    virtual ~crash_channel() = default;
    virtual void send(const endpoint&, const wire::crash_report&) = 0;
};

class crash_gossip {
public:
    crash_gossip(crash_history& history, crash_channel& channel)
        : m_history(history)
        , m_channel(channel)
    {
    }

    void tell(const std::vector<crash_record>&, const std::vector<endpoint>& receivers, time_point now);

    // Takes what is news, and answers if the sender wants to be told all.
    void hear(const endpoint& sender, const wire::crash_report&, time_point now);

    // Another process says what it knows. Exchanges all with it if that differs, a few times a second at most.
    void hearDigest(const endpoint& sender, std::uint64_t digest, time_point now);

private:
    void tellAll(const endpoint& receiver, bool wantsAll, time_point now);

    crash_history& m_history;
    crash_channel& m_channel;
    time_point m_nextExchangeAt {};
};

} // namespace coltsfootbend
