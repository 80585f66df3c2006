#pragma once

// Stable hashes: the same on every VM and in every version, so that processes that never talk agree on a choice. Not
// for secrets.
//
//     vm_id home = *rendezvousChoice(key.text(), holders);

#include "coltsfootbend/base/id.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace coltsfootbend {

// Returns the 64-bit hash of `text` under `seed`. O(length).
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

// Returns the index in `candidates` that `key` maps to by rendezvous hashing: when one candidate is added or removed
// only the keys of that one move. Precondition: `candidates` is not empty. O(candidates).
std::size_t rendezvousIndex(std::string_view key, std::span<const vm_id> candidates);

// Returns the `count` best candidates for `key`, best first (all if there are fewer). O(candidates log count).
std::vector<vm_id> rendezvousRanking(std::string_view key, std::span<const vm_id> candidates, std::size_t count);

} // namespace coltsfootbend
