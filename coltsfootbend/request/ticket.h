#pragma once

// A ticket is an idempotency key that an entry VM hands out ahead of use. It names the worker daemon, and the one life
// of it, that keeps its claim, so that nobody else could ever grant it: such a key needs no knowledge of former lives,
// and the holder is in the data centre where the caller is. Callers may always send keys of their own instead.
//
//     request_key key = makeTicket({ worker, life }, random());
//     if (auto ticket = parseTicket(key)) home = ticket->worker;

#include "coltsfootbend/request/attempt.h"

#include <optional>

namespace coltsfootbend {

// Returns a key that names `holder`. `nonce` must not repeat for one life of a holder: 64 random bits will do.
request_key makeTicket(const run_place& holder, std::uint64_t nonce);

// Returns the holder that a ticket names, or none when `key` is a caller's own. Every process reads a key in the same
// way, so one that merely looks like a ticket is treated as one by all. O(length).
std::optional<run_place> parseTicket(const request_key&);

} // namespace coltsfootbend
