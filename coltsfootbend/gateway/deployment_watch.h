#pragma once

// Keeps this process's copy of the deployment current: the operator's configuration, the evacuated data centres and the
// list of backend servers.
// Follows the store (`gateway/table_follower.h`), or stays on standby while other gateways do and reads changes from
// them. While the store does not serve this VM, it asks other processes, which the store may still serve. Rank agents
// follow the gateways instead, and the store only while no gateway does. The copy never goes back to an older revision
// while the process runs. If the store comes back from an older copy of its data, the copy follows it into the next
// era, but the configuration in force never goes back to an older version, and what the store lacks is kept until it
// has had the time to be written again. Registered in the kernel as "deployment".
//
//     watch.onCatalogue([](const catalogue_ptr& next) { ... });
//     if (watch.catalogue()) ... watch.directory().servers() ...

#include "coltsfootbend/gateway/backend_directory.h"
#include "coltsfootbend/gateway/catalogue.h"
#include "coltsfootbend/gateway/evacuation_orders.h"
#include "coltsfootbend/gateway/table_copy.h"
#include "coltsfootbend/gateway/table_follower.h"
#include "coltsfootbend/kernel/kernel.h"
#include "coltsfootbend/metrics/metrics.h"
#include "coltsfootbend/store/watched_store.h"
#include "coltsfootbend/wire/peer.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace coltsfootbend {

// Decodes the values of the store's rows; implemented by the platform's adapter.
class deployment_decoder {
public:
    virtual ~deployment_decoder() = default;
    virtual result<catalogue_ptr> configuration(const watched_row&) const = 0;
    // Returns the data centre that a row of the table of the configuration evacuates; none if the row holds the
    // configuration.
    virtual std::optional<data_centre_id> evacuated(const watched_row&) const = 0;
    virtual result<backend_server> backend(const watched_row&) const = 0;
};

// Holds this process's copy of both tables, and exchanges it with other processes.
class deployment_watch final : public service, private table_follower::owner {
public:
    struct options {
        table_follower::options store;
        // Time for which the store must have failed before peers are asked, and the interval between two rounds.
        duration peerInquiryDelay = std::chrono::milliseconds(300);
        duration peerInquiryInterval = std::chrono::milliseconds(400);
        // Doesn't follow the store as long as a gateway does, and reads the list of servers from the gateways.
        bool followsGateways = false;
        // Each gateway reports what it knows once a second. Without any report for this long, this process follows the
        // store itself.
        duration gatewayReportTimeout = std::chrono::milliseconds(1500);
        // A gateway of another data centre is read only if no gateway of the same data centre has offered the update
        // for this long.
        duration otherDataCentreDelay = std::chrono::milliseconds(400);
        // Minimum interval between two reads of the configuration by a process that follows gateways. A configuration
        // can have a thousand routes, of which an agent needs the figures of one engine.
        duration configurationReadInterval = std::chrono::seconds(15);
        // Time within which this process's own poll returns an update that other gateways know, its delay after a
        // change included. Later than that the poll is taken to be stalled.
        duration stalledPollDelay = std::chrono::milliseconds(500);
        // Time for which a peer is not read again after a read that brought nothing. Datagrams name a peer hundreds of
        // times a second; other peers are read meanwhile.
        duration peerRetryDelay = std::chrono::milliseconds(300);
        // Longest time after the start of this process within which a deployment without engines counts as starting.
        duration maxStartingTime = std::chrono::seconds(10);
        // Data centre of this process.
        data_centre_id localDataCentre;
        // Peers known at the start; others are added at run time.
        std::vector<endpoint> peers;

        // Returns options for rank agents. They need little of the deployment themselves but provide it to gateways
        // that the store refuses, so their copy must be more recent than the time within which a configuration must be
        // in force.
        static options forAgents()
        {
            options chosen;
            chosen.store.pollDelay = std::chrono::seconds(1);
            // Longer than a gateway takes to read the list of servers, from which it knows the agents, and to report.
            chosen.store.initialWait = std::chrono::milliseconds(1000);
            chosen.store.maxStartingPollDelay = std::chrono::seconds(4);
            // Agents follow the store while no gateway does, and there may be thousands of them.
            chosen.store.checkInterval = std::chrono::seconds(5);
            chosen.followsGateways = true;
            return chosen;
        }
    };

    deployment_watch(fiber_runtime&, std::unique_ptr<watched_store>, std::unique_ptr<deployment_decoder>, options);

    std::string_view name() const override { return "deployment"; }
    result<void> start(kernel&) override;
    void stop() override;

