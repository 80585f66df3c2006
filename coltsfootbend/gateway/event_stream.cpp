#include "coltsfootbend/gateway/event_stream.h"

#include <charconv>

namespace coltsfootbend {

namespace {

// Returns the position after the blank line that ends the first event in `text`, or npos when no event is complete.
std::size_t endOfEvent(std::string_view text)
{
    for (std::size_t at = text.find('\n'); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        const auto next = text.substr(at + 1);
        if (next.starts_with('\n'))
            return at + 2;
        if (next.starts_with("\r\n"))
            return at + 3;
    }
    return std::string_view::npos;
}

// Returns the value of the first "id:" line of `event` that is a number.
std::optional<std::uint64_t> idOf(std::string_view event)
{
    while (!event.empty()) {
        const auto end = event.find('\n');
        auto line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with("id:"))
            continue;
        line.remove_prefix(3);
        if (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        const auto [last, code] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (code == std::errc {})
            return id;
    }
    return std::nullopt;
}

} // namespace

std::string event_splitter::feed(std::string_view bytes)
{
    m_pending.append(bytes);
    std::string complete;
    std::string_view remaining = m_pending;
    for (auto end = endOfEvent(remaining); end != std::string_view::npos; end = endOfEvent(remaining)) {
        const auto event = remaining.substr(0, end);
        remaining.remove_prefix(end);
        const auto id = idOf(event);
        if (id && m_lastEventId && *id <= *m_lastEventId)
            continue;
        if (id)
            m_lastEventId = id;
        complete.append(event);
        ++m_eventCount;
    }
    m_pending.erase(0, m_pending.size() - remaining.size());
    return complete;
}

} // namespace coltsfootbend
