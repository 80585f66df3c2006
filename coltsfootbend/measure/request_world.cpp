#include "coltsfootbend/measure/request_world.h"

#include "coltsfootbend/execution/ledger_registration.h"

#include <algorithm>

namespace coltsfootbend {

using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds drainLimit { 10 };

} // namespace

request_world::request_world(const request_trial_options& options)
    : m_options(options)
    , m_random(options.seed)
{
    for (int i = 0; i < dataCentres * workersPerDataCentre; ++i) {
        m_workers.push_back(std::make_unique<trial_worker>());
        m_workers.back()->id = vm_id("w" + std::to_string(i));
        m_workers.back()->dataCentre = i / workersPerDataCentre;
        m_holders.push_back(m_workers.back()->id);
        startIncarnation(*m_workers.back());
    }
    for (int i = 0; i < dataCentres * entriesPerDataCentre; ++i)
        m_entries.push_back(newEntry(i));
}

bool request_world::chance(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }
duration request_world::milliseconds(int least, int most)
{
    return std::chrono::microseconds(std::uniform_int_distribution<int>(least * 1000, most * 1000)(m_random));
}
bool request_world::hasFault(fault_kind kind) const
{
    return std::find(m_options.faults.begin(), m_options.faults.end(), kind) != m_options.faults.end();
}

std::shared_ptr<trial_entry> request_world::newEntry(int index)
{
    auto entry = std::make_shared<trial_entry>();
    entry->id = vm_id("e" + std::to_string(index));
    entry->dataCentre = index / entriesPerDataCentre;
    entry->incarnationId = incarnation(++m_lastIncarnation);
    entry->routes = std::make_unique<router>(router::options { .seed = m_random() });
    entry->retries = std::make_unique<retry_budget>(retry_budget::options { .reserve = 50, .maxRetries = 200 });
    updateKnownWorkers(*entry);
    return entry;
}

void request_world::updateKnownWorkers(trial_entry& entry)
{
    std::vector<routing_worker> known;
    for (const auto& worker : m_workers)
        known.push_back({ .place = { worker->id, worker->executor->ownIncarnation() },
            .leaving = worker->executor->isLeaving(),
            .remote = worker->dataCentre != entry.dataCentre });
    entry.routes->setWorkers(known);
}

// Updates the known workers of all entry VMs, each after a different delay.
void request_world::announceWorkers()
{
    for (auto& entry : m_entries)
        m_time.after(milliseconds(0, 900), [this, entry] { updateKnownWorkers(*entry); });
}

void request_world::startIncarnation(trial_worker& worker)
{
    const auto incarnationId = incarnation(++m_lastIncarnation);
    const bool isFirst = worker.incarnationId == 0;
    worker.incarnationId = incarnationId.number();
    worker.followers.clear();
    worker.requests.clear();
    worker.executor = std::make_unique<attempt_executor>(attempt_executor::options { .ownIncarnation = incarnationId,
        .table = { .maxAttempts = 2000, .maxAnswerBytes = 1'000'000 },
        .queue = { .slots = 4, .maxWaiting = 16 },
        .ledger = { .keyLifetime = keyLifetime,
            .maxKeys = 100'000,
            .completeFrom = m_time.now() + keyLifetime,
            .waitForRegistration = true } });
    registerIncarnation(worker, incarnationId);
    if (!isFirst)
        announceWorkers();
}

void request_world::registerIncarnation(trial_worker& worker, incarnation incarnationId)
{
    if (worker.executor->ownIncarnation() != incarnationId)
        return;
    const auto done = registerLedger({ m_platform, m_platform }, { worker.id, incarnationId },
        worker.executor->ledger(), m_time.now(), m_time.now());
    if (!done)
        m_time.after(200ms, [this, &worker, incarnationId] { registerIncarnation(worker, incarnationId); });
}

trial_worker& request_world::workerOf(const vm_id& id)
{
    return **std::find_if(m_workers.begin(), m_workers.end(), [&](const auto& worker) { return worker->id == id; });
}

void request_world::inject(fault_kind kind)
{
    auto& worker = *m_workers[randomIndex(m_workers.size())];
    switch (kind) {
    case fault_kind::EntryDies: {
        const auto index = randomIndex(m_entries.size());
        m_entries[index] = newEntry(static_cast<int>(index));
        return;
    }
    case fault_kind::WorkerDies:
        startIncarnation(worker);
        return;
    case fault_kind::WorkerPaused:
        worker.pausedUntil = m_time.now() + milliseconds(200, 4000);
        return;
    case fault_kind::WorkerLeaves:
        worker.executor->leave();
        workerChanged(worker);
        (void)handOverLedger({ m_platform, m_platform }, { worker.id, worker.executor->ownIncarnation() },
            worker.executor->ledger(), m_time.now(), m_time.now());
        worker.leftAt = m_time.now();
        m_leftAt[worker.executor->ownIncarnation()] = m_time.now();
        announceWorkers();
        m_time.after(
            300ms, [this, &worker, incarnationId = worker.incarnationId] { endIncarnation(worker, incarnationId); });
        return;
    case fault_kind::DataCentreCut:
        m_cutOff = static_cast<int>(randomIndex(dataCentres));
        m_time.after(milliseconds(300, 1200), [this] { m_cutOff = -1; });
        return;
    case fault_kind::StoreDown:
        m_platform.setFaults({ .down = chance(0.7), .loseNextAnswers = static_cast<int>(randomIndex(3)) });
        m_time.after(milliseconds(300, 1300), [this] { m_platform.setFaults({}); });
        return;
    case fault_kind::MessageLost:
    case fault_kind::MessageLate:
    case fault_kind::EngineFails:
    case fault_kind::CallerGone:
        return; // Drawn for each message or request.
    }
}

// Ends a planned stop when no attempt runs and no answer is read any more, or at the drain limit.
void request_world::endIncarnation(trial_worker& worker, std::uint64_t incarnationId)
{
    if (worker.incarnationId != incarnationId)
        return;
    const bool isOver = worker.executor->isIdle() && worker.followers.empty();
    if (!isOver && m_time.now() < worker.leftAt + drainLimit) {
        m_time.after(20ms, [this, &worker, incarnationId] { endIncarnation(worker, incarnationId); });
        return;
    }
    m_drainCut += worker.followers.size();
    ++m_drains;
    startIncarnation(worker);
}

duration request_world::drawDelay()
{
    if (hasFault(fault_kind::MessageLate) && chance(0.03))
        return milliseconds(20, 3000);
    return milliseconds(1, 2);
}

bool request_world::sendMessage(int from, trial_worker& worker, std::function<void()> deliver)
{
    const bool lost = isCut(from, worker.dataCentre) || (hasFault(fault_kind::MessageLost) && chance(0.02));
    if (lost)
        return false;
    deliverAt(worker, m_time.now() + drawDelay(), std::move(deliver));
    return true;
}

void request_world::deliverAt(trial_worker& worker, time_point when, std::function<void()> deliver)
{
    m_time.at(when, [this, &worker, deliver = std::move(deliver)]() mutable {
        if (m_time.now() < worker.pausedUntil)
            deliverAt(worker, worker.pausedUntil, std::move(deliver));
        else
            deliver();
    });
}

} // namespace coltsfootbend
