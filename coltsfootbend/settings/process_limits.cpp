#include "coltsfootbend/settings/process_limits.h"

#include <algorithm>
#include <sys/resource.h>
#include <sys/sysinfo.h>

namespace coltsfootbend {

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;
// What a process takes without connections and buffers: code, tables of the deployment, connections to servers.
constexpr std::size_t baseBytes = 24 * mebibyte;
// What connections get on a VM that is too small for all that is buffered.
constexpr std::size_t leastConnectionBytes = 8 * mebibyte;
// Part of the descriptors that accepted connections may take. The rest is for connections to servers and files.
constexpr double acceptedShare = 0.75;
// Address space of a fiber's stack, with its inaccessible page.
constexpr std::size_t stackBytes = 132 * kibibyte;

std::size_t limitOf(__rlimit_resource_t resource)
{
    rlimit limit {};
    if (::getrlimit(resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return connection_budget::unlimited;
    return limit.rlim_cur;
}

std::size_t leftOf(std::size_t total, std::size_t used)
{
    if (total == connection_budget::unlimited)
        return total;
    return std::max(total - std::min(total, used), leastConnectionBytes);
}

} // namespace

process_limits systemLimits()
{
    process_limits limits { .addressBytes = limitOf(RLIMIT_AS), .descriptors = limitOf(RLIMIT_NOFILE) };
    struct sysinfo machine { };
    if (::sysinfo(&machine) == 0)
        limits.memoryBytes = machine.totalram * machine.mem_unit;
    return limits;
}

connection_resources connectionTotals(const daemon_settings& settings, const process_limits& system)
{
    const auto memory = settings.limits.memoryBytes.value_or(system.memoryBytes);
    const auto descriptors = std::min(settings.limits.descriptors.value_or(system.descriptors), system.descriptors);
    const auto used = baseBytes + (settings.gateway ? settings.gateway->bufferBytes : 0);
    return { .memoryBytes = leftOf(memory, used),
        .addressBytes = leftOf(system.addressBytes, used),
        .descriptors = descriptors == connection_budget::unlimited
            ? descriptors
            : static_cast<std::size_t>(acceptedShare * static_cast<double>(descriptors)) };
}

// Two fibers: one serves the connection, the other one watches for its end. The memory is that of the used part of both
// stacks and of a head that fills its buffer; bodies have a budget of their own.
connection_resources callerConnectionCost()
{
    return { .memoryBytes = 75 * kibibyte, .addressBytes = 2 * stackBytes + 24 * kibibyte, .descriptors = 1 };
}

// Two fibers, one for each direction, a buffer for reading, and the tables of HTTP/2.
connection_resources peerConnectionCost()
{
    return { .memoryBytes = 96 * kibibyte, .addressBytes = 2 * stackBytes + 56 * kibibyte, .descriptors = 1 };
}

} // namespace coltsfootbend
