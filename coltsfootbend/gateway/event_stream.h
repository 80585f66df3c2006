#pragma once

// Splits a backend server's event stream (server-sent events) into complete events. The gateway relays complete events
// only, so that another server can resume a broken stream after the last of them. Does not interpret the events' data.
//
//     event_splitter splitter(lastEventIdOfCaller);
//     std::string complete = splitter.feed(bytes); // complete events, without those that the caller already has
//     splitter.lastEventId(); // the event after which another server resumes the stream

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfootbend {

// Buffers the bytes of one event stream and returns each event once it is complete.
class event_splitter {
public:
    // `lastEventId`: the last event that the caller already has; none for a new stream.
    explicit event_splitter(std::optional<std::uint64_t> lastEventId)
        : m_lastEventId(lastEventId)
    {
    }

    // Returns the events that `bytes` completes. Drops events whose id is not above the last one, because a server may
    // resume a stream too early and repeat events. O(length).
    std::string feed(std::string_view bytes);

    // Returns the id of the last event that `feed` returned, or the id passed to the constructor before the first one.
    std::optional<std::uint64_t> lastEventId() const { return m_lastEventId; }
    // Returns the number of events that `feed` has returned.
    std::uint64_t eventCount() const { return m_eventCount; }
    // Returns the number of bytes of the incomplete event.
    std::size_t pendingSize() const { return m_pending.size(); }
    // Returns true when an event was started and is not complete.
    bool hasPartialEvent() const { return !m_pending.empty(); }
    // Discards the incomplete event; the server that resumes the stream sends it again.
    void dropPartialEvent() { m_pending.clear(); }

private:
    std::string m_pending;
    std::optional<std::uint64_t> m_lastEventId;
    std::uint64_t m_eventCount = 0;
};

} // namespace coltsfootbend
