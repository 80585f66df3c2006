#pragma once

// One immutable version of the operator's configuration: routes, deployments, customers and the limits on callers. The
// gateway holds one catalogue and replaces it as a whole. Doesn't hold state that changes without the operator, such as
// the list of backend servers: see `gateway/backend_directory.h`.
//
//     const route* found = catalogue->findRoute("maps.example", "/label/room-3");
//     const customer* caller = catalogue->findCustomer(key);

#include "coltsfootbend/base/id.h"
#include "coltsfootbend/base/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace coltsfootbend {

// One of the deployments over which a route's requests are distributed, with its relative weight.
struct weighted_deployment {
    deployment_id deployment;
    double weight = 1;
};

// States how often a request of a route may be executed.
enum class route_kind {
    Idempotent, // May be executed any number of times.
    AtMostOnce, // Must not be executed twice.
    Stream, // Answers with a series of events; `route::resumable` states whether another server may continue it.
};

// Requests of one host and path prefix, and how they are served.
struct route {
    std::string name;
    std::string host;
    // Begins and ends with a slash; the longest prefix that matches a path wins.
    std::string pathPrefix;
    route_kind kind = route_kind::AtMostOnce;
    bool resumable = false;
    // Longest time that a caller waits for an answer.
    duration timeout {};
    // Target time for an answer, or for the first event of a stream; later ones are worth less to the caller.
    duration latencyTarget {};
    // Target for the pause between two events of a stream: the longest that callers don't notice.
    duration gapTarget {};
    // Priority of the requests; 0 is the highest.
    std::uint32_t priority = 5;
    std::vector<weighted_deployment> deployments;
    // Maximum number of backend servers to which one request is sent.
    std::uint32_t maxAttempts = 1;
    // Requests need no key.
    bool isPublic = false;
    // Regions whose servers may serve the requests; all if empty.
    std::set<region_id> homeRegions;

    // Returns whether a request with an unknown outcome may be sent again.
    bool mayRepeat() const { return kind == route_kind::Idempotent || (kind == route_kind::Stream && resumable); }
};

// Parameters of an engine's cost model: how long its passes take and how many tokens fit its memory. Units are
// milliseconds and tokens; see docs/design/PLATFORM-PROGRAMS.md for the model.
struct engine_model {
    std::uint32_t slots = 1;
    std::uint64_t memoryTokens = 0;
    double stepMs = 0;
    double perSequenceMs = 0;
    double perThousandContextMs = 0;
    double promptTokensPerSecond = 0;
    std::uint32_t stepsPerPass = 1;
    std::uint32_t promptTokensPerStep = 0;
    double usualPromptTokens = 0;
    double usualAnswerTokens = 0;
    // Dimensions of the expert maps: sets of layers, experts per set, places for a set's experts on one rank, and how
    // many new experts of a set one change may place on a rank. `expertSets` is 0 for engines that form no groups.
    std::uint32_t expertSets = 0;
    std::uint32_t experts = 0;
    std::uint32_t placesPerRank = 0;
    std::uint32_t newPerChange = 0;
    double expertGigabytes = 0;
    // Part of the work for tokens that is done by experts, and so depends on the expert map.
    double expertShare = 0;
    // Bandwidth of an engine's own link, over which it copies experts, in gigabytes per second; 0 if not stated.
    double gigabytesPerSecond = 0;
    // Time that a group needs to form again once all its ranks are back.
    duration formTime {};

    bool hasExpertMaps() const { return expertSets > 0 && experts > 0; }
};

// A set of backend servers that serve the same program.
struct deployment {
    deployment_id id;
    std::string healthPath;
    // Maximum number of connections to one backend server, for all callers together.
    std::uint32_t maxConnections = 0;
    // Cost model of the engines; none for services without engines.
    std::optional<engine_model> engine;
    // Time for which a server is cold after its start, and the rate of requests that a cold server accepts from all
    // callers together; 0 if it accepts any rate.
    duration coldTime {};
    double coldRequestsPerSecond = 0;
};

// A customer whose requests are identified by a key.
struct customer {
    customer_id id;
    // Overrides the priority of the route.
    std::optional<std::uint32_t> priority;
    // Regions whose servers may serve the customer's requests; all if empty.
    std::set<region_id> homeRegions;
};

// Limits on the size of callers' requests and on the time that callers may take to send them.
struct caller_limits {
    std::size_t maxHeaderBytes = std::size_t { 16 } * 1024;
    std::size_t maxBodyBytes = std::size_t { 4 } * 1024 * 1024;
    duration headLimit = std::chrono::seconds(3);
    duration idleLimit = std::chrono::seconds(15);
};

// A key and the customer that it identifies.
struct customer_key_entry {
    std::string key;
    customer owner;
};

// Immutable index of one configuration, for lookups by request.
class catalogue {
public:
    struct contents {
        config_version version;
        std::vector<route> routes;
        std::vector<deployment> deployments;
        std::vector<customer_key_entry> keys;
        caller_limits limits;
        // If false, no route requires a key.
        bool hasCustomers = false;
    };

    explicit catalogue(contents);

    config_version version() const { return m_contents.version; }
    const caller_limits& limits() const { return m_contents.limits; }
    bool hasCustomers() const { return m_contents.hasCustomers; }
    const std::vector<route>& routes() const { return m_contents.routes; }
    const std::vector<deployment>& deployments() const { return m_contents.deployments; }

    // Returns the route with the longest prefix of `path` among those of `host` (any case, a port is ignored), or null.
    // O(length of path).
    const route* findRoute(std::string_view host, std::string_view path) const;

    // Returns the customer that `key` identifies, or null. O(length).
    const customer* findCustomer(std::string_view key) const;

    // Returns the deployment, or null. O(deployments).
    const deployment* findDeployment(const deployment_id&) const;

    // Returns whether requests of the deployment are served in the order of their priorities: its routes state
    // different ones, or a customer states one. O(log deployments).
    bool servesByPriority(const deployment_id& deployment) const
    {
        return m_hasCustomerPriorities || m_prioritised.contains(deployment);
    }

private:
    contents m_contents;
    bool m_hasCustomerPriorities = false;
    std::set<deployment_id> m_prioritised; // Deployments whose routes state different priorities.
    // Indices of the routes by host in lower case, a zero byte, and the path prefix.
    std::unordered_map<std::string, std::size_t> m_routes;
    std::unordered_map<std::string, std::size_t> m_keys;
};

using catalogue_ptr = std::shared_ptr<const catalogue>;

} // namespace coltsfootbend