    // Returns the configuration in force; null until one is known.
    const catalogue_ptr& catalogue() const { return m_catalogue; }
    // Returns the data centres to whose backend servers no requests may be sent. Known as soon as a configuration is.
    const std::set<data_centre_id>& evacuated() const { return m_evacuations.inForce(); }
    // Returns whether the list of backend servers has been read.
    bool hasServerList() const { return m_hasServerList; }
    const backend_directory& directory() const { return m_directory; }
    // Returns whether the store answers about both tables.
    bool isStoreAvailable() const { return !lostSince(); }
    // Returns whether no later configuration than the one in force is known to the store, as far as this process can
    // tell. False for a moment after the start, and while the store does not answer or its reads may be behind.
    bool isConfigurationCurrent() const { return follower(watched_table::Configuration).isCurrent(); }

    // Register callbacks that are called after each change; to be called before `start`.
    void onCatalogue(std::function<void(const catalogue_ptr&)> changed) { m_onCatalogue.push_back(std::move(changed)); }
    void onEvacuation(std::function<void()> changed) { m_onEvacuation.push_back(std::move(changed)); }
    void onServers(std::function<void()> changed) { m_onServers.push_back(std::move(changed)); }
    // Registers a callback for each time that this process has queried the store in place of the other gateways, which
    // should be notified soon.
    void onStoreChecked(std::function<void()> checked) { m_onStoreChecked.push_back(std::move(checked)); }
    // Registers a callback for each time that this process learns that the store has come back from an older copy, so
    // that everything written to it before may be missing.
    void onStoreRestored(std::function<void()> restored) { m_onStoreRestored.push_back(std::move(restored)); }

    // Adds a peer from which this process may read.
    void addPeer(const endpoint& peer) { m_peers.insert(peer); }
    // Receives a gateway's report of what it knows. A process that follows gateways reads newer tables from it.
    void receiveGatewayReport(const endpoint& peer, const wire::deployment_knowledge&);
    // Receives a hint that the gateway `peer` knows newer state. The gateway is read at once if this process is on
    // standby or the store does not serve it, and otherwise if the store has not returned the update after
    // `stalledPollDelay`: a poll can stall without an error.
    void receiveUpdateHint(const endpoint& peer);
    // Receives the latest confirmations of the other gateways, with ages in milliseconds, and this gateway's duty in
    // following the store. Confirmations older than a minute are ignored.
    void receiveConfirmations(
        const wire::store_confirmation& configuration, const wire::store_confirmation& servers, wire::store_duty);
    // Returns what this process reports to others.
    wire::deployment_knowledge knowledge() const;
    const std::set<endpoint>& peers() const { return m_peers; }
    // Returns the number of replies with whole tables that are being sent to peers.
    std::size_t snapshotReplies() const { return m_snapshotRepliesSince.size(); }

    // Largest number of such replies at once. A table can have thousands of rows, and a reply is held in memory until
    // the peer has read it.
    static constexpr std::size_t maxSnapshotReplies = 8;

private:
    static std::size_t indexOf(watched_table table) { return static_cast<std::size_t>(table); }
    table_copy& table(watched_table name) { return m_tables[indexOf(name)]; }
    const table_copy& table(watched_table name) const { return m_tables[indexOf(name)]; }

    table_follower& follower(watched_table name) { return *m_followers[indexOf(name)]; }
    const table_follower& follower(watched_table name) const { return *m_followers[indexOf(name)]; }
    // Returns since when the store has not answered about one of the tables; none while it answers about both.
    std::optional<time_point> lostSince() const;
    // Returns whether other gateways follow at least one of the tables for this process.
    bool isOnStandby() const;
    // Returns whether this process needs one of the tables whole.
    bool awaitsTable() const;
    wire::store_confirmation confirmation(watched_table) const;

    store_revision revision(watched_table name) const override { return table(name).revision(); }
    store_revision position(watched_table name) const override { return table(name).position(); }
    void receiveSnapshot(watched_table, row_page) override;
    void receiveChanges(watched_table, const row_page&) override;
    void storeLost(watched_table, time_point since) override;
    void storeRegained(watched_table) override;
    void storeChecked(watched_table) override;
    bool gatewaysFollowStore() const override;
    bool isDeploymentStarting() const override;
    std::size_t processCount() const override { return m_directory.servers().size() + m_peers.size() + 1; }
    // Returns whether a configuration is known, and each of its deployments of engines has a server.
    bool isEachDeploymentListed() const;
    // Notifies the followers when the deployment is no longer starting.
    void updateStarting();

