#include "coltsfootbend/gateway/event_stream.h"

#include <charconv>

namespace coltsfootbend {

namespace {

// The end of the first whole event in `text`, after the blank line; npos when there is none.
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
    std::string whole;
    std::string_view rest = m_pending;
    for (auto end = endOfEvent(rest); end != std::string_view::npos; end = endOfEvent(rest)) {
        const auto event = rest.substr(0, end);
        rest.remove_prefix(end);
        const auto id = idOf(event);
        if (id && m_lastId && *id <= *m_lastId)
            continue;
        if (id)
            m_lastId = id;
        whole.append(event);
        ++m_events;
    }
    m_pending.erase(0, m_pending.size() - rest.size());
    return whole;
}

} // namespace coltsfootbend
