#pragma once

// What a running process uses, as the kernel reports it under /proc. For tests and the soak.
//
//     const auto usage = usageOf(child.id());
//     if (usage && usage->memory() > limit) ...

#include <chrono>
#include <cstddef>
#include <optional>
#include <sys/types.h>

namespace coltsfootbend {

// Represents what one process uses at a moment. Sizes are in bytes.
struct process_usage {
    std::chrono::nanoseconds processorTime {}; // Since the start of the process.
    std::size_t peakResident = 0;
    std::size_t unread = 0; // Received by the process's TCP sockets and not read yet.
    std::size_t descriptors = 0;

    // Returns the most memory that the process may have had, counted as the platform does.
    std::size_t memory() const { return peakResident + unread; }
};

// Returns what process `id` uses; none if it does not run.
std::optional<process_usage> usageOf(pid_t id);

// Returns the most resident memory that process `id` has had, in bytes; 0 if it does not run. Cheaper than `usageOf`.
std::size_t peakResidentOf(pid_t id);

// Returns the processor time that process `id` has used since its start; none if it does not run.
std::optional<std::chrono::nanoseconds> processorTimeOf(pid_t id);

} // namespace coltsfootbend
