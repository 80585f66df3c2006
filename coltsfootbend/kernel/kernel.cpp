#include "coltsfootbend/kernel/kernel.h"

#include <cassert>
#include <utility>

namespace coltsfootbend {

void kernel::add(std::unique_ptr<service> added)
{
    assert(m_started == 0 && !findService(added->name()));
    m_services.push_back(std::move(added));
}

service* kernel::findService(std::string_view name) const
{
    for (const auto& service : m_services) {
        if (service->name() == name)
            return service.get();
    }
    return nullptr;
}

result<void> kernel::start()
{
    for (; m_started < m_services.size(); ++m_started) {
        if (auto started = m_services[m_started]->start(*this); !started) {
            auto error = started.error();
            error.message = "the service '" + std::string(m_services[m_started]->name()) + "': " + error.message;
            return tl::unexpected(std::move(error));
        }
    }
    return {};
}

void kernel::leave(time_point deadline)
{
    for (auto i = m_started; i > 0; --i)
        m_services[i - 1]->leave(deadline);
}

void kernel::stop()
{
    for (; m_started > 0; --m_started)
        m_services[m_started - 1]->stop();
}

} // namespace coltsfootbend
