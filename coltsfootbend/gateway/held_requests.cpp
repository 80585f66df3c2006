#include "coltsfootbend/gateway/held_requests.h"

#include "coltsfootbend/base/log_event.h"
#include "coltsfootbend/net/fiber_signal.h"

#include <algorithm>
#include <exception>
#include <map>
#include <set>
#include <utility>

namespace coltsfootbend {

namespace {

// Pause between two updates. The agents of a large group report many times within it, and one update serves them all.
constexpr std::chrono::milliseconds minUpdateInterval { 5 };

// The fiber of one waiting request.
struct waiter {
    explicit waiter(fiber_runtime& runtime)
        : isResumed(runtime)
    {
    }
    const std::function<bool()>* isWithdrawn = nullptr;
    std::optional<wait_outcome> outcome;
    bool wasWithdrawn = false;
    fiber_signal isResumed;
};

const char* resultName(const std::optional<wait_outcome>& outcome)
{
    if (!outcome)
        return "withdrawn";
    return *outcome ? "sent" : toString(outcome->error().reason);
}

} // namespace

struct held_requests::shared_state {
    explicit shared_state(fiber_runtime& runtime)
        : changed(runtime)
    {
    }

    struct deployment_waits {
        deployment_queue queue;
        std::map<wait_ticket, waiter*> waiters;
    };

    static void update(deployment_waits& waits, time_point now)
    {
        for (auto& ended : waits.queue.update(now)) {
            const auto found = waits.waiters.find(ended.ticket);
            found->second->outcome = std::move(ended.outcome);
            found->second->isResumed.notify();
            waits.waiters.erase(found);
        }
    }

    static void withdraw(deployment_waits& waits)
    {
        std::erase_if(waits.waiters, [&](const auto& entry) {
            if (!(*entry.second->isWithdrawn)())
                return false;
            waits.queue.leave(entry.first);
            entry.second->wasWithdrawn = true;
            entry.second->isResumed.notify();
            return true;
        });
    }

    // Updates the queues until no request waits.
    void run(fiber_runtime& runtime)
    {
        while (isAnyWaiting()) {
            (void)changed.waitUntil(nextUpdateAt());
            for (auto& [deployment, waits] : deployments)
                tryUpdate(deployment, waits);
            runtime.sleepFor(minUpdateInterval);
        }
        isRunning = false;
    }

    // An exception must not end the updates, on which all waiting requests depend.
    static void tryUpdate(const deployment_id& deployment, deployment_waits& waits)
    {
        try {
            withdraw(waits);
            update(waits, clock_type::now());
        } catch (const std::exception& problem) {
            logEvent(log_event::RequestFaulted,
                "id=- deployment=" + deployment.text() + " why=\"updating the waiting requests: " + problem.what()
                    + "\"");
        }
    }

    // Returns when the first queue with waiting requests must be updated.
    time_point nextUpdateAt() const
    {
        auto next = time_point::max();
        for (const auto& [deployment, waits] : deployments) {
            if (!waits.waiters.empty())
                next = std::min(next, waits.queue.nextUpdateAt());
        }
        return next;
    }

    bool isAnyWaiting() const
    {
        return std::any_of(
            deployments.begin(), deployments.end(), [](const auto& entry) { return !entry.second.waiters.empty(); });
    }

    std::map<deployment_id, deployment_waits> deployments;
    wait_order::options options;
    std::set<std::uint32_t> measuredClasses; // Classes that have a gauge.
    fiber_signal changed;
    bool isRunning = false;
};

held_requests::held_requests(fiber_runtime& runtime, metrics_service& metrics, const wait_order::options& options)
    : m_runtime(runtime)
    , m_metrics(metrics)
    , m_state(std::make_shared<shared_state>(runtime))
{
    m_state->options = options;
    m_metrics.gauge("oldest_wait_seconds", [state = m_state] {
        auto oldest = time_point::max();
        for (const auto& [deployment, waits] : state->deployments) {
            for (const auto& waiting : waits.queue.classes())
                oldest = std::min(oldest, waiting.oldestArrivedAt);
        }
        return oldest == time_point::max() ? 0 : toMilliseconds(clock_type::now() - oldest) / 1000;
    });
}

std::optional<wait_outcome> held_requests::acquire(backend_picker& picker, const queued_request& request,
    const std::function<bool()>& isWithdrawn, const std::function<std::string()>& label)
{
    const auto state = m_state;
    const auto now = clock_type::now();
    auto& waits = state->deployments
                      .try_emplace(request.pick.deployment,
                          shared_state::deployment_waits { deployment_queue(picker, state->options), {} })
                      .first->second;
    if (state->measuredClasses.insert(request.priority).second) {
        m_metrics.gauge("requests_waiting", { { "class", std::to_string(request.priority) } },
            [state, priority = request.priority] {
                double waiting = 0;
                for (const auto& [deployment, others] : state->deployments) {
                    for (const auto& found : others.queue.classes())
                        waiting += found.priority == priority ? static_cast<double>(found.waiting) : 0;
                }
                return waiting;
            });
    }
    waiter own(m_runtime);
    own.isWithdrawn = &isWithdrawn;
    const auto ticket = waits.queue.join(request, now);
    // Leaves the queue, and gives back a place at a server, if an exception ends the fiber.
    struct queue_entry_guard {
        shared_state::deployment_waits& waits;
        backend_picker& picker;
        waiter& own;
        const wait_ticket ticket;
        ~queue_entry_guard()
        {
            waits.queue.leave(ticket);
            waits.waiters.erase(ticket);
            if (own.outcome && *own.outcome)
                picker.onRequestFinished(
                    (*own.outcome)->server.instance(), backend_outcome::Abandoned, std::nullopt, clock_type::now());
        }
    } guard { waits, picker, own, ticket };
    waits.waiters.emplace(ticket, &own);
    const auto ahead = waits.queue.aheadAtJoin(ticket);
    shared_state::update(waits, now);
    if (own.outcome)
        return std::exchange(own.outcome, std::nullopt);
    if (!state->isRunning) {
        m_runtime.spawnLoop("waiting requests", [state, &runtime = m_runtime] { state->run(runtime); });
        state->isRunning = true;
    }
    while (!own.outcome && !own.wasWithdrawn)
        (void)own.isResumed.waitUntil(time_point::max());
    m_metrics.count(
        "waits_total", { { "class", std::to_string(request.priority) }, { "result", resultName(own.outcome) } });
    logEvent(log_event::WaitEnded,
        label() + " waited_ms=" + std::to_string(remaining(now, clock_type::now()).count())
            + " ahead=" + std::to_string(ahead) + " class=" + std::to_string(request.priority) + " customer="
            + (request.customer.empty() ? "-" : request.customer.text()) + " result=" + resultName(own.outcome));
    return std::exchange(own.outcome, std::nullopt);
}

std::size_t held_requests::waiting(const deployment_id& deployment) const
{
    const auto found = m_state->deployments.find(deployment);
    return found == m_state->deployments.end() ? 0 : found->second.queue.size();
}

void held_requests::onChanged()
{
    if (m_state->isRunning)
        m_state->changed.notify();
}

void held_requests::setOptions(const wait_order::options& options)
{
    m_state->options = options;
    for (auto& [deployment, waits] : m_state->deployments)
        waits.queue.setOptions(options);
}

std::size_t held_requests::waiting() const
{
    std::size_t waiting = 0;
    for (const auto& [deployment, waits] : m_state->deployments)
        waiting += waits.queue.size();
    return waiting;
}

} // namespace coltsfootbend
