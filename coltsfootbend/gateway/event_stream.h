#pragma once

// Splits a server's event stream into whole events, so that only whole ones are passed on and a stream that broke can
// go on from the last of them. Not for what the events say.
//
//     event_splitter splitter(lastSeen);
//     std::string whole = splitter.feed(bytes); // whole events, those that were seen before left out
//     splitter.lastId(); // where another server has to go on

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfootbend {

class event_splitter {
public:
    // `lastId`: the caller has the events up to and with this one.
    explicit event_splitter(std::optional<std::uint64_t> lastId)
        : m_lastId(lastId)
    {
    }

    // Returns the whole events that `bytes` completes. Events with an id not above the last one are left out: a server
    // may begin a resumed stream too early. O(length).
    std::string feed(std::string_view bytes);

    // The id of the last event returned, or what the splitter was made with.
    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    // Events returned so far.
    std::uint64_t events() const { return m_events; }
    // True when an event was begun and is not whole.
    bool isInsideEvent() const { return !m_pending.empty(); }
    // Forgets the begun event: another server sends it again.
    void dropPending() { m_pending.clear(); }

private:
    std::string m_pending;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_events = 0;
};

} // namespace coltsfootbend
