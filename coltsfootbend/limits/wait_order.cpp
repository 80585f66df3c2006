#include "coltsfootbend/limits/wait_order.h"

#include "coltsfootbend/limits/fair_shares.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace coltsfootbend {

namespace {

// Grants that a class or customer can be owed at most. Requests that no server can take must not collect a claim to all
// slots for later.
constexpr double maxOwed = 30;
// Window of the grant rate, and the shortest window from which the rate is computed.
constexpr std::chrono::milliseconds rateWindow { 1000 };
constexpr std::chrono::milliseconds minRateWindow { 200 };
// Time after which an arrival or a grant counts half as much towards the part of all arrivals that is granted.
constexpr std::chrono::milliseconds countHalfTime { 700 };
// The same for the part of the arrivals of one key. Several bursts long, so that keys are compared over all of them.
constexpr std::chrono::seconds keyCountHalfTime { 20 };

// Order of service: resumed streams, then by priority, and within a priority those that can still be served in time.
using service_rank = std::uint32_t;
constexpr service_rank resumptionRank = 0;

service_rank rankOf(const waiting_request& request, bool isLate)
{
    if (request.isResumption)
        return resumptionRank;
    return 1 + 2 * request.priority + (isLate ? 1 : 0);
}

// Counts events, each of which counts half as much after each half time.
class decaying_count {
public:
    explicit decaying_count(duration halfTime)
        : m_halfTime(halfTime)
    {
    }

    void add(time_point now)
    {
        m_count = at(now) + 1;
        m_decayedAt = now;
    }
    double at(time_point now) const
    {
        return m_count * std::exp2(-toMilliseconds(now - m_decayedAt) / toMilliseconds(m_halfTime));
    }

private:
    duration m_halfTime;
    double m_count = 0;
    time_point m_decayedAt {};
};

// Ensures that each key with waiting requests gets a minimum part of the grants. With each of its arrivals a key is
// owed a fraction of the part of all arrivals that has lately been granted, and a key that is owed a whole grant goes
// first.
template <typename Key> class guaranteed_parts {
public:
    explicit guaranteed_parts(double part)
        : m_part(part)
    {
    }

    void setPart(double part) { m_part = part; }

    // Records an arrival, which waits from now on.
    void recordArrival(const Key& key, time_point now)
    {
        m_arrivals.add(now);
        auto& state = m_keys[key];
        ++state.waiting;
        state.arrivals.add(now);
        state.owed = std::min(maxOwed, state.owed + m_part * std::min(1.0, m_grants.at(now) / m_arrivals.at(now)));
    }
    // Records that a request no longer waits.
    void removeWaiting(const Key& key) { --m_keys.at(key).waiting; }
    // Records a grant to a request that waits.
    void recordGrant(const Key& key, time_point now)
    {
        m_grants.add(now);
        auto& state = m_keys.at(key);
        state.grants.add(now);
        // Nothing is owed to a key of which no other request waits. What is owed to requests that left unserved stays.
        state.owed = state.waiting > 1 ? std::max(0.0, state.owed - 1) : 0;
    }
    // Returns the key with waiting requests of which the smallest part of the arrivals was granted, among `last` and
    // the keys before it. Precondition: a request of `last` waits. O(keys).
    Key leastServedUpTo(const Key& last, time_point now) const
    {
        Key least = last;
        double smallestShare = m_keys.at(last).servedShare(now);
        for (auto at = m_keys.begin(); at->first < last; ++at) {
            if (at->second.waiting == 0 || at->second.servedShare(now) >= smallestShare)
                continue;
            least = at->first;
            smallestShare = at->second.servedShare(now);
        }
        return least;
    }
    // Returns the key that is owed most, if that is a whole grant. O(keys).
    std::optional<Key> mostOwed() const
    {
        std::optional<Key> most;
        double mostOwed = 1;
        for (const auto& [key, state] : m_keys) {
            if (state.waiting == 0 || state.owed < mostOwed)
                continue;
            most = key;
            mostOwed = state.owed;
        }
        return most;
    }

private:
    struct key_state {
        double owed = 0;
        std::size_t waiting = 0;
        decaying_count arrivals { keyCountHalfTime };
        decaying_count grants { keyCountHalfTime };

        // Precondition: a request of the key waits, so that it has arrived.
        double servedShare(time_point now) const { return grants.at(now) / arrivals.at(now); }
    };

    double m_part;
    std::map<Key, key_state> m_keys;
    decaying_count m_arrivals { countHalfTime };
    decaying_count m_grants { countHalfTime };
};

} // namespace

