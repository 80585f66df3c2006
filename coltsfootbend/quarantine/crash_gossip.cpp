#include "coltsfootbend/quarantine/crash_gossip.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

// Keeps a message within one packet: each entry takes about 60 bytes.
constexpr std::size_t maxEntriesPerMessage = 20;
// Leaves time for the answer to an exchange to arrive, since one exchange is usually enough.
constexpr std::chrono::milliseconds minExchangeInterval { 200 };

// Sends the age of a crash and not its time, since the clocks of VMs differ.
wire::crash_entry toEntry(const crash_record& record, time_point now)
{
    return { .suspect = record.suspect.text(),
        .server = record.server.text(),
        .ageMs = static_cast<std::uint64_t>(remaining(record.at, now).count()),
        .isCleared = record.isCleared };
}

crash_record toRecord(const wire::crash_entry& entry, time_point now)
{
    // Longer than any retention of crashes, and short enough that the subtraction below cannot overflow.
    constexpr std::uint64_t maxAgeMs = 86'400'000;
    return { .suspect = crash_suspect(entry.suspect),
        .server = server_incarnation(entry.server),
        .at = now - std::chrono::milliseconds(std::min(entry.ageMs, maxAgeMs)),
        .isCleared = entry.isCleared };
}

} // namespace

void crash_gossip::send(
    const std::vector<crash_record>& records, const std::vector<endpoint>& receivers, time_point now)
{
    wire::crash_report report;
    for (std::size_t i = 0; i < records.size(); ++i) {
        report.entries.push_back(toEntry(records[i], now));
        if (report.entries.size() < maxEntriesPerMessage && i + 1 < records.size())
            continue;
        for (const auto& receiver : receivers)
            m_channel.send(receiver, report);
        report.entries.clear();
    }
}

std::vector<crash_record> crash_gossip::receive(
    const endpoint& sender, const wire::crash_report& report, time_point now)
{
    std::vector<crash_record> records;
    records.reserve(report.entries.size());
    for (const auto& entry : report.entries)
        records.push_back(toRecord(entry, now));
    auto added = m_history.add(records, now);
    if (report.wantsAll)
        sendAll(sender, false, now);
    return added;
}

void crash_gossip::receiveDigest(const endpoint& sender, std::uint64_t digest, time_point now)
{
    // A full history drops some of the records it receives, so its digest might never equal that of the sender.
    if (digest == m_history.digest() || m_history.isFull() || now < m_nextExchangeAt)
        return;
    m_nextExchangeAt = now + minExchangeInterval;
    sendAll(sender, true, now);
}

void crash_gossip::sendAll(const endpoint& receiver, bool wantsAll, time_point now)
{
    send(m_history.records(), { receiver }, now);
    if (wantsAll)
        m_channel.send(receiver, { .entries = {}, .wantsAll = true });
}

} // namespace coltsfootbend
