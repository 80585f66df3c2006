#pragma once

// The data centres that the operator has ordered to evacuate. An order is in force while the store holds it. If the
// store comes back from an older copy, an order that was written since may be missing: it remains in force until it has
// had the time to be written again. An order that was lifted since is back, and is obeyed until it is lifted again.
// Deterministic. Doesn't read rows of the store: see `gateway/deployment_watch.h`.
//
//     if (orders.update(written))
//         stopUsing(orders.inForce());

#include "coltsfootbend/base/id.h"
#include "coltsfootbend/base/time.h"

#include <map>
#include <set>

namespace coltsfootbend {

// Holds the orders and decides which are in force.
class evacuation_orders {
public:
    struct options {
        // Time after the store's return from an older copy within which the operator writes again what it has lost.
        duration rewriteGracePeriod = std::chrono::milliseconds(3000);
    };

    evacuation_orders()
        : evacuation_orders(options {})
    {
    }
    explicit evacuation_orders(const options& options)
        : m_options(options)
    {
    }

    const std::set<data_centre_id>& inForce() const { return m_inForce; }

    // Receives the orders that the store holds. Returns whether those in force have changed. O(orders log orders).
    bool update(const std::set<data_centre_id>& written);
    // Receives the orders of a store that has come back from an older copy at `now`. To be followed by `update`.
    void storeRestored(const std::set<data_centre_id>& written, time_point now);
    // Records that the operator has lifted an order. To be followed by `update`.
    void lift(const data_centre_id& dataCentre) { m_keptUntil.erase(dataCentre); }
    // Ends the orders that were not written again in time. Returns whether those in force have changed.
    bool expire(time_point now);

private:
    const options m_options;
    std::set<data_centre_id> m_inForce;
    // Orders that the store lacks since it came back from an older copy, and until when each remains in force.
    std::map<data_centre_id, time_point> m_keptUntil;
};

} // namespace coltsfootbend