struct wait_order::state {
    struct entry {
        waiting_request request;
        service_rank rank = 0;
    };
    // Earlier arrivals go first; the ticket distinguishes requests that arrived at the same time.
    using arrival_order = std::set<std::pair<time_point, wait_ticket>>;
    struct rank_queue {
        fair_shares shares;
        std::map<customer_id, arrival_order> customers;
        std::size_t waiting = 0;
    };

    explicit state(const options& options)
        : guaranteedToClasses(options.guaranteedPart)
        , guaranteedToCustomers(options.guaranteedPart)
    {
    }

    void enqueue(wait_ticket ticket, const entry& added)
    {
        auto& queue = ranks[added.rank];
        queue.shares.activate(added.request.customer);
        queue.customers[added.request.customer].emplace(added.request.arrivedAt, ticket);
        ++queue.waiting;
    }

    void dequeue(wait_ticket ticket, const entry& removed)
    {
        auto& queue = ranks.at(removed.rank);
        const auto customer = queue.customers.find(removed.request.customer);
        customer->second.erase({ removed.request.arrivedAt, ticket });
        if (customer->second.empty()) {
            queue.shares.deactivate(removed.request.customer);
            queue.customers.erase(customer);
        }
        --queue.waiting;
    }

    // Moves requests that can no longer be served in time behind the others.
    void updateLate(time_point now)
    {
        while (!timely.empty() && timely.begin()->first <= now) {
            const auto ticket = timely.begin()->second;
            timely.erase(timely.begin());
            auto& late = entries.at(ticket);
            dequeue(ticket, late);
            late.rank = rankOf(late.request, true);
            enqueue(ticket, late);
        }
    }

    // Returns the first request of a priority class, or of a customer, or of all.
    template <typename Predicate> std::optional<wait_ticket> firstWhere(const Predicate& isWanted) const
    {
        for (const auto& [rank, queue] : ranks) {
            for (const auto& [time, customer] : queue.shares.active()) {
                for (const auto& [arrivedAt, ticket] : queue.customers.at(customer)) {
                    if (isWanted(entries.at(ticket).request))
                        return ticket;
                }
            }
        }
        return std::nullopt;
    }

    std::optional<wait_ticket> guaranteed(time_point now) const
    {
        const auto resumptions = ranks.find(resumptionRank);
        if (resumptions != ranks.end() && resumptions->second.waiting > 0)
            return std::nullopt;
        if (const auto owed = guaranteedToClasses.mostOwed()) {
            // What is owed to a class must not make it better served than a more urgent one.
            const auto priority = guaranteedToClasses.leastServedUpTo(*owed, now);
            return firstWhere([&](const waiting_request& request) { return request.priority == priority; });
        }
        if (const auto customer = guaranteedToCustomers.mostOwed())
            return firstWhere([&](const waiting_request& request) { return request.customer == *customer; });
        return std::nullopt;
    }

    std::optional<wait_ticket> next(time_point now) const
    {
        const auto owed = guaranteed(now);
        return owed ? owed : firstWhere([](const waiting_request&) { return true; });
    }

    void remove(wait_ticket ticket, const entry& removed)
    {
        dequeue(ticket, removed);
        timely.erase({ removed.request.timelyUntil, ticket });
        guaranteedToClasses.removeWaiting(removed.request.priority);
        guaranteedToCustomers.removeWaiting(removed.request.customer);
        entries.erase(ticket);
    }

    std::unordered_map<wait_ticket, entry> entries;
    std::map<service_rank, rank_queue> ranks;
    std::set<std::pair<time_point, wait_ticket>>
        timely; // Requests that can still be served in time, by when they are late.
    guaranteed_parts<std::uint32_t> guaranteedToClasses;
    guaranteed_parts<customer_id> guaranteedToCustomers;
    std::uint64_t lastTicket = 0;
    time_point waitingSince {}; // Since when requests have waited without interruption.
    std::deque<time_point> grants; // Grants within `rateWindow` since then.
};

wait_order::wait_order(const options& options)
    : m_state(std::make_unique<state>(options))
{
}

wait_order::~wait_order() = default;
wait_order::wait_order(wait_order&&) noexcept = default;
wait_order& wait_order::operator=(wait_order&&) noexcept = default;

void wait_order::setOptions(const options& options)
{
    m_state->guaranteedToClasses.setPart(options.guaranteedPart);
    m_state->guaranteedToCustomers.setPart(options.guaranteedPart);
}

