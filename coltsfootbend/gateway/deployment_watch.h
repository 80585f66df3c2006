#pragma once

// Keeps what this process believes of the deployment current: the operator's configuration and the list of backend
// servers. Follows the store with long polls; while the store does not serve this VM it asks other processes, who may
// still be served. Rank agents follow the gateways instead, and the store only while no gateway does. What it believes
// never goes back within its life. Found through the kernel as "deployment".
//
//     watch.onCatalogue([](const catalogue_ptr& next) { ... });
//     if (watch.catalogue()) ... watch.directory().servers() ...

#include "coltsfootbend/gateway/backend_directory.h"
#include "coltsfootbend/gateway/catalogue.h"
#include "coltsfootbend/kernel/kernel.h"
#include "coltsfootbend/metrics/metrics.h"
#include "coltsfootbend/store/watched_store.h"
#include "coltsfootbend/wire/peer.h"

#include <array>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace coltsfootbend {

// Reads the values that the store keeps; the platform's adapter implements it.
class deployment_decoder {
public:
    virtual ~deployment_decoder() = default;
    virtual result<catalogue_ptr> configuration(const watched_row&) const = 0;
    virtual result<backend_server> backend(const watched_row&) const = 0;
};

class deployment_watch final : public service {
public:
    struct options {
        // A long poll; the store allows up to 30 s. Connections that went silent are noticed by TCP's own probes.
        duration pollLength = std::chrono::seconds(20);
        // After a change the next poll waits this long, so that a series of changes costs few calls. Well below what a
        // change may take until it is in force.
        duration configurationSettle = std::chrono::milliseconds(300);
        duration serversSettle = std::chrono::milliseconds(300);
        duration readLimit = std::chrono::milliseconds(1500);
        // Between two tries when the store does not answer; doubled with each up to the longest. What a peer tells
        // comes sooner.
        duration retryPause = std::chrono::milliseconds(150);
        duration longestRetryPause = std::chrono::milliseconds(1000);
        // A store that fails for longer is made up for by asking peers, this often.
        duration askPeersAfter = std::chrono::milliseconds(300);
        duration askPeersEvery = std::chrono::milliseconds(400);
        // Leaves the store to gateways as long as one of them follows it, and reads the list of servers from them.
        bool followsPeers = false;
        // Each gateway tells what it knows once a second; without any this process soon follows the store itself.
        duration peerSilence = std::chrono::milliseconds(1500);
        // Another data centre's gateway is read only when none of the own one has had the news for this long.
        duration otherDataCentreDelay = std::chrono::milliseconds(400);
        // A configuration can have a thousand routes, of which an agent needs the figures of one engine: whoever
        // follows gateways reads it this seldom.
        duration configurationFromPeersEvery = std::chrono::seconds(15);
        // The own poll tells what others know within this time, its pause after a change included.
        duration silentPollAfter = std::chrono::milliseconds(700);
        data_centre_id home;
        // Peers that are known from the start; those met later are added.
        std::vector<endpoint> peers;

        // For processes that need little of the deployment themselves, but tell it to gateways that the store refuses:
        // what they know must be younger than the time within which a configuration has to be in force.
        static options forAgents()
        {
            options chosen;
            chosen.configurationSettle = std::chrono::seconds(1);
            chosen.serversSettle = std::chrono::seconds(1);
            chosen.followsPeers = true;
            return chosen;
        }
    };

    deployment_watch(fiber_runtime&, std::unique_ptr<watched_store>, std::unique_ptr<deployment_decoder>, options);

    std::string_view name() const override { return "deployment"; }
    result<void> start(kernel&) override;
    void stop() override { m_stopped = true; }

    // Null until a configuration is known.
    const catalogue_ptr& catalogue() const { return m_catalogue; }
    // True once the list of backend servers was read.
    bool knowsServers() const { return table(watched_table::BackendServers).revision > 0; }
    const backend_directory& directory() const { return m_directory; }
    bool storeAnswers() const { return !m_storeFailingSince; }

    // Called after each change; register before `start`.
    void onCatalogue(std::function<void(const catalogue_ptr&)> changed) { m_onCatalogue.push_back(std::move(changed)); }
    void onServers(std::function<void()> changed) { m_onServers.push_back(std::move(changed)); }

    // Another process that can be asked.
    void meetPeer(const endpoint& peer) { m_peers.insert(peer); }
    // A gateway says what it knows. Newer lists of servers are read from it by whoever leaves the store to gateways.
    void hearGateway(const endpoint& peer, const wire::deployment_knowledge&);
    // The gateway `peer` is said to know more. It is asked if the store does not serve this process, or has not told it
    // the news after a while: a poll can go silent without an error.
    void hearOfNews(const endpoint& peer);
    // What this process tells others.
    wire::deployment_knowledge knowledge() const;
    const std::set<endpoint>& peers() const { return m_peers; }

private:
    // The rows of one table as they lie in the store, to be handed to peers.
    struct table_copy {
        store_revision revision = 0;
        std::map<std::string, watched_row> rows;
        // When the store last answered a call about this table.
        std::optional<time_point> answeredAt;
    };

    static std::size_t indexOf(watched_table table) { return static_cast<std::size_t>(table); }
    table_copy& table(watched_table name) { return m_tables[indexOf(name)]; }
    const table_copy& table(watched_table name) const { return m_tables[indexOf(name)]; }

    void follow(watched_table);
    // Notes how a call to the store ended: its count, and what a failed one had waited.
    template <typename T> void noteCall(watched_table, const char* call, time_point sentAt, const result<T>&);
    void exposeMetrics();
    void pauseAfterFailure(duration& pause);
    result<void> refresh(watched_table);
    // Takes a whole table, or changes to it. Older ones than what is known are dropped.
    void takeWhole(watched_table, row_page, const char* source);
    void takeChanges(watched_table, const row_page&);
    void applyRow(watched_table, const watched_row&);
    void announceChange(watched_table);
    void storeFailed(watched_table, const error&);
    void storeAnswered();
    void expireLoop();
    void askPeersLoop();
    // True while another process follows the store for this one.
    bool isFollowedByPeers() const;
    void readPeer(const endpoint&, bool withConfiguration);
    // Without the configuration where only the list of servers is wanted.
    void askPeer(const endpoint&, bool withConfiguration = true);
    wire::deployment_reply replyTo(const wire::deployment_request&) const;

    fiber_runtime& m_runtime;
    const std::unique_ptr<watched_store> m_store;
    const std::unique_ptr<deployment_decoder> m_decoder;
    const options m_options;
    peer_service* m_peerService = nullptr;
    metrics_service* m_metrics = nullptr;
    std::array<table_copy, 2> m_tables;
    catalogue_ptr m_catalogue;
    backend_directory m_directory;
    std::set<endpoint> m_peers;
    std::optional<time_point> m_storeFailingSince;
    // When a process that follows the store was last heard.
    std::optional<time_point> m_followerHeardAt;
    // Since when gateways have known what this process does not.
    std::optional<time_point> m_behindSince;
    std::optional<time_point> m_configurationReadAt;
    bool m_isReadingPeer = false;
    // Since when others have been said to know more, with no news from the store.
    std::optional<time_point> m_newsHeardAt;
    std::vector<std::function<void(const catalogue_ptr&)>> m_onCatalogue;
    std::vector<std::function<void()>> m_onServers;
    std::minstd_rand m_random { std::random_device {}() };
    bool m_stopped = false;
};

} // namespace coltsfootbend
