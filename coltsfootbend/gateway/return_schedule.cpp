#include "coltsfootbend/gateway/return_schedule.h"

#include "coltsfootbend/gateway/pick.h"

#include <algorithm>
#include <cmath>

namespace coltsfootbend {

namespace {

// Multiples of the golden ratio, modulo 1, spread any number of callers evenly over an interval.
constexpr double goldenRatio = 0.6180339887498949;

} // namespace

time_point return_schedule::assign(const return_request& request, time_point now)
{
    if (request.interval <= duration::zero())
        return request.earliest;
    const auto turn = std::max(request.earliest, m_lastAssignedAt + request.interval);
    const auto latest = now + (request.deadline - now) / retryAfterDivisor;
    if (request.mayCrowd && turn > latest) {
        // A caller that cannot wait until the earliest time is told the truth all the same.
        if (latest <= request.earliest)
            return request.earliest;
        const double position = std::fmod(++m_crowded * goldenRatio, 1.0);
        return request.earliest + fromMilliseconds(position * toMilliseconds(latest - request.earliest));
    }
    // A turn that comes after the caller's deadline is left to the next caller.
    if (turn < request.deadline)
        m_lastAssignedAt = turn;
    return turn;
}

} // namespace coltsfootbend
