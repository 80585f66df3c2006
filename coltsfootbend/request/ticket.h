#pragma once

// A ticket is an idempotency key that an entry VM issues ahead of use. It names the worker daemon, and its incarnation,
// that stores its claim. Only this incarnation can grant it, so a ticket is usable without the claims of earlier
// incarnations, and its holder is in the caller's data centre. Callers may always send keys of their own instead.
//
//     request_key key = makeTicket({ worker, workerIncarnation }, random());
//     if (auto ticket = parseTicket(key)) home = ticket->worker;

#include "coltsfootbend/request/attempt.h"

#include <optional>

namespace coltsfootbend {

// Returns a key that names `holder`. `nonce` must not repeat for one incarnation of a holder; 64 random bits suffice.
request_key makeTicket(const run_place& holder, std::uint64_t nonce);

// Returns the holder that a ticket names, or none when the caller chose the key. All processes parse a key in the same
// way, so a caller's key in the form of a ticket is treated as a ticket everywhere. O(length).
std::optional<run_place> parseTicket(const request_key&);

} // namespace coltsfootbend
