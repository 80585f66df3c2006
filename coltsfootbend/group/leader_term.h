#pragma once

// Terms order the leaders of a group: first by count, then by rank, so that no two ranks ever have the same one. Not
// for leases: a term never ends by itself, and whoever has the highest is obeyed.
//
//     const auto term = termAfter(highestSeen, ownRank);
//     assert(leaderOf(term) == ownRank);

#include "coltsfootbend/group/map_messages.h"

#include <cstdint>

namespace coltsfootbend {

using leader_term = std::uint64_t;

// Of a term's bits, those that name its leader.
constexpr unsigned termRankBits = 16;

// The lowest term above `seen` that belongs to `rank`.
constexpr leader_term termAfter(leader_term seen, rank_number rank)
{
    return ((seen >> termRankBits) + 1) << termRankBits | rank;
}

constexpr rank_number leaderOf(leader_term term) { return static_cast<rank_number>(term & ((1U << termRankBits) - 1)); }

} // namespace coltsfootbend
