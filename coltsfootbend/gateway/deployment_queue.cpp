#include "coltsfootbend/gateway/deployment_queue.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

// Number of requests that are tried between two reviews. The first one may be unable to use a free server, because it
// was sent there before, because it returns and must yield, or because the slot is reserved for more urgent requests.
constexpr std::size_t maxTried = 4;

waiting_request waitingRequestOf(const queued_request& request, duration startLatency)
{
    const auto lastTimelyGrant = request.held.arrivedAt + request.held.latencyTarget - startLatency;
    return { .priority = request.priority,
        .customer = request.isOrdered ? request.customer : customer_id(),
        .arrivedAt = request.held.arrivedAt,
        .timelyUntil = request.isOrdered ? lastTimelyGrant : time_point::max(),
        .isReturning = request.held.isReturning,
        .isResumption = request.pick.isResumption };
}

// Returns whether the other requests are unlikely to be sent if this one is refused.
bool isRepresentative(const pick_request& request)
{
    return request.excluded.empty() && !request.homeRegions && !request.isReturning && request.moreUrgentPerSecond == 0;
}

} // namespace

deployment_queue::deployment_queue(backend_picker& picker, const wait_order::options& options)
    : m_picker(picker)
    , m_order(options)
    , m_guaranteedPart(options.guaranteedPart)
{
}

wait_ticket deployment_queue::join(const queued_request& request, time_point now)
{
    const auto waiting = waitingRequestOf(request, m_startLatency);
    entry joined { .request = request };
    if (!m_waiting.empty()) {
        joined.ahead = m_order.ahead(waiting, now);
        joined.queueWait = expectedWait(request, joined.ahead, now);
    }
    if (request.isOrdered && !request.held.isReturning && !request.isRepeated)
        m_arrivals.record(request.priority, now);
    const auto ticket = m_order.join(waiting, now);
    m_waiting.emplace(ticket, joined);
    return ticket;
}

// A less urgent class advances at least by its guaranteed part, however many more urgent requests arrive.
std::optional<duration> deployment_queue::expectedWait(
    const queued_request& request, std::size_t ahead, time_point now) const
{
    const auto rate = m_order.grantsPerSecond(now);
    if (!rate)
        return std::nullopt;
    const double inOrder = static_cast<double>(ahead) / *rate;
    const double guaranteedRate = m_guaranteedPart * *rate * m_arrivals.shareOf(request.priority, now);
    if (guaranteedRate <= 0)
        return fromMilliseconds(1000 * inOrder);
    double ofClass = 0;
    for (const auto& found : m_order.classes())
        ofClass += found.priority == request.priority ? static_cast<double>(found.waiting) : 0;
    return fromMilliseconds(1000 * std::min(inOrder, ofClass / guaranteedRate));
}

void deployment_queue::leave(wait_ticket ticket)
{
    m_order.leave(ticket);
    m_waiting.erase(ticket);
}

std::vector<ended_wait> deployment_queue::update(time_point now)
{
    std::vector<ended_wait> ended;
    while (!m_waiting.empty() && sendFirst(now, ended)) { }
    if (now >= m_nextReviewAt)
        review(now, ended);
    return ended;
}

void deployment_queue::review(time_point now, std::vector<ended_wait>& ended)
{
    m_nextReviewAt = now + maxUpdateInterval;
    std::size_t ahead = 0;
    for (const auto ticket : m_order.firstInOrder(now, m_waiting.size())) {
        if (trySend(ticket, ahead, now, ended))
            continue;
        auto& waiting = m_waiting.at(ticket);
        const auto limit = limitOf(waiting, now);
        waiting.isHeld = true;
        ++ahead;
        // The next review would be too late for a refusal that reaches the caller in time.
        if (limit && now + maxUpdateInterval <= *limit)
            continue;
        ended.push_back({ .ticket = ticket, .outcome = tl::unexpected(*waiting.refused) });
        leave(ticket);
    }
}

bool deployment_queue::sendFirst(time_point now, std::vector<ended_wait>& ended)
{
    std::size_t ahead = 0;
    for (const auto ticket : m_order.firstInOrder(now, maxTried)) {
        if (trySend(ticket, ahead++, now, ended))
            return true;
        if (isRepresentative(pickRequestOf(m_waiting.at(ticket), now)))
            return false;
    }
    return false;
}

bool deployment_queue::trySend(wait_ticket ticket, std::size_t ahead, time_point now, std::vector<ended_wait>& ended)
{
    auto& waiting = m_waiting.at(ticket);
    auto request = pickRequestOf(waiting, now);
    request.ahead = ahead;
    if (m_order.guaranteed(now) == ticket)
        request.moreUrgentPerSecond = 0; // What it is owed is not reserved for others.
    const auto picked = m_picker.pick(request, now);
    if (!picked) {
        waiting.refused = picked.error();
        m_startLatency = picked.error().startLatency;
        return false;
    }
    (void)m_picker.notices().tryAcquire(picked->server.instance(), now);
    m_picker.onRequestSent(picked->server.instance(), now);
    m_order.grant(ticket, now);
    m_waiting.erase(ticket);
    ended.push_back({ .ticket = ticket, .outcome = *picked });
    return true;
}

pick_request deployment_queue::pickRequestOf(const entry& waiting, time_point now) const
{
    auto request = waiting.request.pick;
    request.hasTurn = true;
    if (!waiting.request.isOrdered || request.isResumption)
        return request;
    request.moreUrgentPerSecond = m_arrivals.moreUrgentThan(waiting.request.priority, now);
    return request;
}

std::optional<time_point> deployment_queue::limitOf(const entry& waiting, time_point now) const
{
    const auto& request = waiting.request;
    if (request.pick.isResumption)
        return request.resumableUntil;
    auto held = request.held;
    held.isHeld = held.isHeld || waiting.isHeld;
    if (!request.isOrdered)
        return holdUntil(*waiting.refused, held, now);
    return holdInOrder(*waiting.refused, held, waiting.isHeld ? std::nullopt : waiting.queueWait, now);
}

} // namespace coltsfootbend
