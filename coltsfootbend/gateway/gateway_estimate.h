#pragma once

// Estimates the number of gateways from the number that each agent reports to. Where every gateway uses every engine,
// each agent reports to all gateways. Where gateways use subsets, an agent reports to a part of them, and the number of
// all follows from the part of the engines that one gateway uses. Deterministic.
//
//     gateway_estimate estimate(48);
//     if (estimate.receive(update.subscribers, engines, usedEngines))
//         apply(estimate.perServer(), estimate.all());

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>

namespace coltsfootbend {

class gateway_estimate {
public:
    // `initial` is assumed until an agent has reported.
    explicit gateway_estimate(std::uint32_t initial)
        : m_perServer(initial)
        , m_all(initial)
    {
    }

    // Receives the number of gateways that the agent of a used engine reports to. `engines` is the number of listed
    // engines, of which this gateway uses `usedEngines`. Returns whether the estimate has changed; small differences
    // between the agents of a subset do not change it.
    bool receive(std::uint32_t subscribers, std::size_t engines, std::size_t usedEngines)
    {
        if (subscribers == 0 || usedEngines == 0)
            return false;
        if (usedEngines >= engines) {
            m_mean = 0;
            return set(subscribers, subscribers);
        }
        m_mean = m_mean == 0 ? subscribers : m_mean + smoothingFactor * (subscribers - m_mean);
        const double all = m_mean * static_cast<double>(engines) / static_cast<double>(usedEngines);
        if (std::abs(all - m_all) <= tolerance * m_all)
            return false;
        return set(static_cast<std::uint32_t>(std::lround(m_mean)), static_cast<std::uint32_t>(std::lround(all)));
    }

    // Returns the mean number of gateways that use the same engine, this one included.
    std::uint32_t perServer() const { return m_perServer; }
    // Returns the number of all gateways, this one included.
    std::uint32_t all() const { return m_all; }

private:
    // Weight of a new report in the moving average, so that it spans the agents of a subset.
    static constexpr double smoothingFactor = 0.03;
    // Part by which the estimate must differ before it is changed.
    static constexpr double tolerance = 0.1;

    bool set(std::uint32_t perServer, std::uint32_t all)
    {
        const bool hasChanged = perServer != m_perServer || all != m_all;
        m_perServer = std::max(1U, perServer);
        m_all = std::max(1U, all);
        return hasChanged;
    }

    std::uint32_t m_perServer;
    std::uint32_t m_all;
    double m_mean = 0; // Moving average over the agents of a subset; 0 until the first report.
};

} // namespace coltsfootbend
