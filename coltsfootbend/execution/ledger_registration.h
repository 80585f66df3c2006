#pragma once

// Carries a claim ledger from one life of a worker daemon to the next through the platform, so that a planned restart
// forgets no key. Each life registers in one row before it grants any key; at a planned stop it writes its keys to the
// object store and names them in the row; the next life takes them over by replacing the row. A life that died
// unplanned leaves a row without keys, and then its successor knows that it does not know. docs/design/AT-MOST-ONCE.md
// has the reasoning. Both functions may be repeated after any error.
//
//     auto registered = registerLedger(platform, identity, ledger, now, deadline);
//     handOverLedger(platform, identity, ledger, now, deadline); // last thing of a planned stop

#include "coltsfootbend/request/claim_ledger.h"
#include "coltsfootbend/store/store.h"

namespace coltsfootbend {

struct ledger_identity {
    vm_id worker;
    incarnation life;
};

struct ledger_platform {
    table_service& table;
    object_store& objects;
};

struct ledger_registered {
    // False when a former life's keys are lost; the ledger then refuses what it cannot rule out for one key lifetime.
    bool isComplete = false;
    std::size_t keys = 0;
};

// Registers this life and takes over what the former one left. The ledger grants keys from then on. Fails with
// `Unavailable`, `Lost` or `Stale`: then it grants none, and the caller tries again later.
result<ledger_registered> registerLedger(
    ledger_platform, const ledger_identity&, claim_ledger&, time_point now, time_point deadline);

// Stops granting and leaves the keys to the next life. Returns how many there were. When it fails, the next life treats
// the stop as unplanned.
result<std::size_t> handOverLedger(
    ledger_platform, const ledger_identity&, claim_ledger&, time_point now, time_point deadline);

} // namespace coltsfootbend
