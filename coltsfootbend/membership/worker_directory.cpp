#include "coltsfootbend/membership/worker_directory.h"

#include "coltsfootbend/base/hash.h"

#include <algorithm>
#include <utility>

namespace coltsfootbend {

namespace {

// Number of replaced incarnations of a worker whose late announcements are recognised.
constexpr std::size_t maxFormerIncarnations = 8;

} // namespace

bool worker_directory::observe(time_point now, const wire::announce& announcement)
{
    const auto [found, isNew] = m_workers.try_emplace(announcement.worker);
    auto& worker = found->second;
    const auto& earlier = worker.formerIncarnations;
    if (std::find(earlier.begin(), earlier.end(), announcement.workerIncarnation) != earlier.end())
        return false;
    const bool isNewIncarnation = !isNew && worker.last.workerIncarnation != announcement.workerIncarnation;
    if (isNewIncarnation) {
        worker.formerIncarnations.push_back(worker.last.workerIncarnation);
        if (worker.formerIncarnations.size() > maxFormerIncarnations)
            worker.formerIncarnations.pop_front();
    }
    const bool wasLeaving = !isNew && !isNewIncarnation && worker.last.leaving;
    const bool wasSuspected = !isNew && now >= worker.suspectAt;
    const bool changed = isNew || isNewIncarnation || wasSuspected || wasLeaving != announcement.leaving
        || worker.last.deployments != announcement.deployments;
    worker.last = announcement;
    // An incarnation that leaves never returns. Announcements may arrive out of order, so a later one without the flag
    // is outdated.
    worker.last.leaving = announcement.leaving || wasLeaving;
    const std::chrono::microseconds interval(announcement.nextWithinUs);
    worker.suspectAt = now + interval * m_options.suspectAfterMissed;
    worker.forgetAt = now + interval * m_options.forgetAfterMissed;
    return changed;
}

worker_directory::expired worker_directory::expire(time_point now)
{
    expired report;
    report.changed = std::erase_if(m_workers, [&](const auto& entry) { return now >= entry.second.forgetAt; }) > 0;
    for (auto& [id, worker] : m_workers) {
        const bool isSuspected = now >= worker.suspectAt;
        if (isSuspected && !worker.suspected)
            report.newlySuspected.push_back(id);
        report.changed = report.changed || isSuspected != worker.suspected;
        worker.suspected = isSuspected;
    }
    return report;
}

std::vector<routing_worker> worker_directory::workersOf(const deployment_id& deployment, time_point now) const
{
    std::vector<routing_worker> found;
    for (const auto& [id, worker] : m_workers) {
        const auto& served = worker.last.deployments;
        if (std::find(served.begin(), served.end(), deployment) == served.end())
            continue;
        found.push_back({ .place = { id, worker.last.workerIncarnation },
            .leaving = worker.last.leaving,
            .remote = worker.last.dataCentre != m_options.own,
            .suspected = now >= worker.suspectAt });
    }
    return found;
}

const known_worker* worker_directory::find(const vm_id& id) const
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

std::vector<announce_target> chooseAnnounceTargets(const vm_id& worker, const data_centre_id& own,
    const std::vector<std::pair<vm_id, data_centre_id>>& entries, std::size_t localTargets)
{
    std::map<data_centre_id, std::vector<vm_id>> byDataCentre;
    for (const auto& [entry, dataCentre] : entries)
        byDataCentre[dataCentre].push_back(entry);
    std::vector<announce_target> targets;
    for (const auto& [dataCentre, candidates] : byDataCentre) {
        const bool isLocal = dataCentre == own;
        for (auto& entry : rendezvousRanking(worker.text(), candidates, isLocal ? localTargets : 1))
            targets.push_back({ std::move(entry), isLocal });
    }
    return targets;
}

} // namespace coltsfootbend
