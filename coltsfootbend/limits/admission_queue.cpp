#include "coltsfootbend/limits/admission_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace coltsfootbend {

namespace {

double inSeconds(duration value) { return std::chrono::duration<double>(value).count(); }

// Keeps callers from retrying at once where no wait is expected.
constexpr std::chrono::milliseconds minRetryAfter { 50 };

} // namespace

admission_queue::admission_queue(const options& options)
    : m_options(options)
{
}

std::vector<admission_decision> admission_queue::submit(time_point now, const admission_job& job)
{
    if (m_leaving)
        return { refuseJob(now, job, refusal::WorkerLeaving) };
    const bool late
        = now + expectedWait(now, job.priority, job.customer, job.weight) + job.expectedService > job.deadline;
    if (m_options.refuseLate && late)
        return { refuseJob(now, job, refusal::DeadlineTooClose) };

    std::vector<admission_decision> decisions;
    if (m_waitingCount >= m_options.maxWaiting && m_running.size() >= m_options.slots) {
        decisions = evictFor(now, m_classes.empty() ? job.priority : m_classes.rbegin()->first, job);
        if (!decisions.empty() && decisions.back().attempt == job.attempt)
            return decisions;
    }
    enqueue(m_classes[job.priority], job);
    if (m_running.size() >= m_options.slots)
        preemptFor(now, job.priority, decisions);
    fillSlots(now, decisions);
    return decisions;
}

void admission_queue::enqueue(class_queue& queue, const admission_job& job)
{
    auto& customer = queue.customers[job.customer];
    queue.shares.activate(job.customer);
    customer.weight = job.weight;
    customer.jobs.emplace(job.deadline, job);
    customer.waitingService += job.expectedService;
    queue.waitingService += job.expectedService;
    ++queue.waiting;
    ++m_waitingCount;
    m_waitingClass[job.attempt] = job.priority;
}

admission_queue::deadline_order::iterator admission_queue::removeJob(
    class_queue& queue, customer_queue& customer, deadline_order::iterator position)
{
    const auto name = position->second.customer;
    customer.waitingService -= position->second.expectedService;
    queue.waitingService -= position->second.expectedService;
    m_waitingClass.erase(position->second.attempt);
    const auto next = customer.jobs.erase(position);
    --queue.waiting;
    --m_waitingCount;
    if (customer.jobs.empty())
        queue.shares.deactivate(name);
    return next;
}

// Frees capacity for `newJob` by refusing a job of the lowest class that has waiting jobs, of the customer with the
// most waiting work in proportion to its weight. That job may be the new job itself.
std::vector<admission_decision> admission_queue::evictFor(
    time_point now, priority_class lowest, const admission_job& newJob)
{
    auto victimClass = m_classes.rbegin();
    while (victimClass != m_classes.rend() && victimClass->second.waiting == 0)
        ++victimClass;
    if (victimClass == m_classes.rend() || victimClass->first < newJob.priority || lowest < newJob.priority)
        return { refuseJob(now, newJob, refusal::QueueFull) };

    auto& queue = victimClass->second;
    customer_queue* victim = nullptr;
    double worst = 0;
    for (const auto& turn : queue.shares.active()) {
        auto& candidate = queue.customers.at(turn.second);
        const double load = inSeconds(candidate.waitingService) / candidate.weight;
        if (!victim || load > worst) {
            victim = &candidate;
            worst = load;
        }
    }
    if (!victim)
        return { refuseJob(now, newJob, refusal::QueueFull) };
    if (victimClass->first == newJob.priority) {
        const auto own = queue.customers.find(newJob.customer);
        const auto ownWaiting = own == queue.customers.end() ? duration::zero() : own->second.waitingService;
        if (inSeconds(ownWaiting + newJob.expectedService) / newJob.weight >= worst)
            return { refuseJob(now, newJob, refusal::QueueFull) };
    }
    const auto last = std::prev(victim->jobs.end());
    const auto decision = refuseJob(now, last->second, refusal::QueueFull);
    removeJob(queue, *victim, last);
    return { decision };
}

std::vector<admission_decision> admission_queue::complete(time_point now, const attempt_id& attempt)
{
    std::vector<admission_decision> decisions;
    if (m_running.erase(attempt) == 0) {
        // The job may have ended while it was paused.
        for (auto& [priority, queue] : m_classes) {
            m_pausedCount
                -= std::erase_if(queue.paused, [&](const admission_job& job) { return job.attempt == attempt; });
        }
    }
    fillSlots(now, decisions);
    return decisions;
}

void admission_queue::cancelWaiting(const attempt_id& attempt)
{
    const auto found = m_waitingClass.find(attempt);
    if (found == m_waitingClass.end())
        return;
    auto& queue = m_classes.at(found->second);
    for (const auto& turn : queue.shares.active()) {
        auto& customer = queue.customers.at(turn.second);
        const auto position = std::find_if(customer.jobs.begin(), customer.jobs.end(),
            [&](const auto& entry) { return entry.second.attempt == attempt; });
        if (position == customer.jobs.end())
            continue;
        removeJob(queue, customer, position);
        return;
    }
}

std::vector<admission_decision> admission_queue::refuseLate(time_point now)
{
    std::vector<admission_decision> decisions;
    for (auto& [priority, queue] : m_classes) {
        for (auto& [name, customer] : queue.customers) {
            auto position = customer.jobs.begin();
            while (position != customer.jobs.end() && now + position->second.expectedService > position->first) {
                decisions.push_back(refuseJob(now, position->second, refusal::DeadlineTooClose));
                position = removeJob(queue, customer, position);
            }
        }
    }
    return decisions;
}

