#pragma once

// What the VM leaves to the connections of a process. The memory of the VM is that of the settings, or else that of the
// machine; address space and descriptors are those of the system's limits of the process.
//
//     connection_budget budget(connectionTotals(settings, systemLimits()));

#include "coltsfootbend/net/connection_budget.h"
#include "coltsfootbend/settings/settings.h"

namespace coltsfootbend {

// Limits that the system sets to this process; `connection_budget::unlimited` where there is none.
struct process_limits {
    std::size_t memoryBytes = connection_budget::unlimited;
    std::size_t addressBytes = connection_budget::unlimited;
    std::size_t descriptors = connection_budget::unlimited;
};

// Returns the limits that the system sets now.
process_limits systemLimits();

// Returns what all connections together may take: what the process needs besides is left free.
connection_resources connectionTotals(const daemon_settings&, const process_limits&);

// The most that one connection takes: of a caller with a request in progress, and of another process of the system.
connection_resources callerConnectionCost();
connection_resources peerConnectionCost();

// Parts of the budget that listeners leave to others, so that a crowd of callers shuts out neither the other processes
// nor the platform's health checks.
constexpr double keptFreeByCallers = 0.2;
constexpr double keptFreeByPeers = 0.05;

} // namespace coltsfootbend
