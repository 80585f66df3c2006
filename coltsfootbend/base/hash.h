#pragma once

// Stable hashes: the same on every VM and in every version, so that processes choose the same candidate without
// exchanging messages. Not for secrets.
//
//     const vm_id& home = holders[rendezvousIndex(key.text(), holders)];

#include "coltsfootbend/base/id.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace coltsfootbend {

// Returns the 64-bit hash of `text` under `seed`. O(length).
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

// Returns the index in `candidates` that `key` maps to by rendezvous hashing: adding or removing one candidate moves
// only the keys of that candidate. Precondition: `candidates` is not empty. O(candidates).
std::size_t rendezvousIndex(std::string_view key, std::span<const vm_id> candidates);

// Returns the `count` best candidates for `key`, best first (all if there are fewer). O(candidates log count).
std::vector<vm_id> rendezvousRanking(std::string_view key, std::span<const vm_id> candidates, std::size_t count);

} // namespace coltsfootbend
