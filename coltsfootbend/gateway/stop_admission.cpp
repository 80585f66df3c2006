#include "coltsfootbend/gateway/stop_admission.h"

#include <algorithm>
#include <utility>

namespace coltsfootbend {

namespace {

// Answers of the current window and of the one before it count.
constexpr std::chrono::seconds windowLength { 30 };

} // namespace

void stop_admission::onAnswered(const std::string& route, duration took, time_point now)
{
    if (now >= m_windowEndsAt) {
        const bool isNextWindow = now < m_windowEndsAt + windowLength;
        m_previous = isNextWindow ? std::exchange(m_current, {}) : longest_answers();
        m_current.clear();
        m_windowEndsAt = now + windowLength;
    }
    auto& longest = m_current[route];
    longest = std::max(longest, took);
}

std::optional<duration> stop_admission::longestAnswer(const std::string& route, time_point now) const
{
    if (now >= m_windowEndsAt + windowLength)
        return std::nullopt;
    std::optional<duration> longest;
    for (const auto* window : { &m_current, &m_previous }) {
        if (const auto found = window->find(route); found != window->end())
            longest = std::max(longest.value_or(duration::zero()), found->second);
    }
    return longest;
}

// The length of an answer is not known before its end, so earlier answers are no proof. They decide only for requests
// that arrived while the gateway still accepted connections: a refused caller could come back to this gateway then. A
// caller on an open connection that sends its request later reaches another gateway. Without a known answer a request
// may begin during the first half of the stop.
bool stop_admission::mayBegin(const std::string& route, const request_times& request, time_point now) const
{
    if (!m_stop || request.deadline <= m_stop->endsAt)
        return true;
    if (request.arrivedAt >= m_stop->acceptsUntil)
        return false;
    const auto longest = longestAnswer(route, now);
    return now + longest.value_or(now - m_stop->begunAt) <= m_stop->endsAt;
}

} // namespace coltsfootbend
