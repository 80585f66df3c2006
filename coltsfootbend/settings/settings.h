#pragma once

// What one process is told when it starts: who it is, where it listens, whom it talks to. Read from a TOML file and
// checked as a whole; every complaint names the key, its line and the remedy. Not for what operators change while the
// system runs: that is the numbered configuration, see `config/configuration.h`.
//
//     auto settings = parseSettings(text);
//     if (!settings)
//         for (const auto& error : settings.error()) std::cerr << toString(error) << "\n";

#include "coltsfootbend/base/error.h"
#include "coltsfootbend/base/id.h"
#include "coltsfootbend/net/byte_stream.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootbend {

// Another VM of the system, as the settings know it.
struct peer_settings {
    vm_id id;
    data_centre_id dataCentre;
    endpoint address;
};

struct tls_settings {
    std::string certificateFile;
    std::string keyFile;
    // Certificates that other processes' certificates must be signed by.
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

// What all gateways together may send again, beside the first sending of each request.
struct retry_settings {
    double ratio = 0; // Of the requests in a window.
    duration window = std::chrono::seconds(10);
    double extra = 0; // On top, in each window.
};

// The entry of a deployment that sends straight to backend servers; see `gateway/gateway_service.h`.
struct gateway_settings {
    endpoint callers;
    // Answers whether this process is ready, and its metrics at /metrics.
    endpoint health;
    std::size_t maxConnections = 2048;
    retry_settings retries;
};

// The agent beside one engine; see `group/rank_service.h`.
struct rank_agent_settings {
    endpoint engine;
    // By how much the load of the busiest rank over the mean, summed over the sets, has to fall for each gigabyte of
    // experts that is copied, times the root of the number of ranks. Users who mind the cost of rebalancing raise it,
    // those who mind the slowest rank lower it.
    double gainPerGigabyte = 0;
};

struct engine_standin_settings {
    endpoint address;
    std::chrono::milliseconds step {};
    std::size_t slots = 0;
};

struct daemon_settings {
    vm_id vm;
    data_centre_id dataCentre;
    // Where other processes of the system reach this one.
    endpoint peers;
    std::optional<tls_settings> peerTls;
    // All entry VMs.
    std::vector<peer_settings> entries;
    std::optional<endpoint> platform;
    std::optional<entry_settings> entry;
    std::optional<worker_settings> worker;
    std::optional<gateway_settings> gateway;
    std::optional<rank_agent_settings> rankAgent;
    // The store whose tables are followed, for gateways and rank agents.
    std::optional<endpoint> deploymentStore;
    // Addresses of VMs that run such processes; their peer port is the same as this process's.
    std::vector<endpoint> peerHints;
    // For trials on one machine: the platform's services and an engine inside this process.
    std::optional<endpoint> platformStandin;
    std::optional<engine_standin_settings> engineStandin;
    std::string logDirectory;
    // A configuration to start from when the platform's table has none yet.
    std::string firstConfigurationFile;
    std::chrono::milliseconds drainLimit {};
    std::chrono::milliseconds keyLifetime {};
};

// Reads settings. O(length).
tl::expected<daemon_settings, std::vector<error>> parseSettings(std::string_view toml);

// As `parseSettings`, from a file.
tl::expected<daemon_settings, std::vector<error>> loadSettings(const std::string& path);

// Takes over from `next` what a running process can change: limits, retries, weights. Returns which of the other
// settings differ, separated by commas; they need a restart.
std::string takeReloadable(daemon_settings& current, const daemon_settings& next);

} // namespace coltsfootbend
