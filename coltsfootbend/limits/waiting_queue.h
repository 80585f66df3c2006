#pragma once

// Orders requests that wait for any of several resources, such as permits for servers, by priority, then by arrival.
// Keeps no time and wakes no request: each waiting request checks how many are ahead of it.
//
//     const auto place = queue.join(priority, unusable);
//     if (queue.aheadFor(place, free) < free.size()) { queue.leave(place); ... }

#include "coltsfootbend/base/id.h"

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <vector>

namespace coltsfootbend {

// Names a resource that queued requests wait for.
using queued_resource = text_id<struct queued_resource_tag>;

// A queue of requests that can each use most of the same resources.
class waiting_queue {
public:
    // The position of one request in the queue.
    struct place {
        std::uint32_t priority = 0; // 0 is served first.
        std::uint64_t number = 0; // Increases with each arrival.
        auto operator<=>(const place&) const = default;
    };

    // Adds a request that cannot use the resources `unusable`. The caller must remove it with `leave`.
    place join(std::uint32_t priority, std::vector<queued_resource> unusable = {})
    {
        const place joined { .priority = priority, .number = ++m_last };
        m_unusable.emplace(joined, std::move(unusable));
        return joined;
    }
    void leave(const place& place) { m_unusable.erase(place); }

    // Returns the place that a new request of this priority would get.
    place nextPlace(std::uint32_t priority) const { return { .priority = priority, .number = m_last + 1 }; }

    // Returns the number of requests ahead of `place`. O(n).
    std::size_t ahead(const place& place) const
    {
        return static_cast<std::size_t>(std::distance(m_unusable.begin(), m_unusable.lower_bound(place)));
    }
    // Returns the number of requests ahead of `place` that can use one of the resources `free`. O(n * free).
    std::size_t aheadFor(const place& place, const std::vector<queued_resource>& free) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_unusable.begin(), m_unusable.lower_bound(place), [&](const auto& entry) {
                return std::any_of(free.begin(), free.end(), [&](const auto& resource) {
                    return std::find(entry.second.begin(), entry.second.end(), resource) == entry.second.end();
                });
            }));
    }

private:
    std::map<place, std::vector<queued_resource>> m_unusable; // Of each request in the queue.
    std::uint64_t m_last = 0;
};

} // namespace coltsfootbend
