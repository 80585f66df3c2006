#pragma once

// Packs the states of many ranks into one message. The ranks of a group share almost all values, so the shared values
// are encoded once, and each rank adds a few bytes. Deterministic. Not for interpreting states: see
// `group/group_state.h`.
//
//     auto answers = packStates(states, demand);
//     for (const auto& state : unpackStates(answers)) ...

#include "coltsfootbend/wire/messages.h"

#include <vector>

namespace coltsfootbend {

// Packs states and demand counts, and returns the states again, possibly in another order. Paces are rounded to
// hundredths. O(states).
wire::relayed_answers packStates(const std::vector<wire::rank_state>& states, std::vector<std::uint32_t> demand);
std::vector<wire::rank_state> unpackStates(const wire::relayed_answers&);

// Adds `counts` to `sum`, which grows to the longer of the two. Saturates instead of overflowing.
void addCounts(std::vector<std::uint32_t>& sum, const std::vector<std::uint32_t>& counts);

} // namespace coltsfootbend