wait_ticket wait_order::join(const waiting_request& request, time_point now)
{
    auto& all = *m_state;
    if (all.entries.empty()) {
        all.waitingSince = now;
        all.grants.clear();
    }
    const wait_ticket ticket { ++all.lastTicket };
    const bool isLate = request.isReturning || request.timelyUntil <= now;
    const state::entry joined { .request = request, .rank = rankOf(request, isLate) };
    all.enqueue(ticket, joined);
    if (!isLate && !request.isResumption)
        all.timely.emplace(request.timelyUntil, ticket);
    all.guaranteedToClasses.recordArrival(request.priority, now);
    all.guaranteedToCustomers.recordArrival(request.customer, now);
    all.entries.emplace(ticket, joined);
    return ticket;
}

void wait_order::leave(wait_ticket ticket)
{
    const auto found = m_state->entries.find(ticket);
    if (found == m_state->entries.end())
        return;
    const auto removed = found->second;
    m_state->remove(ticket, removed);
}

void wait_order::grant(wait_ticket ticket, time_point now)
{
    auto& all = *m_state;
    const auto found = all.entries.find(ticket);
    if (found == all.entries.end())
        return;
    const auto granted = found->second;
    all.ranks.at(granted.rank).shares.charge(granted.request.customer, 1);
    all.guaranteedToClasses.recordGrant(granted.request.priority, now);
    all.guaranteedToCustomers.recordGrant(granted.request.customer, now);
    all.remove(ticket, granted);
    all.grants.push_back(now);
    while (now - all.grants.front() > rateWindow)
        all.grants.pop_front();
}

std::optional<wait_ticket> wait_order::next(time_point now)
{
    m_state->updateLate(now);
    return m_state->next(now);
}

std::optional<wait_ticket> wait_order::guaranteed(time_point now)
{
    m_state->updateLate(now);
    return m_state->guaranteed(now);
}

std::vector<wait_ticket> wait_order::firstInOrder(time_point now, std::size_t limit)
{
    m_state->updateLate(now);
    std::vector<wait_ticket> first;
    if (const auto preferred = m_state->next(now))
        first.push_back(*preferred);
    for (const auto& [rank, queue] : m_state->ranks) {
        for (const auto& [time, customer] : queue.shares.active()) {
            for (const auto& [arrivedAt, ticket] : queue.customers.at(customer)) {
                if (first.size() >= limit)
                    return first;
                if (ticket != first.front())
                    first.push_back(ticket);
            }
        }
    }
    return first;
}

std::size_t wait_order::ahead(const waiting_request& request, time_point now)
{
    m_state->updateLate(now);
    const auto own = rankOf(request, request.isReturning || request.timelyUntil <= now);
    std::size_t ahead = 0;
    for (const auto& [rank, queue] : m_state->ranks) {
        if (rank > own)
            break;
        if (rank < own) {
            ahead += queue.waiting;
            continue;
        }
        // Customers take turns, so each other one gets at most as many grants before the new request as its own one.
        const auto sameCustomer = queue.customers.find(request.customer);
        const std::size_t ownWaiting = sameCustomer == queue.customers.end() ? 0 : sameCustomer->second.size();
        for (const auto& [customer, requests] : queue.customers)
            ahead += customer == request.customer ? ownWaiting : std::min(requests.size(), ownWaiting + 1);
    }
    return ahead;
}

std::optional<double> wait_order::grantsPerSecond(time_point now) const
{
    const auto& all = *m_state;
    const auto from = std::max(all.waitingSince, now - rateWindow);
    if (all.entries.empty() || now - from < minRateWindow)
        return std::nullopt;
    const auto count = std::count_if(all.grants.begin(), all.grants.end(), [&](time_point at) { return at >= from; });
    if (count == 0)
        return std::nullopt; // Something else than a lack of slots stops all requests.
    return static_cast<double>(count) * 1000 / toMilliseconds(now - from);
}

std::size_t wait_order::size() const { return m_state->entries.size(); }

std::vector<waiting_class> wait_order::classes() const
{
    std::map<std::uint32_t, waiting_class> byPriority;
    for (const auto& [ticket, waiting] : m_state->entries) {
        const auto& request = waiting.request;
        auto& found = byPriority.try_emplace(request.priority, waiting_class { request.priority, 0, request.arrivedAt })
                          .first->second;
        ++found.waiting;
        found.oldestArrivedAt = std::min(found.oldestArrivedAt, request.arrivedAt);
    }
    std::vector<waiting_class> classes;
    classes.reserve(byPriority.size());
    for (const auto& [priority, waiting] : byPriority)
        classes.push_back(waiting);
    return classes;
}

} // namespace coltsfootbend
