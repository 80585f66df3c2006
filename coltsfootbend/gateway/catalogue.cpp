#include "coltsfootbend/gateway/catalogue.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <utility>

namespace coltsfootbend {

namespace {

std::string_view withoutPort(std::string_view host)
{
    const auto colon = host.rfind(':');
    const bool isV6WithoutPort = !host.empty() && host.back() == ']';
    return colon == std::string_view::npos || isV6WithoutPort ? host : host.substr(0, colon);
}

std::string routeKey(std::string_view host, std::string_view prefix)
{
    std::string key(host);
    std::transform(key.begin(), key.end(), key.begin(),
        [](char letter) { return static_cast<char>(std::tolower(static_cast<unsigned char>(letter))); });
    key += '\0';
    key += prefix;
    return key;
}

} // namespace

catalogue::catalogue(contents contents)
    : m_contents(std::move(contents))
{
    for (std::size_t i = 0; i < m_contents.routes.size(); ++i)
        m_routes.emplace(routeKey(m_contents.routes[i].host, m_contents.routes[i].pathPrefix), i);
    for (std::size_t i = 0; i < m_contents.keys.size(); ++i)
        m_keys.emplace(m_contents.keys[i].key, i);
    m_hasCustomerPriorities = std::any_of(m_contents.keys.begin(), m_contents.keys.end(),
        [](const customer_key_entry& entry) { return entry.owner.priority.has_value(); });
    std::map<deployment_id, std::uint32_t> priorities;
    for (const auto& route : m_contents.routes) {
        for (const auto& weighted : route.deployments) {
            const auto known = priorities.emplace(weighted.deployment, route.priority).first;
            if (known->second != route.priority)
                m_prioritised.insert(weighted.deployment);
        }
    }
}

const route* catalogue::findRoute(std::string_view host, std::string_view path) const
{
    const auto name = withoutPort(host);
    // Prefixes end with a slash, so only the slashes of the path are tried, from the last one backwards.
    for (auto slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        if (const auto found = m_routes.find(routeKey(name, path.substr(0, slash + 1))); found != m_routes.end())
            return &m_contents.routes[found->second];
        if (slash == 0)
            break;
    }
    return nullptr;
}

const customer* catalogue::findCustomer(std::string_view key) const
{
    const auto found = m_keys.find(std::string(key));
    return found == m_keys.end() ? nullptr : &m_contents.keys[found->second].owner;
}

const deployment* catalogue::findDeployment(const deployment_id& id) const
{
    const auto found = std::find_if(m_contents.deployments.begin(), m_contents.deployments.end(),
        [&](const deployment& candidate) { return candidate.id == id; });
    return found == m_contents.deployments.end() ? nullptr : &*found;
}

} // namespace coltsfootbend
