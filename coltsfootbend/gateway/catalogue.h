#pragma once

// What operators want served, as one immutable version: routes, deployments, customers and the limits on callers. The
// gateway holds one catalogue and replaces it as a whole. Not for what changes by itself, such as the list of backend
// servers: see `gateway/backend_directory.h`.
//
//     const route* found = catalogue->findRoute("maps.example", "/label/room-3");
//     const customer* caller = catalogue->findCustomer(key);

#include "coltsfootbend/base/id.h"
#include "coltsfootbend/base/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace coltsfootbend {

// One of the deployments that a route's requests are spread over.
struct weighted_deployment {
    deployment_id deployment;
    double weight = 1;
};

enum class route_kind {
    Idempotent, // May run any number of times.
    AtMostOnce, // Must not run twice.
    Stream, // A series of events; `route::resumable` says whether it may be continued elsewhere.
};

struct route {
    std::string name;
    std::string host;
    // Begins and ends with a slash; the longest that fits a path wins.
    std::string pathPrefix;
    route_kind kind = route_kind::AtMostOnce;
    bool resumable = false;
    // The longest that a caller is kept waiting.
    duration timeout {};
    // Within which an answer, or the first event of a stream, is worth most.
    duration latencyTarget {};
    // The longest pause between two events that callers don't notice.
    duration gapTarget {};
    // 0 comes first.
    std::uint32_t priority = 5;
    std::vector<weighted_deployment> deployments;
    // Backend servers that one request may be sent to.
    std::uint32_t maxAttempts = 1;
    // Needs no key.
    bool isPublic = false;

    // True when a request whose fate is unknown may be sent again.
    bool mayRepeat() const { return kind == route_kind::Idempotent || (kind == route_kind::Stream && resumable); }
};

// How an engine's passes take time. Milliseconds and tokens; see docs/design/PLATFORM-PROGRAMS.md for the model.
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
    // Expert maps: sets of layers, experts in each, places for them on one rank, and how many experts of a set one
    // change may bring to a rank. No sets where the engines run no groups.
    std::uint32_t expertSets = 0;
    std::uint32_t experts = 0;
    std::uint32_t placesPerRank = 0;
    std::uint32_t newPerChange = 0;
    double expertGigabytes = 0;
    // Of an engine's own link, over which it copies experts; 0 where not stated.
    double gigabytesPerSecond = 0;
    // How long a group takes to form again once all its ranks are back.
    duration formTime {};

    bool hasExpertMaps() const { return expertSets > 0 && experts > 0; }
};

struct deployment {
    deployment_id id;
    std::string healthPath;
    // From all callers together, for one backend server.
    std::uint32_t maxConnections = 0;
    // None for plain services.
    std::optional<engine_model> engine;
};

struct customer {
    customer_id id;
    // Goes before the priority of the route.
    std::optional<std::uint32_t> priority;
};

// What callers may send, and how long they may take.
struct caller_limits {
    std::size_t maxHeaderBytes = std::size_t { 16 } * 1024;
    std::size_t maxBodyBytes = std::size_t { 4 } * 1024 * 1024;
    duration headLimit = std::chrono::seconds(3);
    duration idleLimit = std::chrono::seconds(15);
};

// One key and whose it is.
struct customer_key_entry {
    std::string key;
    customer owner;
};

class catalogue {
public:
    struct contents {
        config_version version;
        std::vector<route> routes;
        std::vector<deployment> deployments;
        std::vector<customer_key_entry> keys;
        caller_limits limits;
        // Without customers every route is open.
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

    // Returns whose `key` it is, or null. O(length).
    const customer* findCustomer(std::string_view key) const;

    const deployment* findDeployment(const deployment_id&) const;

private:
    contents m_contents;
    // By host in lower case, a zero byte, and the prefix.
    std::unordered_map<std::string, std::size_t> m_routes;
    std::unordered_map<std::string, std::size_t> m_keys;
};

using catalogue_ptr = std::shared_ptr<const catalogue>;

} // namespace coltsfootbend
