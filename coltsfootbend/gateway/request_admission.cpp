#include "coltsfootbend/gateway/request_admission.h"

#include "coltsfootbend/base/hash.h"

#include <algorithm>
#include <iterator>

namespace coltsfootbend {

namespace {

constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;

// Timeout of requests on a route that configures none.
constexpr std::chrono::seconds defaultTimeout { 60 };

// Chooses one of the route's deployments by weight. Uses a hash of the request's id, so that the choice needs no random
// source and is the same for each attempt of a request.
deployment_id chooseDeployment(const route& matched, const std::string& requestId)
{
    const auto& split = matched.deployments;
    double sum = 0;
    for (const auto& weighted : split)
        sum += weighted.weight;
    constexpr double resolution = 1e6;
    double point
        = sum * static_cast<double>(stableHash(requestId) % static_cast<std::uint64_t>(resolution)) / resolution;
    for (const auto& weighted : split) {
        point -= weighted.weight;
        if (point < 0)
            return weighted.deployment;
    }
    return split.back().deployment;
}

// Where the route and the customer are both restricted, a region has to be permitted by both.
std::optional<std::set<region_id>> homeRegionsOf(const route& matched, const customer* caller)
{
    const bool isCallerRestricted = caller && !caller->homeRegions.empty();
    if (matched.homeRegions.empty())
        return isCallerRestricted ? std::optional(caller->homeRegions) : std::nullopt;
    if (!isCallerRestricted)
        return matched.homeRegions;
    std::set<region_id> both;
    std::set_intersection(matched.homeRegions.begin(), matched.homeRegions.end(), caller->homeRegions.begin(),
        caller->homeRegions.end(), std::inserter(both, both.end()));
    return both;
}

} // namespace

const char* toString(unknown_part part)
{
    switch (part) {
    case unknown_part::Route:
        return "route";
    case unknown_part::Key:
        return "key";
    }
    return "unknown";
}

tl::expected<admitted_request, refused_request> admitRequest(const catalogue& catalogue, const http_request& request,
    const request_metadata& facts, patience_tracker& patience, time_point arrivedAt)
{
    const auto host = findHeader(request.headers, "Host");
    const auto* matched = catalogue.findRoute(host.value_or(""), pathOf(request.target));
    if (!matched || matched->deployments.empty()) {
        return tl::unexpected(refused_request { statusNotFound,
            { error_kind::NotFound, "no route fits this host and path", "Check the address, or add a route" },
            unknown_part::Route });
    }
    const auto* caller = facts.apiKey ? catalogue.findCustomer(*facts.apiKey) : nullptr;
    if (catalogue.hasCustomers() && !matched->isPublic && !caller) {
        return tl::unexpected(refused_request { statusUnauthorized,
            { error_kind::Denied, "the key is missing or not known", "Send one valid key" }, unknown_part::Key });
    }
    const auto timeout = matched->timeout > duration::zero() ? matched->timeout : duration(defaultTimeout);
    return admitted_request { .matched = matched,
        .caller = caller,
        .deployment = chooseDeployment(*matched, facts.requestId),
        .homeRegions = homeRegionsOf(*matched, caller),
        .deadline = arrivedAt + std::min(timeout, facts.timeLeft.value_or(timeout)),
        .isReturning = facts.timeLeft && patience.isReturning(matched->name, *facts.timeLeft, matched->timeout) };
}

} // namespace coltsfootbend
