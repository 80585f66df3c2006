#pragma once

// Keeps what this process believes of the deployment current: the operator's configuration and the list of backend
// servers. Follows the store (`gateway/table_follower.h`), or rests while other gateways do and reads what is new from
// them; while the store does not serve this VM it asks other processes, who may still be served. Rank agents follow the
// gateways instead, and the store only while no gateway does. What it believes never goes back within its life. Found
// through the kernel as "deployment".
//
//     watch.onCatalogue([](const catalogue_ptr& next) { ... });
//     if (watch.catalogue()) ... watch.directory().servers() ...

#include "coltsfootbend/gateway/backend_directory.h"
#include "coltsfootbend/gateway/catalogue.h"
#include "coltsfootbend/gateway/table_follower.h"
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

class deployment_watch final : public service, private table_follower::owner {
public:
    struct options {
        table_follower::options store;
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
        duration silentPollAfter = std::chrono::milliseconds(500);
        data_centre_id home;
        // Peers that are known from the start; those met later are added.
        std::vector<endpoint> peers;

        // For processes that need little of the deployment themselves, but tell it to gateways that the store refuses:
        // what they know must be younger than the time within which a configuration has to be in force.
        static options forAgents()
        {
            options chosen;
            chosen.store.settle = std::chrono::seconds(1);
            // They follow the store while no gateway does, and there may be thousands of them.
            chosen.store.checkAfter = std::chrono::seconds(5);
            chosen.followsPeers = true;
            return chosen;
        }
    };

    deployment_watch(fiber_runtime&, std::unique_ptr<watched_store>, std::unique_ptr<deployment_decoder>, options);

    std::string_view name() const override { return "deployment"; }
    result<void> start(kernel&) override;
    void stop() override;

    // Null until a configuration is known.
    const catalogue_ptr& catalogue() const { return m_catalogue; }
    // True once the list of backend servers was read.
    bool knowsServers() const { return table(watched_table::BackendServers).position > 0; }
    const backend_directory& directory() const { return m_directory; }
    bool storeAnswers() const { return !lostSince(); }

    // Called after each change; register before `start`.
    void onCatalogue(std::function<void(const catalogue_ptr&)> changed) { m_onCatalogue.push_back(std::move(changed)); }
    void onServers(std::function<void()> changed) { m_onServers.push_back(std::move(changed)); }
    // Called when this process has asked the store in place of others, who should hear of it soon.
    void onStoreChecked(std::function<void()> checked) { m_onStoreChecked.push_back(std::move(checked)); }

    // Another process that can be asked.
    void meetPeer(const endpoint& peer) { m_peers.insert(peer); }
    // A gateway says what it knows. Newer lists of servers are read from it by whoever leaves the store to gateways.
    void hearGateway(const endpoint& peer, const wire::deployment_knowledge&);
    // The gateway `peer` is said to know more. It is read at once if this process rests or the store does not serve it,
    // and if the store has not told the news after a while: a poll can go silent without an error.
    void hearOfNews(const endpoint& peer);
    // What other gateways have heard of the store, ages in milliseconds, and what part this one has in following it.
    // Confirmations older than a minute say nothing.
    void hearConfirmations(
        const wire::store_confirmation& configuration, const wire::store_confirmation& servers, wire::store_duty);
    // What this process tells others.
    wire::deployment_knowledge knowledge() const;
    const std::set<endpoint>& peers() const { return m_peers; }

private:
    // The rows of one table as they lie in the store, to be handed to peers.
    struct table_copy {
        store_revision revision = 0; // Of its last change.
        // From where the store is asked for more. It counts the changes of all tables, so it moves on while `revision`
        // does not, and differs between processes that know the same.
        store_revision position = 0;
        std::map<std::string, watched_row> rows;
    };

    static std::size_t indexOf(watched_table table) { return static_cast<std::size_t>(table); }
    table_copy& table(watched_table name) { return m_tables[indexOf(name)]; }
    const table_copy& table(watched_table name) const { return m_tables[indexOf(name)]; }

    table_follower& follower(watched_table name) { return *m_followers[indexOf(name)]; }
    const table_follower& follower(watched_table name) const { return *m_followers[indexOf(name)]; }
    // Since when the store does not answer about one of the tables.
    std::optional<time_point> lostSince() const;
    // True while it leaves one of the tables to other gateways.
    bool isResting() const;
    wire::store_confirmation confirmation(watched_table) const;

    store_revision revision(watched_table name) const override { return table(name).revision; }
    store_revision position(watched_table name) const override { return table(name).position; }
    void takeWhole(watched_table, row_page) override;
    void takeChanges(watched_table, const row_page&) override;
    void storeLost(watched_table, time_point since) override;
    void storeRegained(watched_table) override;
    void storeChecked(watched_table) override;
    bool isFollowedByOthers() const override;

    // Older states than what is known are dropped.
    void replaceTable(watched_table, row_page, const char* source);
    void applyRow(watched_table, const watched_row&);
    void announceChange(watched_table);
    void expireLoop();
    void askPeersLoop();
    // Asks what the process there knows, and reads what this one lacks of it.
    void inquire(const endpoint&);
    // Reads what the process there knows more than this one, unless another one is being read already. Without the
    // configuration where only the list of servers is wanted.
    void readPeer(const endpoint&, bool withConfiguration);
    void askPeer(const endpoint&, bool withConfiguration);
    bool wantsServers(const wire::deployment_knowledge&) const;
    bool wantsConfiguration(const wire::deployment_knowledge&, time_point now) const;
    void takeFromPeer(watched_table, store_revision, const std::vector<wire::stored_row>&);
    wire::deployment_reply replyTo(const wire::deployment_request&) const;

    fiber_runtime& m_runtime;
    const std::unique_ptr<watched_store> m_store;
    const std::unique_ptr<deployment_decoder> m_decoder;
    const options m_options;
    peer_service* m_peerService = nullptr;
    std::array<table_copy, 2> m_tables;
    std::array<std::unique_ptr<table_follower>, 2> m_followers;
    catalogue_ptr m_catalogue;
    backend_directory m_directory;
    std::set<endpoint> m_peers;
    // When a process that follows the store was last heard.
    std::optional<time_point> m_followerHeardAt;
    // Since when gateways have known what this process does not.
    std::optional<time_point> m_behindSince;
    std::optional<time_point> m_configurationReadAt;
    std::optional<endpoint> m_readPeer; // While it is being read.
    // Since when others have been said to know more, with no news from the store.
    std::optional<time_point> m_newsHeardAt;
    std::vector<std::function<void(const catalogue_ptr&)>> m_onCatalogue;
    std::vector<std::function<void()>> m_onServers;
    std::vector<std::function<void()>> m_onStoreChecked;
    std::minstd_rand m_random { std::random_device {}() };
    bool m_stopped = false;
};

} // namespace coltsfootbend
