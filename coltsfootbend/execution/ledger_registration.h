#pragma once

// Transfers a claim ledger from one incarnation of a worker daemon to the next through the platform, so that a planned
// restart loses no key. Each incarnation registers in one table row before it grants any key. At a planned stop it
// writes its keys to the object store and names the object in the row; the next incarnation takes them over by
// replacing the row. An incarnation that crashed leaves a row without keys, from which its successor detects that its
// ledger is incomplete. docs/design/AT-MOST-ONCE.md has the reasoning. Both functions may be repeated after any error.
//
//     auto registered = registerLedger(platform, identity, ledger, now, deadline);
//     handOverLedger(platform, identity, ledger, now, deadline); // last step of a planned stop

#include "coltsfootbend/request/claim_ledger.h"
#include "coltsfootbend/store/store.h"

namespace coltsfootbend {

// Identifies the owner of a ledger.
struct ledger_identity {
    vm_id worker;
    incarnation workerIncarnation;
};

// The platform's stores that the transfer uses.
struct ledger_platform {
    table_service& table;
    object_store& objects;
};

// The result of a registration.
struct ledger_registered {
    // False when the keys of an earlier incarnation are lost. The ledger then refuses, for one key lifetime, each key
    // that it may have granted.
    bool isComplete = false;
    std::size_t keys = 0; // Number of keys taken over.
};

// Registers this incarnation and takes over the keys that the previous one handed over. The ledger grants keys from
// then on. Fails with `Unavailable`, `Lost` or `Stale`; the ledger then grants none, and the caller should retry later.
result<ledger_registered> registerLedger(
    ledger_platform, const ledger_identity&, claim_ledger&, time_point now, time_point deadline);

// Stops granting and stores the keys for the next incarnation. Returns the number of keys. If it fails, the next
// incarnation treats the stop as a crash.
result<std::size_t> handOverLedger(
    ledger_platform, const ledger_identity&, claim_ledger&, time_point now, time_point deadline);

} // namespace coltsfootbend
