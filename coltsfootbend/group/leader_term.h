#pragma once

// Leader terms of a group. Terms are ordered first by a counter and then by rank, so that no two ranks ever have the
// same term. Not for leases: a term never expires, and ranks obey the leader with the highest term.
//
//     const auto term = termAfter(highestSeen, ownRank);
//     assert(leaderOf(term) == ownRank);

#include "coltsfootbend/group/map_messages.h"

#include <cstdint>

namespace coltsfootbend {

using leader_term = std::uint64_t;

// Number of low bits of a term that hold the leader's rank; the counter occupies the higher bits.
constexpr unsigned termRankBits = 16;

// Returns the lowest term above `seen` that belongs to `rank`.
constexpr leader_term termAfter(leader_term seen, rank_number rank)
{
    return ((seen >> termRankBits) + 1) << termRankBits | rank;
}

// Returns the rank that leads in `term`.
constexpr rank_number leaderOf(leader_term term) { return static_cast<rank_number>(term & ((1U << termRankBits) - 1)); }

} // namespace coltsfootbend
