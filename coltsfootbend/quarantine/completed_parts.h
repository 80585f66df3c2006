#pragma once

// Remembers parts of prompts that were in completed answers. Such a part does not crash servers, so it is not suspected
// when a server crashes. Bounded memory: the parts that have not completed for longest are dropped first, which loses
// evidence and nothing else. Deterministic.
//
//     completed_parts completed({ .seed = random() });
//     completed.add(part);
//     if (!completed.contains(part)) // the part is suspected

#include "coltsfootbend/quarantine/crash_suspect.h"

#include <cstddef>
#include <cstdint>
#include <unordered_set>

namespace coltsfootbend {

// A set of the parts that completed last, as hashes of 64 bits.
class completed_parts {
public:
    struct options {
        // Seed of the hashes. Random in each process, so that no caller can choose an id that looks like another one.
        std::uint64_t seed = 0;
        // Between this number of parts and twice as many are remembered.
        std::size_t capacity = 8192;
    };

    explicit completed_parts(const options& options)
        : m_options(options)
    {
    }

    // Records that a part was in a completed answer. O(1).
    void add(const crash_suspect& part);
    // Returns whether the part was in a completed answer. O(1).
    bool contains(const crash_suspect& part) const;

private:
    std::uint64_t hashOf(const crash_suspect&) const;

    const options m_options;
    // Parts are added to the first set. When that is full, it replaces the second one.
    std::unordered_set<std::uint64_t> m_recent;
    std::unordered_set<std::uint64_t> m_earlier;
};

} // namespace coltsfootbend