std::vector<admission_decision> admission_queue::leave()
{
    m_leaving = true;
    std::vector<admission_decision> decisions;
    for (auto& [priority, queue] : m_classes) {
        for (auto& [name, customer] : queue.customers) {
            for (auto position = customer.jobs.begin(); position != customer.jobs.end();) {
                decisions.push_back({ admission_verb::Refuse, position->second.attempt, refusal::WorkerLeaving, {} });
                position = removeJob(queue, customer, position);
            }
        }
    }
    return decisions;
}

void admission_queue::fillSlots(time_point now, std::vector<admission_decision>& decisions)
{
    while (m_running.size() < m_options.slots && startNext(now, decisions)) { }
}

bool admission_queue::startNext(time_point now, std::vector<admission_decision>& decisions)
{
    for (auto& [priority, queue] : m_classes) {
        if (!queue.paused.empty()) {
            const auto job = queue.paused.front();
            queue.paused.erase(queue.paused.begin());
            --m_pausedCount;
            run(now, job, admission_verb::Resume, decisions);
            return true;
        }
        const auto name = queue.shares.next();
        if (!name)
            continue;
        auto& customer = queue.customers.at(*name);
        const auto job = customer.jobs.begin()->second;
        queue.shares.charge(*name, inSeconds(job.expectedService) / job.weight);
        removeJob(queue, customer, customer.jobs.begin());
        if (m_options.refuseLate && now + job.expectedService > job.deadline) {
            // A job that would end past its deadline would only take the slot from another job.
            decisions.push_back(refuseJob(now, job, refusal::DeadlineTooClose));
            return true;
        }
        run(now, job, admission_verb::Start, decisions);
        return true;
    }
    return false;
}

// Frees one slot for `priority` by pausing the job of the lowest class that started last.
bool admission_queue::preemptFor(time_point now, priority_class priority, std::vector<admission_decision>& decisions)
{
    const auto victim = std::max_element(m_running.begin(), m_running.end(), [](const auto& left, const auto& right) {
        const auto rank
            = [](const running_job& job) { return std::tuple(job.job.preemptible, job.job.priority, job.order); };
        return rank(left.second) < rank(right.second);
    });
    if (victim == m_running.end() || !victim->second.job.preemptible || victim->second.job.priority <= priority)
        return false;
    auto job = victim->second.job;
    job.expectedService = std::max(victim->second.expectedEnd - now, duration::zero());
    decisions.push_back({ admission_verb::Preempt, job.attempt, refusal::None, {} });
    m_running.erase(victim);
    m_classes[job.priority].paused.push_back(job);
    ++m_pausedCount;
    return true;
}

void admission_queue::run(
    time_point now, const admission_job& job, admission_verb verb, std::vector<admission_decision>& decisions)
{
    m_running[job.attempt] = { job, now + job.expectedService, ++m_startOrder };
    decisions.push_back({ verb, job.attempt, refusal::None, {} });
}

admission_decision admission_queue::refuseJob(time_point now, const admission_job& job, refusal reason) const
{
    const auto wait = remaining(now, now + expectedWait(now, job.priority, job.customer, job.weight));
    return { admission_verb::Refuse, job.attempt, reason, std::max(wait, minRetryAfter) };
}

duration admission_queue::fairWait(const class_queue& queue, const customer_id& name, double weight) const
{
    const auto own = queue.customers.find(name);
    const auto ownWaiting = own == queue.customers.end() ? duration::zero() : own->second.waitingService;
    double weights = 0;
    for (const auto& turn : queue.shares.active())
        weights += queue.customers.at(turn.second).weight;
    if (ownWaiting == duration::zero())
        weights += weight;
    const double share = weight / std::max(weights, weight);
    const auto alone = fromMilliseconds(toMilliseconds(ownWaiting) / share);
    // Unused shares are redistributed, so the wait never exceeds the waiting work of the whole class.
    return std::min(alone, queue.waitingService);
}

duration admission_queue::expectedWait(
    time_point now, priority_class priority, const customer_id& customer, double weight) const
{
    if (m_running.size() < m_options.slots)
        return duration::zero();
    duration ahead {};
    for (const auto& [other, queue] : m_classes) {
        if (other < priority)
            ahead += queue.waitingService;
        else if (other == priority)
            ahead += fairWait(queue, customer, weight);
    }
    duration untilFreeSlot = duration::max();
    for (const auto& [attempt, running] : m_running) {
        const bool isPreemptible = running.job.preemptible && running.job.priority > priority;
        const auto left = isPreemptible ? duration::zero() : std::max(running.expectedEnd - now, duration::zero());
        untilFreeSlot = std::min(untilFreeSlot, left);
    }
    return untilFreeSlot + ahead / static_cast<int>(m_options.slots);
}

duration admission_queue::pendingService(time_point now, priority_class lowest) const
{
    duration pending {};
    for (const auto& [priority, queue] : m_classes) {
        if (priority > lowest)
            break;
        pending += queue.waitingService;
        for (const auto& job : queue.paused)
            pending += job.expectedService;
    }
    for (const auto& [attempt, running] : m_running) {
        if (running.job.priority <= lowest)
            pending += std::max(running.expectedEnd - now, duration::zero());
    }
    return pending;
}

} // namespace coltsfootbend
