#include "coltsfootbend/quarantine/completed_parts.h"

#include "coltsfootbend/base/hash.h"

#include <utility>

namespace coltsfootbend {

std::uint64_t completed_parts::hashOf(const crash_suspect& part) const
{
    return stableHash(part.text(), m_options.seed);
}

void completed_parts::add(const crash_suspect& part)
{
    m_recent.insert(hashOf(part));
    if (m_recent.size() >= m_options.capacity)
        m_earlier = std::exchange(m_recent, {});
}

bool completed_parts::contains(const crash_suspect& part) const
{
    const auto hash = hashOf(part);
    return m_recent.contains(hash) || m_earlier.contains(hash);
}

} // namespace coltsfootbend
