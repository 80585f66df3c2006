#pragma once

// Start settings of one process: its identity, its listening addresses and its peers. Read from a TOML file and
// validated as a whole; every error names the key, its line and the remedy. Values that operators change while the
// system runs belong to the versioned configuration, see `config/configuration.h`.
//
//     auto settings = parseSettings(text);
//     if (!settings)
//         for (const auto& error : settings.error()) std::cerr << toString(error) << "\n";

#include "coltsfootbend/base/error.h"
#include "coltsfootbend/base/id.h"
#include "coltsfootbend/net/byte_stream.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootbend {

// Another VM of the system.
struct peer_settings {
    vm_id id;
    data_centre_id dataCentre;
    endpoint address;
};

struct tls_settings {
    std::string certificateFile;
    std::string keyFile;
    // File of the authorities that must have signed the certificates of other processes.
    std::string authorityFile;
};

struct entry_settings {
    endpoint callers;
    endpoint operators;
    std::optional<tls_settings> callerTls;
    std::size_t maxConnections = 4096;
    std::size_t maxRequests = 4096;
    std::size_t maxBodyBytes = 0;
    std::chrono::milliseconds defaultTimeout {};
};

enum class backend_kind { Engine, Plain };

struct worker_settings {
    endpoint backend;
    backend_kind kind = backend_kind::Engine;
    std::vector<deployment_id> deployments;
    std::size_t slots = 0;
    std::size_t maxWaiting = 0;
    std::size_t maxAnswerBytes = 0;
};

// Retry budget of all gateways together; the first attempt of a request does not count.
struct retry_settings {
    double ratio = 0; // Retries allowed in a window, as a fraction of its requests.
    duration window = std::chrono::seconds(10);
    double extra = 0; // Retries allowed in each window in addition to the ratio.
};

// Settings of a gateway, which sends requests directly to backend servers; see `gateway/gateway_service.h`.
struct gateway_settings {
    endpoint callers;
    // Address that serves the readiness of this process, and its metrics at /metrics.
    endpoint health;
    std::size_t maxConnections = 2048;
    retry_settings retries;
    // Part of the slots, relative to its share of the arrivals, that each priority class and each customer with waiting
    // requests gets at least.
    double guaranteedPart = 0.6;
    // Limit for what is buffered of all responses together.
    std::size_t bufferBytes = std::size_t { 48 } * 1024 * 1024;
};

// Settings of the agent that runs beside one engine; see `group/rank_service.h`.
struct rank_agent_settings {
    endpoint engine;
    // Required reduction of the load of the busiest rank over the mean, summed over the sets, for each gigabyte of
    // experts that is copied, times the square root of the number of ranks. A higher value reduces the cost of
    // rebalancing, a lower one the load of the slowest rank.
    double gainPerGigabyte = 0;
};

struct engine_standin_settings {
    endpoint address;
    std::chrono::milliseconds step {};
    std::size_t slots = 0;
};

// What the VM leaves to this process. What is not set is taken from the system.
struct limit_settings {
    std::optional<std::size_t> memoryBytes;
    std::optional<std::size_t> descriptors;
};

struct daemon_settings {
    vm_id vm;
    data_centre_id dataCentre;
    // Address at which the other processes of the system reach this one.
    endpoint peers;
    std::optional<tls_settings> peerTls;
    // All entry VMs.
    std::vector<peer_settings> entries;
    std::optional<endpoint> platform;
    std::optional<entry_settings> entry;
    std::optional<worker_settings> worker;
    std::optional<gateway_settings> gateway;
    std::optional<rank_agent_settings> rankAgent;
    // Store whose tables gateways and rank agents follow.
    std::optional<endpoint> deploymentStore;
    // Region of each data centre, for requests that are restricted to regions.
    std::map<data_centre_id, region_id> regions;
    // Addresses of VMs that run gateways or rank agents; they use the same peer port as this process.
    std::vector<endpoint> peerHints;
    // Stand-ins inside this process for the platform's services and an engine, for trials on one machine.
    std::optional<endpoint> platformStandin;
    std::optional<engine_standin_settings> engineStandin;
    limit_settings limits;
    std::string logDirectory;
    // Configuration that is submitted as the first one when the platform's table has none yet.
    std::string firstConfigurationFile;
    std::chrono::milliseconds drainLimit {};
    std::chrono::milliseconds keyLifetime {};
};

// Parses and validates settings. O(length).
tl::expected<daemon_settings, std::vector<error>> parseSettings(std::string_view toml);

// As `parseSettings`, from a file.
tl::expected<daemon_settings, std::vector<error>> loadSettings(const std::string& path);

// Settings with which a process can start.
struct start_settings {
    daemon_settings settings;
    // What is wrong with optional settings. Each of them has its default, or is left out of its list.
    std::vector<error> replaced;
};

// Parses settings for a start, which optional settings must not prevent. Fails with all errors if a required setting is
// missing or cannot be used. O(length).
tl::expected<start_settings, std::vector<error>> parseStartSettings(std::string_view toml);

// As `parseStartSettings`, from a file.
tl::expected<start_settings, std::vector<error>> loadStartSettings(const std::string& path);

// Applies from `next` the settings that a running process can change: limits, retries, weights. Returns the names of
// the other settings that differ, separated by commas; those need a restart.
std::string takeReloadable(daemon_settings& current, const daemon_settings& next);

} // namespace coltsfootbend