    // Replaces the copy of a table; a page older than the copy is dropped.
    void replaceTable(watched_table, row_page, const char* source);
    // Prepares for the rows of a later era if the copy of a table has moved to one from the state `before`. Returns
    // whether it has.
    bool beginEra(watched_table, store_revision before, const char* source);
    // `isRestored` is set for rows that a later era of the store has brought back, which may be older than known ones.
    void applyRow(watched_table, const watched_row&, bool isRestored);
    void applyConfiguration(const watched_row&);
    void applyBackend(const watched_row&, bool isRestored);
    void logListed(const backend_server&) const;
    // Returns the data centres that rows of the configuration's table evacuate. O(rows).
    std::set<data_centre_id> writtenEvacuations() const;
    // Logs the evacuations in force and notifies the owners of the callbacks.
    void announceEvacuations();
    // Records that the list of backend servers has been read, if it has.
    void updateHasServerList();
    void notifyChange(watched_table);
    void expireLoop();
    void inquiryLoop();
    // Asks a peer which revisions it knows, and reads from it if they are newer.
    void inquire(const endpoint&);
    // Starts to read newer tables from a peer, unless another peer is being read. `withConfiguration` is false if only
    // the list of servers is needed.
    void readPeer(const endpoint&, bool withConfiguration);
    // Returns whether the peer provided anything new.
    bool fetchFromPeer(const endpoint&, bool withConfiguration);
    void pauseReading(const endpoint& peer);
    bool isReadingPaused(const endpoint& peer) const;
    bool needsServers(const wire::deployment_knowledge&) const;
    bool needsConfiguration(const wire::deployment_knowledge&, time_point now) const;
    void applyFromPeer(watched_table, row_page, bool isDifference);
    // Puts the configuration that is in force at a peer into force here if it is newer.
    void applyInForceFromPeer(const std::vector<wire::stored_row>&);
    // Decodes changed rows and notifies the owners of the callbacks. The copy holds the rows already.
    void decodeChanges(watched_table, const std::vector<watched_row>&, bool isRestored);
    // Returns the version of the configuration in force; none without one.
    config_version version() const { return m_catalogue ? m_catalogue->version() : config_version(); }
    wire::deployment_reply replyTo(const wire::deployment_request&) const;
    // Sends the tables that the peer requests. A reply with a whole table waits while too many others are being sent.
    void serveTables(peer_stream&, const wire::deployment_request&);
    // Returns whether the copy of the table holds the configuration in force, and not an older one.
    bool isInForceRowInTable() const;
    // Returns whether the reply contains a whole table.
    bool needsSnapshot(const wire::deployment_request&) const;
    bool maySendSnapshot(time_point now) const;

    fiber_runtime& m_runtime;
    const std::unique_ptr<watched_store> m_store;
    const std::unique_ptr<deployment_decoder> m_decoder;
    const options m_options;
    peer_service* m_peerService = nullptr;
    std::array<table_copy, 2> m_tables;
    std::array<std::unique_ptr<table_follower>, 2> m_followers;
    time_point m_startingUntil {};
    bool m_wasStarting = true;
    catalogue_ptr m_catalogue;
    watched_row m_configurationInForce; // The row of `m_catalogue`.
    evacuation_orders m_evacuations;
    bool m_hasServerList = false;
    backend_directory m_directory;
    std::set<endpoint> m_peers;
    // Time of the last report from a gateway that follows the store, or on whose behalf another one does.
    std::optional<time_point> m_lastFollowerReportAt;
    // Since when gateways have reported newer state than this process has.
    std::optional<time_point> m_behindSince;
    std::optional<time_point> m_configurationReadAt;
    std::optional<endpoint> m_peerBeingRead; // The peer that is being read.
    std::map<endpoint, time_point> m_notReadUntil; // Peers whose last read brought nothing.
    std::multiset<time_point> m_snapshotRepliesSince; // Start times of the replies that are being sent.
    // Time of the first hint of newer state since the last change.
    std::optional<time_point> m_updateHintReceivedAt;
    std::vector<std::function<void(const catalogue_ptr&)>> m_onCatalogue;
    std::vector<std::function<void()>> m_onEvacuation;
    std::vector<std::function<void()>> m_onServers;
    std::vector<std::function<void()>> m_onStoreChecked;
    std::vector<std::function<void()>> m_onStoreRestored;
    std::minstd_rand m_random { std::random_device {}() };
    bool m_stopped = false;
};

} // namespace coltsfootbend
