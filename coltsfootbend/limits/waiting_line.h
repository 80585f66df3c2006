#pragma once

// Who goes first among requests that wait for the same thing: the more urgent ones, then those that came before. Knows
// no time and sends nothing.
//
//     const auto place = line.join(priority);
//     if (line.ahead(place) < free) { line.leave(place); ... }

#include <compare>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <set>

namespace coltsfootbend {

class waiting_line {
public:
    struct place {
        std::uint32_t priority = 0; // 0 goes first.
        std::uint64_t number = 0;
        auto operator<=>(const place&) const = default;
    };

    place join(std::uint32_t priority)
    {
        const place joined { .priority = priority, .number = ++m_last };
        m_places.insert(joined);
        return joined;
    }
    void leave(const place& place) { m_places.erase(place); }

    // How many go before one that waits. O(line).
    std::size_t ahead(const place& place) const { return countBefore(place); }
    // How many would go before one that joined now. O(line).
    std::size_t aheadOfNew(std::uint32_t priority) const { return countBefore({ priority, m_last + 1 }); }

private:
    std::size_t countBefore(const place& place) const
    {
        return static_cast<std::size_t>(std::distance(m_places.begin(), m_places.lower_bound(place)));
    }

    std::set<place> m_places;
    std::uint64_t m_last = 0;
};

} // namespace coltsfootbend
