#pragma once

// Bounds the connections that a process accepts by the memory, address space and descriptors of its VM. All listeners
// of a process share one budget, so that each may use what the others leave. Deterministic.
//
//     connection_budget budget({ .memoryBytes = 180 * mebibyte, .descriptors = 3900 });
//     if (!budget.admit(cost, keptFree)) // refuse the connection

#include <algorithm>
#include <cstddef>
#include <limits>

namespace coltsfootbend {

// What connections take, or may take.
struct connection_resources {
    std::size_t memoryBytes = 0; // Resident memory.
    std::size_t addressBytes = 0; // Address space.
    std::size_t descriptors = 0;
};

class connection_budget {
public:
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    explicit connection_budget(const connection_resources& total)
        : m_total(total)
    {
    }

    // Takes `cost` if it leaves a part `keptFree`, from 0 to 1, of each total to other listeners. Returns false and
    // takes nothing otherwise.
    bool admit(const connection_resources& cost, double keptFree)
    {
        if (!fits(m_used.memoryBytes, cost.memoryBytes, m_total.memoryBytes, keptFree)
            || !fits(m_used.addressBytes, cost.addressBytes, m_total.addressBytes, keptFree)
            || !fits(m_used.descriptors, cost.descriptors, m_total.descriptors, keptFree))
            return false;
        m_used.memoryBytes += cost.memoryBytes;
        m_used.addressBytes += cost.addressBytes;
        m_used.descriptors += cost.descriptors;
        return true;
    }

    // Gives back what `admit` took.
    void release(const connection_resources& cost)
    {
        m_used.memoryBytes -= cost.memoryBytes;
        m_used.addressBytes -= cost.addressBytes;
        m_used.descriptors -= cost.descriptors;
    }

    const connection_resources& used() const { return m_used; }

private:
    static bool fits(std::size_t used, std::size_t cost, std::size_t total, double keptFree)
    {
        return total == unlimited || static_cast<double>(used + cost) <= (1 - keptFree) * static_cast<double>(total);
    }

    const connection_resources m_total;
    connection_resources m_used;
};

} // namespace coltsfootbend
