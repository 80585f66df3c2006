#include "coltsfootbend/gateway/evacuation_orders.h"

#include <utility>

namespace coltsfootbend {

bool evacuation_orders::update(const std::set<data_centre_id>& written)
{
    std::erase_if(m_keptUntil, [&](const auto& kept) { return written.contains(kept.first); });
    auto before = std::exchange(m_inForce, written);
    for (const auto& [dataCentre, until] : m_keptUntil)
        m_inForce.insert(dataCentre);
    return m_inForce != before;
}

void evacuation_orders::storeRestored(const std::set<data_centre_id>& written, time_point now)
{
    for (const auto& dataCentre : m_inForce) {
        if (!written.contains(dataCentre))
            m_keptUntil[dataCentre] = now + m_options.rewriteGracePeriod;
    }
}

bool evacuation_orders::expire(time_point now)
{
    return std::erase_if(m_keptUntil, [&](const auto& kept) {
        const auto& [dataCentre, until] = kept;
        if (now < until)
            return false;
        m_inForce.erase(dataCentre);
        return true;
    }) > 0;
}

} // namespace coltsfootbend
