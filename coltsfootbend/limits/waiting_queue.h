#pragma once

// Orders requests that wait for the same resource by priority, then by arrival. Keeps no time and wakes no request:
// each waiting request checks how many are ahead of it.
//
//     const auto place = queue.join(priority);
//     if (queue.ahead(place) < free) { queue.leave(place); ... }

#include <compare>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <set>

namespace coltsfootbend {

// A queue of requests for one resource.
class waiting_queue {
public:
    // The position of one request in the queue.
    struct place {
        std::uint32_t priority = 0; // 0 is served first.
        std::uint64_t number = 0; // Increases with each arrival.
        auto operator<=>(const place&) const = default;
    };

    // Adds a request. The caller must remove it with `leave`.
    place join(std::uint32_t priority)
    {
        const place joined { .priority = priority, .number = ++m_last };
        m_places.insert(joined);
        return joined;
    }
    void leave(const place& place) { m_places.erase(place); }

    // Returns the number of requests ahead of a waiting one. O(n).
    std::size_t ahead(const place& place) const { return countBefore(place); }
    // Returns the number of requests that would be ahead of a new one of this priority. O(n).
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
