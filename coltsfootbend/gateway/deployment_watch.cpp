#include "coltsfootbend/gateway/deployment_watch.h"

#include "coltsfootbend/base/log_event.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <random>
#include <utility>

namespace coltsfootbend {

namespace {

// Lapsed registrations are looked at this often: well below the time for which they are kept.
constexpr std::chrono::milliseconds expireEvery { 100 };
// Peers asked at once: one may be cut off or as ignorant as this process.
constexpr std::size_t peersAsked = 3;
constexpr std::chrono::milliseconds inquiryLimit { 800 };
// Of many routes, over the link of an agent that serves others beside. Given up earlier, the reading begins anew and
// never ends; a peer that has gone silent costs this much of the time within which news must be in force.
constexpr std::chrono::milliseconds readPeerLimit { 2500 };
// Older news that the store was heard say nothing any more.
constexpr std::uint64_t longestToldAgeMs = 60'000;

std::vector<wire::stored_row> toWire(const std::map<std::string, watched_row>& rows)
{
    std::vector<wire::stored_row> copied;
    copied.reserve(rows.size());
    for (const auto& [key, row] : rows)
        copied.push_back({ key, row.value, row.revision });
    return copied;
}

row_page fromWire(store_revision revision, const std::vector<wire::stored_row>& rows)
{
    row_page page { {}, revision };
    page.rows.reserve(rows.size());
    for (const auto& row : rows)
        page.rows.push_back({ row.key, row.value, row.revision, false });
    return page;
}

} // namespace

deployment_watch::deployment_watch(fiber_runtime& runtime, std::unique_ptr<watched_store> store,
    std::unique_ptr<deployment_decoder> decoder, options options)
    : m_runtime(runtime)
    , m_store(std::move(store))
    , m_decoder(std::move(decoder))
    , m_options(std::move(options))
    , m_peers(m_options.peers.begin(), m_options.peers.end())
{
}

result<void> deployment_watch::start(kernel& kernel)
{
    auto peers = kernel.require<peer_service>("peers");
    if (!peers)
        return tl::unexpected(peers.error());
    m_peerService = *peers;
    auto metrics = kernel.require<metrics_service>("metrics");
    if (!metrics)
        return tl::unexpected(metrics.error());
    m_peerService->on<wire::deployment_request>(
        [this](peer_stream& stream, const wire::message&, const wire::deployment_request& asked) {
            (void)stream.send(replyTo(asked), true);
        });
    m_peerService->on<wire::deployment_inquiry>(
        [this](peer_stream& stream, const wire::message&, const wire::deployment_inquiry&) {
            (void)stream.send(knowledge(), true);
        });
    table_follower::owner& owner = *this;
    for (const auto name : { watched_table::Configuration, watched_table::BackendServers }) {
        m_followers[indexOf(name)]
            = std::make_unique<table_follower>(m_runtime, *m_store, **metrics, name, owner, m_options.store);
        follower(name).start();
    }
    m_runtime.spawn([this] { expireLoop(); });
    m_runtime.spawn([this] { askPeersLoop(); });
    return {};
}

void deployment_watch::stop()
{
    m_stopped = true;
    for (const auto& follower : m_followers) {
        if (follower)
            follower->stop();
    }
}

void deployment_watch::takeWhole(watched_table name, row_page page) { replaceTable(name, std::move(page), "store"); }

void deployment_watch::replaceTable(watched_table name, row_page page, const char* source)
{
    auto& copy = table(name);
    if (page.revision < copy.revision)
        return;
    logEvent(log_event::DeploymentRead,
        "table=" + std::string(toString(name)) + " source=" + source + " rows=" + std::to_string(page.rows.size())
            + " revision=" + std::to_string(page.revision));
    copy.revision = page.revision;
    copy.position = std::max(copy.position, page.revision);
    std::map<std::string, watched_row> rows;
    std::vector<backend_id> present;
    for (auto& row : page.rows) {
        present.emplace_back(row.key);
        const auto known = copy.rows.find(row.key);
        if (known == copy.rows.end() || known->second.revision < row.revision)
            applyRow(name, row);
        rows[row.key] = std::move(row);
    }
    copy.rows = std::move(rows);
    if (name == watched_table::BackendServers)
        m_directory.retainOnly(present, clock_type::now());
    announceChange(name);
}

void deployment_watch::takeChanges(watched_table name, const row_page& page)
{
    auto& copy = table(name);
    copy.position = std::max(copy.position, page.revision);
    if (page.rows.empty())
        return;
    for (const auto& row : page.rows) {
        copy.revision = std::max(copy.revision, row.revision);
        if (row.isDeleted) {
            copy.rows.erase(row.key);
            if (name == watched_table::BackendServers)
                m_directory.remove(backend_id(row.key), clock_type::now());
            logEvent(log_event::DeploymentRowRemoved,
                "table=" + std::string(toString(name)) + " key=" + row.key
                    + " revision=" + std::to_string(row.revision));
            continue;
        }
        applyRow(name, row);
        copy.rows[row.key] = row;
    }
    announceChange(name);
}

void deployment_watch::applyRow(watched_table name, const watched_row& row)
{
    if (name == watched_table::BackendServers) {
        const auto server = m_decoder->backend(row);
        if (!server) {
            logEvent(log_event::DeploymentRowUnreadable, toString(server.error()));
            m_directory.forget(backend_id(row.key));
            return;
        }
        const auto* found = m_directory.find(server->id);
        const auto known = found ? std::optional(*found) : std::nullopt;
        if (!m_directory.put(*server))
            return;
        if (!known || known->isLeaving != server->isLeaving || known->address != server->address
            || known->life != server->life) {
            logEvent(log_event::BackendListed,
                "backend=" + server->id.text() + " life=" + std::to_string(server->life.number())
                    + " deployment=" + server->deployment.text() + " address=" + toString(server->address)
                    + " leaving=" + (server->isLeaving ? "yes" : "no") + " revision=" + std::to_string(row.revision));
        }
        return;
    }
    auto next = m_decoder->configuration(row);
    if (!next) {
        logEvent(log_event::DeploymentRowUnreadable, toString(next.error()));
        return;
    }
    if (m_catalogue && (*next)->version() < m_catalogue->version())
        return;
    m_catalogue = *next;
    logEvent(log_event::ConfigurationInForce,
        "version=" + std::to_string(m_catalogue->version().number())
            + " routes=" + std::to_string(m_catalogue->routes().size()) + " revision=" + std::to_string(row.revision));
}

void deployment_watch::announceChange(watched_table name)
{
    m_newsHeardAt.reset();
    if (name == watched_table::BackendServers) {
        m_directory.settleLapses(clock_type::now());
        for (const auto& changed : m_onServers)
            changed();
        return;
    }
    m_configurationReadAt = clock_type::now();
    for (const auto& changed : m_onCatalogue) {
        if (m_catalogue)
            changed(m_catalogue);
    }
}

void deployment_watch::storeLost(watched_table name, time_point since)
{
    if (name == watched_table::BackendServers)
        m_directory.storeFailed(since);
}

void deployment_watch::storeRegained(watched_table name)
{
    if (name == watched_table::BackendServers)
        m_directory.storeAnswered(clock_type::now());
}

void deployment_watch::storeChecked(watched_table)
{
    for (const auto& checked : m_onStoreChecked)
        checked();
}

std::optional<time_point> deployment_watch::lostSince() const
{
    std::optional<time_point> earliest;
    for (const auto& follower : m_followers) {
        const auto since = follower ? follower->lostSince() : std::nullopt;
        if (since)
            earliest = std::min(*since, earliest.value_or(*since));
    }
    return earliest;
}

bool deployment_watch::isResting() const
{
    return std::any_of(
        m_followers.begin(), m_followers.end(), [](const auto& follower) { return follower && follower->isResting(); });
}

void deployment_watch::expireLoop()
{
    while (!m_stopped) {
        m_runtime.sleepFor(expireEvery);
        if (m_directory.expire(clock_type::now()) > 0)
            announceChange(watched_table::BackendServers);
    }
}

bool deployment_watch::isFollowedByOthers() const
{
    return m_options.followsPeers && m_followerHeardAt
        && clock_type::now() < *m_followerHeardAt + m_options.peerSilence;
}

wire::deployment_knowledge deployment_watch::knowledge() const
{
    return { .configuration = confirmation(watched_table::Configuration),
        .servers = confirmation(watched_table::BackendServers),
        .isServed = knowsServers() && storeAnswers() && !m_options.followsPeers && !isResting(),
        .dataCentre = m_options.home.text() };
}

wire::store_confirmation deployment_watch::confirmation(watched_table name) const
{
    wire::store_confirmation told { .revision = table(name).revision };
    if (const auto confirmedAt = follower(name).confirmedAt())
        told.ageMs = static_cast<std::uint64_t>(remaining(*confirmedAt, clock_type::now()).count());
    return told;
}

void deployment_watch::hearConfirmations(
    const wire::store_confirmation& configuration, const wire::store_confirmation& servers, wire::store_duty duty)
{
    const auto now = clock_type::now();
    const auto hear = [&](watched_table name, const wire::store_confirmation& told) {
        follower(name).setDuty(duty);
        if (told.ageMs <= longestToldAgeMs)
            follower(name).hearConfirmation(told.revision, now - std::chrono::milliseconds(told.ageMs));
    };
    hear(watched_table::Configuration, configuration);
    hear(watched_table::BackendServers, servers);
}

void deployment_watch::hearGateway(const endpoint& peer, const wire::deployment_knowledge& knowledge)
{
    meetPeer(peer);
    const auto now = clock_type::now();
    if (knowledge.isServed)
        m_followerHeardAt = now;
    if (!isFollowedByOthers())
        return;
    const bool withConfiguration = wantsConfiguration(knowledge, now);
    if (!withConfiguration && !wantsServers(knowledge)) {
        // Others may still be ahead; whoever is says so again within a second.
        m_behindSince.reset();
        return;
    }
    if (!m_behindSince)
        m_behindSince = now;
    const bool isNear = knowledge.dataCentre == m_options.home.text();
    if (!isNear && now < *m_behindSince + m_options.otherDataCentreDelay)
        return;
    readPeer(peer, withConfiguration);
}

bool deployment_watch::wantsServers(const wire::deployment_knowledge& knowledge) const
{
    return knowledge.servers.revision > table(watched_table::BackendServers).revision;
}

bool deployment_watch::wantsConfiguration(const wire::deployment_knowledge& knowledge, time_point now) const
{
    if (knowledge.configuration.revision <= table(watched_table::Configuration).revision)
        return false;
    if (!m_options.followsPeers || !m_configurationReadAt)
        return true;
    return now > *m_configurationReadAt + m_options.configurationFromPeersEvery;
}

void deployment_watch::hearOfNews(const endpoint& peer)
{
    meetPeer(peer);
    const auto now = clock_type::now();
    if (!m_newsHeardAt)
        m_newsHeardAt = now;
    if (lostSince() || isResting() || now > *m_newsHeardAt + m_options.silentPollAfter)
        readPeer(peer, true);
}

// One at a time: a large configuration fills a small link.
void deployment_watch::readPeer(const endpoint& peer, bool withConfiguration)
{
    if (m_readPeer)
        return;
    m_readPeer = peer;
    if (withConfiguration)
        m_configurationReadAt = clock_type::now();
    m_runtime.spawn([this, peer, withConfiguration] {
        askPeer(peer, withConfiguration);
        m_readPeer.reset();
    });
}

void deployment_watch::askPeersLoop()
{
    while (!m_stopped) {
        m_runtime.sleepFor(m_options.askPeersEvery);
        // Whoever leaves the store to gateways hears from them, even if its own last call failed.
        const auto failingSince = lostSince();
        if (!failingSince || isFollowedByOthers() || clock_type::now() < *failingSince + m_options.askPeersAfter)
            continue;
        std::vector<endpoint> asked;
        std::sample(m_peers.begin(), m_peers.end(), std::back_inserter(asked), peersAsked, m_random);
        for (const auto& peer : asked) {
            if (peer != m_readPeer)
                m_runtime.spawn([this, peer] { inquire(peer); });
        }
    }
}

// A few bytes: rows that each of several peers sends are sent in vain by all but one of them, and a process that all
// others read at once has no link left.
void deployment_watch::inquire(const endpoint& peer)
{
    const auto reply = m_peerService->client().ask(peer, wire::deployment_inquiry {}, clock_type::now() + inquiryLimit);
    if (!reply) {
        // Another one is asked next time; the loss of the store itself is logged.
        if (peer != m_readPeer)
            m_peerService->client().drop(peer);
        return;
    }
    const auto* told = std::get_if<wire::deployment_knowledge>(&reply->content);
    if (!told)
        return;
    const bool withConfiguration = wantsConfiguration(*told, clock_type::now());
    if (withConfiguration || wantsServers(*told))
        readPeer(peer, withConfiguration);
}

void deployment_watch::askPeer(const endpoint& peer, bool withConfiguration)
{
    constexpr auto none = std::numeric_limits<store_revision>::max();
    const wire::deployment_request request { withConfiguration ? table(watched_table::Configuration).revision : none,
        table(watched_table::BackendServers).revision };
    const auto reply = m_peerService->client().ask(peer, request, clock_type::now() + readPeerLimit);
    if (!reply) {
        m_peerService->client().drop(peer); // Another one is asked next time.
        return;
    }
    const auto* told = std::get_if<wire::deployment_reply>(&reply->content);
    if (!told)
        return;
    takeFromPeer(watched_table::Configuration, told->configurationRevision, told->configuration);
    takeFromPeer(watched_table::BackendServers, told->serversRevision, told->servers);
}

void deployment_watch::takeFromPeer(
    watched_table name, store_revision revision, const std::vector<wire::stored_row>& rows)
{
    if (revision <= table(name).revision)
        return;
    follower(name).distrustPoll();
    replaceTable(name, fromWire(revision, rows), "peer");
}

wire::deployment_reply deployment_watch::replyTo(const wire::deployment_request& asked) const
{
    wire::deployment_reply reply;
    const auto& configuration = table(watched_table::Configuration);
    if (configuration.revision > asked.configurationRevision) {
        reply.configurationRevision = configuration.revision;
        reply.configuration = toWire(configuration.rows);
    }
    const auto& servers = table(watched_table::BackendServers);
    if (servers.revision > asked.serversRevision) {
        reply.serversRevision = servers.revision;
        reply.servers = toWire(servers.rows);
    }
    return reply;
}

} // namespace coltsfootbend
