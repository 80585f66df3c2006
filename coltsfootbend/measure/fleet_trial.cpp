#include "coltsfootbend/measure/fleet_trial.h"

#include "coltsfootbend/limits/retry_budget.h"
#include "coltsfootbend/measure/virtual_time.h"
#include "coltsfootbend/routing/router.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <random>

namespace coltsfootbend {

using namespace std::chrono_literals;

namespace {

constexpr auto networkDelay = 1ms;

struct fleet_request {
    std::size_t customer = 0;
    time_point arrivedAt {};
    time_point deadline {};
    duration service {};
    duration prefill {};
    std::uint64_t prefix = 0;
    int retriesLeft = 0;
    std::size_t entry = 0;
    std::vector<vm_id> tried {};
    // State of a running request.
    duration left {};
    time_point startedAt {};
    std::uint64_t startNumber = 0;
};

struct fleet_worker {
    std::size_t index = 0;
    vm_id id;
    double slow = 1;
    std::unique_ptr<admission_queue> queue;
    std::deque<attempt_id> plainQueue; // Queue of `queue_policy::FirstComeFirstServed`.
    std::size_t running = 0;
    std::map<attempt_id, fleet_request> requests;
    std::list<std::uint64_t> cache;
    duration reportedTotal {};
};

double quantile(std::vector<double>& values, double share)
{
    if (values.empty())
        return 0;
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

class fleet_trial {
public:
    explicit fleet_trial(const fleet_options& options)
        : m_options(options)
        , m_random(options.seed)
        , m_latencies(options.customers.size())
        , m_waits(options.customers.size())
    {
        std::vector<routing_worker> known;
        for (std::size_t i = 0; i < options.workers; ++i) {
            auto worker = std::make_unique<fleet_worker>();
            worker->index = i;
            worker->id = vm_id("w" + std::to_string(i));
            worker->slow = i == 0 ? options.slowFactor : 1;
            worker->queue = std::make_unique<admission_queue>(
                admission_queue::options { .slots = options.slots, .maxWaiting = options.maxWaiting });
            known.push_back({ .place = { worker->id, incarnation(1) } });
            m_workers.push_back(std::move(worker));
        }
        for (std::size_t i = 0; i < options.entries; ++i) {
            m_routers.push_back(std::make_unique<router>(router::options { .seed = options.seed * 1000 + i }));
            m_routers.back()->setWorkers(known);
            m_budgets.push_back(std::make_unique<retry_budget>(retry_budget::options {}));
        }
        m_report.customers.resize(options.customers.size());
    }

    fleet_report run()
    {
        const auto end = m_time.now() + m_options.length;
        for (std::size_t i = 0; i < m_options.customers.size(); ++i)
            scheduleArrival(i, end);
        for (auto& worker : m_workers)
            scheduleReport(*worker, end);
        m_time.runUntil(end + 20s);
        return finish();
    }

private:
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    duration exponential(double mean) { return fromMilliseconds(-mean * 1000 * std::log(1 - uniform())); }

    void scheduleArrival(std::size_t customer, time_point end)
    {
        const auto next = m_time.now() + exponential(1 / m_options.customers[customer].requestsPerSecond);
        if (next >= end)
            return;
        m_time.at(next, [this, customer, end] {
            arrive(customer);
            scheduleArrival(customer, end);
        });
    }

    void arrive(std::size_t index)
    {
        const auto& customer = m_options.customers[index];
        fleet_request request { .customer = index,
            .arrivedAt = m_time.now(),
            .deadline = m_time.now() + customer.patience,
            .retriesLeft = customer.retries,
            .entry = m_random() % m_options.entries };
        request.service = fromMilliseconds(toMilliseconds(customer.meanService) * (0.3 + 1.4 * uniform()));
        if (m_options.prefixes > 0) {
            request.prefill = m_options.prefill;
            request.prefix
                = 1 + static_cast<std::uint64_t>(static_cast<double>(m_options.prefixes) * std::pow(uniform(), 2.5));
        }
        ++m_report.customers[index].offered;
        send(request);
    }

    routing_request routed(const fleet_request& request) const
    {
        routing_request routed { .prefixes = {}, .prefillTime = request.prefill, .serviceTime = request.service };
        routed.priority = m_options.customers[request.customer].priority;
        if (request.prefix != 0)
            routed.prefixes.push_back(request.prefix);
        return routed;
    }

    bool isCached(const fleet_worker& worker, std::uint64_t prefix) const
    {
        return std::find(worker.cache.begin(), worker.cache.end(), prefix) != worker.cache.end();
    }

    duration pendingUpTo(const fleet_worker& worker, priority_class lowest) const
    {
        duration pending {};
        for (const auto& [attempt, request] : worker.requests) {
            if (m_options.customers[request.customer].priority <= lowest)
                pending += request.left;
        }
        return pending;
    }

    double truePendingMs(const fleet_worker& worker, priority_class priority) const
    {
        return toMilliseconds(pendingUpTo(worker, priority)) * worker.slow / static_cast<double>(m_options.slots);
    }

    std::optional<std::size_t> choose(const fleet_request& request)
    {
        const auto least = [&](auto cost) {
            std::optional<std::size_t> best;
            for (std::size_t i = 0; i < m_workers.size(); ++i) {
                const auto& tried = request.tried;
                if (std::find(tried.begin(), tried.end(), m_workers[i]->id) != tried.end())
                    continue;
                if (!best || cost(*m_workers[i]) < cost(*m_workers[*best]))
                    best = i;
            }
            return best;
        };
        switch (m_options.routing) {
        case routing_policy::Shipped: {
            const auto place = m_routers[request.entry]->choose(m_time.now(), routed(request), request.tried);
            if (!place)
                return std::nullopt;
            return std::stoul(place->worker.text().substr(1));
        }
        case routing_policy::Random:
            return m_random() % m_workers.size();
        case routing_policy::RoundRobin:
            return m_turn++ % m_workers.size();
        case routing_policy::LeastReported:
            return least([](const fleet_worker& worker) { return worker.reportedTotal.count(); });
        case routing_policy::Oracle:
            return least([&](const fleet_worker& worker) {
                const double prefill = isCached(worker, request.prefix) ? 0 : toMilliseconds(request.prefill);
                const bool hasSlot = worker.requests.size() < m_options.slots;
                // Prefers the emptiest worker while slots are free, because requests on their way do not wait yet.
                const double wait = hasSlot ? 0.001 * static_cast<double>(worker.requests.size())
                                            : truePendingMs(worker, m_options.customers[request.customer].priority);
                return wait + (prefill + toMilliseconds(request.service)) * worker.slow;
            });
        }
        return std::nullopt;
    }

    void send(const fleet_request& request)
    {
        ++m_report.attempts;
        const auto chosen = choose(request);
        if (!chosen) {
            refused(request, 100ms);
            return;
        }
        auto& worker = *m_workers[*chosen];
        const attempt_id attempt { vm_id("e"), incarnation(1), ++m_serial };
        m_routers[request.entry]->recordDispatch(m_time.now(), worker.id, attempt, routed(request));
        m_time.after(networkDelay, [this, &worker, attempt, request] { receive(worker, attempt, request); });
    }

    void receive(fleet_worker& worker, const attempt_id& attempt, fleet_request request)
    {
        const auto& customer = m_options.customers[request.customer];
        request.left = request.service;
        worker.requests[attempt] = request;
        if (m_options.queue == queue_policy::FirstComeFirstServed) {
            worker.plainQueue.push_back(attempt);
            startPlain(worker);
            return;
        }
        perform(worker,
            worker.queue->submit(m_time.now(),
                { .attempt = attempt,
                    .customer = customer_id(customer.name),
                    .priority = customer.priority,
                    .weight = customer.weight,
                    .deadline = request.deadline,
                    .expectedService = request.service,
                    .preemptible = true }));
    }

    void startPlain(fleet_worker& worker)
    {
        while (worker.running < m_options.slots && !worker.plainQueue.empty()) {
            const auto attempt = worker.plainQueue.front();
            worker.plainQueue.pop_front();
            ++worker.running;
            start(worker, attempt, true);
        }
    }

    void perform(fleet_worker& worker, const std::vector<admission_decision>& decisions)
    {
        for (const auto& decision : decisions) {
            auto& request = worker.requests.at(decision.attempt);
            switch (decision.verb) {
            case admission_verb::Start:
                start(worker, decision.attempt, true);
                break;
            case admission_verb::Resume:
                start(worker, decision.attempt, false);
                break;
            case admission_verb::Preempt:
                request.left -= fromMilliseconds(toMilliseconds(m_time.now() - request.startedAt) / worker.slow);
                ++request.startNumber;
                break;
            case admission_verb::Refuse: {
                auto back = request;
                worker.requests.erase(decision.attempt);
                m_routers[back.entry]->recordEnd(m_time.now(), worker.id, decision.attempt, std::nullopt);
                back.tried.push_back(worker.id);
                refused(back, decision.retryAfter);
                break;
            }
            }
        }
    }

    void start(fleet_worker& worker, const attempt_id& attempt, bool isFirst)
    {
        auto& request = worker.requests.at(attempt);
        if (isFirst && request.prefix != 0)
            useCache(worker, request);
        request.startedAt = m_time.now();
        const auto number = ++request.startNumber;
        const auto takes = fromMilliseconds(toMilliseconds(request.left) * worker.slow);
        m_time.after(takes, [this, &worker, attempt, number] {
            const auto found = worker.requests.find(attempt);
            if (found != worker.requests.end() && found->second.startNumber == number)
                done(worker, attempt);
        });
    }

    void useCache(fleet_worker& worker, fleet_request& request)
    {
        ++m_prefixUses;
        const auto cached = std::find(worker.cache.begin(), worker.cache.end(), request.prefix);
        if (cached != worker.cache.end()) {
            ++m_prefixHits;
            worker.cache.erase(cached);
        } else {
            request.left += request.prefill;
        }
        worker.cache.push_front(request.prefix);
        if (worker.cache.size() > m_options.cachedPrefixes)
            worker.cache.pop_back();
    }

    void done(fleet_worker& worker, const attempt_id& attempt)
    {
        const auto request = worker.requests.at(attempt);
        worker.requests.erase(attempt);
        const auto finishedAt = m_time.now() + networkDelay;
        auto& customer = m_report.customers[request.customer];
        ++customer.served;
        m_budgets[request.entry]->recordSuccess();
        if (finishedAt <= request.deadline) {
            ++customer.inTime;
            customer.serviceInTime += request.service;
        }
        const double latency = toMilliseconds(finishedAt - request.arrivedAt);
        m_latencies[request.customer].push_back(latency);
        m_waits[request.customer].push_back(latency - toMilliseconds(request.service));
        m_routers[request.entry]->recordEnd(
            m_time.now(), worker.id, attempt, m_time.now() - request.startedAt + networkDelay);
        if (m_options.queue == queue_policy::FirstComeFirstServed) {
            --worker.running;
            startPlain(worker);
        } else {
            perform(worker, worker.queue->complete(m_time.now(), attempt));
        }
    }

    void refused(fleet_request request, duration retryAfter)
    {
        const bool mayTryElsewhere = request.tried.size() == 1 && m_time.now() + request.service < request.deadline;
        if (mayTryElsewhere && m_budgets[request.entry]->takeRetry(m_time.now())) {
            send(request);
            return;
        }
        if (request.retriesLeft-- <= 0) {
            ++m_report.customers[request.customer].refused;
            return;
        }
        m_time.after(retryAfter, [this, request]() mutable {
            request.tried.clear();
            request.deadline = m_time.now() + m_options.customers[request.customer].patience;
            send(request);
        });
    }

    void scheduleReport(fleet_worker& worker, time_point end)
    {
        if (m_time.now() >= end)
            return;
        if (m_options.queue == queue_policy::Shipped && worker.queue->waiting() > 0)
            perform(worker, worker.queue->refuseLate(m_time.now()));
        load_report report {
            .pendingService = {}, .slots = static_cast<std::uint32_t>(m_options.slots), .age = m_options.reportInterval
        };
        priority_class lowest = 0;
        for (const auto& customer : m_options.customers)
            lowest = std::max(lowest, customer.priority);
        for (priority_class priority = 0; priority <= lowest; ++priority)
            report.pendingService.push_back(pendingUpTo(worker, priority));
        // Routers receive each report one interval after it was made.
        m_time.after(m_options.reportInterval, [this, &worker, report] {
            worker.reportedTotal = report.pendingService.back();
            for (auto& router : m_routers)
                router->observe(m_time.now(), worker.id, report);
        });
        m_time.after(m_options.reportInterval, [this, &worker, end] { scheduleReport(worker, end); });
    }

    fleet_report finish()
    {
        std::vector<double> waits;
        duration inTime {};
        for (std::size_t i = 0; i < m_report.customers.size(); ++i) {
            auto& customer = m_report.customers[i];
            waits.insert(waits.end(), m_waits[i].begin(), m_waits[i].end());
            customer.latencyP99Ms = quantile(m_latencies[i], 0.99);
            customer.waitP99Ms = quantile(m_waits[i], 0.99);
            inTime += customer.serviceInTime;
        }
        m_report.waitP99Ms = quantile(waits, 0.99);
        m_report.goodputPerSecond = toMilliseconds(inTime) / toMilliseconds(m_options.length);
        m_report.prefixHitRatio
            = static_cast<double>(m_prefixHits) / static_cast<double>(std::max<std::size_t>(m_prefixUses, 1));
        return m_report;
    }

    const fleet_options m_options;
    std::mt19937_64 m_random;
    virtual_time m_time;
    std::vector<std::unique_ptr<fleet_worker>> m_workers;
    std::vector<std::unique_ptr<router>> m_routers;
    std::vector<std::unique_ptr<retry_budget>> m_budgets;
    std::vector<std::vector<double>> m_latencies;
    std::vector<std::vector<double>> m_waits;
    fleet_report m_report;
    std::uint64_t m_serial = 0;
    std::size_t m_turn = 0;
    std::size_t m_prefixUses = 0;
    std::size_t m_prefixHits = 0;
};

} // namespace

fleet_report runFleetTrial(const fleet_options& options) { return fleet_trial(options).run(); }

} // namespace coltsfootbend
