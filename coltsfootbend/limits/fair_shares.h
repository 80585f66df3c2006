#pragma once

// Orders customers that have waiting work by virtual time, so that each gets its share of what is granted. An idle
// customer accumulates nothing: it joins again at the virtual time of the customer that was served last. Deterministic.
// Does not store the work itself: see `limits/admission_queue.h` and `limits/wait_order.h`.
//
//     fair_shares shares;
//     shares.activate(customer); // It has work now.
//     shares.charge(*shares.next(), cost / weight);

#include "coltsfootbend/base/id.h"

#include <algorithm>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace coltsfootbend {

class fair_shares {
public:
    // Customers with work by virtual time; the first one is served next.
    using order = std::set<std::pair<double, customer_id>>;

    // Adds a customer that has work from now on. Does nothing if it had some already. O(log customers).
    void activate(const customer_id& customer)
    {
        auto& time = m_virtualTimes[customer];
        if (m_active.contains({ time, customer }))
            return;
        time = std::max(time, m_virtualTime);
        m_active.emplace(time, customer);
    }
    // Removes a customer that has no work any more. O(log customers).
    void deactivate(const customer_id& customer) { m_active.erase({ m_virtualTimes[customer], customer }); }

    // Counts `cost`, the granted work divided by the customer's weight, towards the share of an active customer.
    // O(log customers).
    void charge(const customer_id& customer, double cost)
    {
        auto& time = m_virtualTimes[customer];
        // A customer that is served out of turn must not set back those that become active.
        m_virtualTime = std::max(m_virtualTime, m_active.begin()->first);
        m_active.erase({ time, customer });
        time += cost;
        m_active.emplace(time, customer);
    }

    // Returns the customer that has received least for its share, or none if no customer has work.
    std::optional<customer_id> next() const
    {
        return m_active.empty() ? std::nullopt : std::optional(m_active.begin()->second);
    }
    const order& active() const { return m_active; }

private:
    std::unordered_map<customer_id, double> m_virtualTimes;
    order m_active;
    double m_virtualTime = 0;
};

} // namespace coltsfootbend
