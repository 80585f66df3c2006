#include "coltsfootbend/gateway/deployment_watch.h"

#include "coltsfootbend/base/log_event.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <random>
#include <tuple>
#include <utility>

namespace coltsfootbend {

namespace {

// Interval at which lapsed registrations are checked: well below the time for which they are kept.
constexpr std::chrono::milliseconds expiryInterval { 100 };
// Peers asked in one round: a single one may be cut off, or know no more than this process.
constexpr std::size_t maxPeersAsked = 3;
constexpr std::chrono::milliseconds inquiryTimeout { 800 };
// Allows for many routes over the link of an agent that serves other readers too: a shorter timeout would restart such
// a read again and again. An unresponsive peer uses up this much of the time within which an update must be in force.
constexpr std::chrono::milliseconds peerReadTimeout { 2500 };
// Interval at which a reply that waits for others checks whether it may be sent.
constexpr std::chrono::milliseconds replyPollInterval { 10 };
// Confirmations older than this are ignored.
constexpr std::uint64_t maxReportedAgeMs = 60'000;

wire::stored_row toWire(watched_row row)
{
    return { std::move(row.key), std::move(row.value), row.revision.number, row.isDeleted, row.revision.era.number() };
}

std::vector<wire::stored_row> toWire(std::vector<watched_row> rows)
{
    std::vector<wire::stored_row> copied;
    copied.reserve(rows.size());
    for (auto& row : rows)
        copied.push_back(toWire(std::move(row)));
    return copied;
}

watched_row fromWire(const wire::stored_row& row)
{
    return { row.key, row.value, { store_era(row.era), row.revision }, row.isDeleted };
}

row_page fromWire(store_revision revision, const std::vector<wire::stored_row>& rows)
{
    row_page page { {}, revision };
    page.rows.reserve(rows.size());
    for (const auto& row : rows)
        page.rows.push_back(fromWire(row));
    return page;
}

store_revision revisionOf(const wire::store_confirmation& confirmation)
{
    return { store_era(confirmation.era), confirmation.revision };
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
            serveTables(stream, asked);
        });
    m_peerService->on<wire::deployment_inquiry>(
        [this](peer_stream& stream, const wire::message&, const wire::deployment_inquiry&) {
            (void)stream.send(knowledge(), true);
        });
    (*metrics)->gauge("store_era", [this] { return static_cast<double>(m_store->latestEra().number()); });
    m_startingUntil = clock_type::now() + m_options.maxStartingTime;
    table_follower::owner& owner = *this;
    for (const auto name : { watched_table::Configuration, watched_table::BackendServers }) {
        m_followers[indexOf(name)]
            = std::make_unique<table_follower>(m_runtime, *m_store, **metrics, name, owner, m_options.store);
        follower(name).start();
    }
    m_runtime.spawnLoop("expiry", [this] { expireLoop(); });
    m_runtime.spawnLoop("inquiries", [this] { inquiryLoop(); });
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

void deployment_watch::receiveSnapshot(watched_table name, row_page page)
{
    replaceTable(name, std::move(page), "store");
}

void deployment_watch::replaceTable(watched_table name, row_page page, const char* source)
{
    const auto revision = page.revision;
    std::vector<backend_id> present;
    present.reserve(page.rows.size());
    for (const auto& row : page.rows)
        present.emplace_back(row.key);
    const auto before = table(name).revision();
    const auto changed = table(name).replace(std::move(page));
    if (!changed)
        return;
    logEvent(log_event::DeploymentRead,
        "table=" + std::string(toString(name)) + " source=" + source + " rows=" + std::to_string(present.size()) + " "
            + toString(revision));
    const bool isRestored = beginEra(name, before, source);
    for (const auto& row : *changed)
        applyRow(name, row, isRestored);
    if (name == watched_table::BackendServers)
        m_directory.retainOnly(present, clock_type::now());
    notifyChange(name);
}

void deployment_watch::receiveChanges(watched_table name, const row_page& page)
{
    table(name).apply(page);
    updateHasServerList();
    if (!page.rows.empty())
        decodeChanges(name, page.rows, false);
}

bool deployment_watch::beginEra(watched_table name, store_revision before, const char* source)
{
    const auto after = table(name).revision();
    if (before.isNone() || after.isInEraOf(before))
        return false;
    const auto now = clock_type::now();
    logEvent(log_event::StoreRestored,
        "table=" + std::string(toString(name)) + " from=" + std::to_string(before.era.number())
            + " to=" + std::to_string(after.era.number()) + " before=" + std::to_string(before.number)
            + " after=" + std::to_string(after.number) + " source=" + source
            + " version_in_force=" + std::to_string(version().number()));
    follower(name).onEraChanged();
    if (name == watched_table::BackendServers)
        m_directory.storeRestored(now);
    else
        m_evacuations.storeRestored(writtenEvacuations(), now);
    for (const auto& restored : m_onStoreRestored)
        restored();
    return true;
}

void deployment_watch::decodeChanges(watched_table name, const std::vector<watched_row>& rows, bool isRestored)
{
    for (const auto& row : rows) {
        if (!row.isDeleted) {
            applyRow(name, row, isRestored);
            continue;
        }
        if (name == watched_table::BackendServers)
            m_directory.remove(backend_id(row.key), clock_type::now());
        else if (const auto dataCentre = m_decoder->evacuated(row); dataCentre && !isRestored)
            m_evacuations.lift(*dataCentre);
        logEvent(log_event::DeploymentRowRemoved,
            "table=" + std::string(toString(name)) + " key=" + row.key + " " + toString(row.revision));
    }
    notifyChange(name);
}

void deployment_watch::applyRow(watched_table name, const watched_row& row, bool isRestored)
{
    if (name == watched_table::BackendServers)
        applyBackend(row, isRestored);
    else if (!m_decoder->evacuated(row))
        applyConfiguration(row);
}

void deployment_watch::applyBackend(const watched_row& row, bool isRestored)
{
    const auto server = m_decoder->backend(row);
    if (!server) {
        logEvent(log_event::DeploymentRowUnreadable, toString(server.error()));
        m_directory.discard(backend_id(row.key));
        return;
    }
    const auto* found = m_directory.find(server->id);
    const auto known = found ? std::optional(*found) : std::nullopt;
    if (!(isRestored ? m_directory.putRestored(*server, clock_type::now()) : m_directory.put(*server)))
        return;
    const auto& listed = *m_directory.find(server->id);
    if (!known || known->isLeaving != listed.isLeaving || known->address != listed.address
        || known->incarnation != listed.incarnation)
        logListed(listed);
}

void deployment_watch::logListed(const backend_server& server) const
{
    const auto& rows = table(watched_table::BackendServers).rows();
    const auto row = rows.find(server.id.text());
    logEvent(log_event::BackendListed,
        "backend=" + server.id.text() + " life=" + std::to_string(server.incarnation.number())
            + " deployment=" + server.deployment.text() + " address=" + toString(server.address)
            + " leaving=" + (server.isLeaving ? "yes" : "no") + " "
            + toString(row == rows.end() ? store_revision {} : row->second.revision));
}

void deployment_watch::applyConfiguration(const watched_row& row)
{
    auto next = m_decoder->configuration(row);
    if (!next) {
        logEvent(log_event::DeploymentRowUnreadable, toString(next.error()));
        return;
    }
    if (m_catalogue && (*next)->version() < m_catalogue->version())
        return;
    m_catalogue = *next;
    m_configurationInForce = row;
    logEvent(log_event::ConfigurationInForce,
        "version=" + std::to_string(m_catalogue->version().number())
            + " routes=" + std::to_string(m_catalogue->routes().size()) + " " + toString(row.revision));
}

std::set<data_centre_id> deployment_watch::writtenEvacuations() const
{
    std::set<data_centre_id> written;
    for (const auto& [key, row] : table(watched_table::Configuration).rows()) {
        if (auto dataCentre = m_decoder->evacuated(row))
            written.insert(std::move(*dataCentre));
    }
    return written;
}

void deployment_watch::announceEvacuations()
{
    std::string names;
    for (const auto& dataCentre : evacuated())
        names += (names.empty() ? "" : ",") + dataCentre.text();
    logEvent(log_event::EvacuationsInForce,
        "data_centres=" + (names.empty() ? "none" : names) + " "
            + toString(table(watched_table::Configuration).revision()));
    for (const auto& changed : m_onEvacuation)
        changed();
}

bool deployment_watch::isDeploymentStarting() const
{
    return m_wasStarting && clock_type::now() < m_startingUntil && !isEachDeploymentListed();
}

bool deployment_watch::isEachDeploymentListed() const
{
    if (!m_catalogue)
        return false;
    std::set<deployment_id> listed;
    for (const auto& [id, server] : m_directory.servers())
        listed.insert(server.deployment);
    const auto& deployments = m_catalogue->deployments();
    return std::all_of(deployments.begin(), deployments.end(),
        [&](const auto& deployment) { return !deployment.engine || listed.contains(deployment.id); });
}

void deployment_watch::updateStarting()
{
    if (!m_wasStarting || isDeploymentStarting())
        return;
    m_wasStarting = false;
    for (const auto& follower : m_followers) {
        if (follower)
            follower->onDeploymentStarted();
    }
}

// The revision may fall to 0 if the store comes back from a copy without any change; the list remains known.
void deployment_watch::updateHasServerList()
{
    m_hasServerList = m_hasServerList || !table(watched_table::BackendServers).position().isNone();
}

void deployment_watch::notifyChange(watched_table name)
{
    m_updateHintReceivedAt.reset();
    updateStarting();
    updateHasServerList();
    if (name == watched_table::BackendServers) {
        m_directory.removeIsolatedLapses(clock_type::now());
        for (const auto& changed : m_onServers)
            changed();
        return;
    }
    m_configurationReadAt = clock_type::now();
    if (m_evacuations.update(writtenEvacuations()))
        announceEvacuations();
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

bool deployment_watch::isOnStandby() const
{
    return std::any_of(m_followers.begin(), m_followers.end(),
        [](const auto& follower) { return follower && follower->isOnStandby(); });
}

void deployment_watch::expireLoop()
{
    while (!m_stopped) {
        m_runtime.sleepFor(expiryInterval);
        const auto now = clock_type::now();
        if (m_evacuations.expire(now))
            announceEvacuations();
        const auto expired = m_directory.expire(now);
        const auto returned = m_directory.admitReturned(now);
        for (const auto& server : returned)
            logListed(server);
        if (expired > 0 || !returned.empty())
            notifyChange(watched_table::BackendServers);
    }
}

bool deployment_watch::gatewaysFollowStore() const
{
    return m_options.followsGateways && m_lastFollowerReportAt
        && clock_type::now() < *m_lastFollowerReportAt + m_options.gatewayReportTimeout;
}

wire::deployment_knowledge deployment_watch::knowledge() const
{
    return { .configuration = confirmation(watched_table::Configuration),
        .servers = confirmation(watched_table::BackendServers),
        .isServed = hasServerList() && isStoreAvailable() && !m_options.followsGateways && !isOnStandby(),
        .dataCentre = m_options.localDataCentre.text(),
        .isOnStandby = hasServerList() && isOnStandby(),
        .version = version().number() };
}

wire::store_confirmation deployment_watch::confirmation(watched_table name) const
{
    const auto revision = table(name).revision();
    wire::store_confirmation reported { .revision = revision.number, .era = revision.era.number() };
    // Others would take the confirmation of a copy that was only read for that of the store's latest state.
    if (const auto confirmedAt = follower(name).confirmedAt(); confirmedAt && follower(name).isFollowed())
        reported.ageMs = static_cast<std::uint64_t>(remaining(*confirmedAt, clock_type::now()).count());
    return reported;
}

void deployment_watch::receiveConfirmations(
    const wire::store_confirmation& configuration, const wire::store_confirmation& servers, wire::store_duty duty)
{
    const auto now = clock_type::now();
    const auto receive = [&](watched_table name, const wire::store_confirmation& reported) {
        follower(name).setDuty(duty);
        if (reported.ageMs <= maxReportedAgeMs)
            follower(name).receiveConfirmation(revisionOf(reported), now - std::chrono::milliseconds(reported.ageMs));
    };
    receive(watched_table::Configuration, configuration);
    receive(watched_table::BackendServers, servers);
}

void deployment_watch::receiveGatewayReport(const endpoint& peer, const wire::deployment_knowledge& knowledge)
{
    addPeer(peer);
    const auto now = clock_type::now();
    if (knowledge.isServed || knowledge.isOnStandby)
        m_lastFollowerReportAt = now;
    if (!gatewaysFollowStore())
        return;
    const bool withConfiguration = needsConfiguration(knowledge, now);
    if (!withConfiguration && !needsServers(knowledge)) {
        // Other gateways may still be ahead; each of them reports again within a second.
        m_behindSince.reset();
        return;
    }
    if (!m_behindSince)
        m_behindSince = now;
    const bool isNear = knowledge.dataCentre == m_options.localDataCentre.text();
    if (!isNear && now < *m_behindSince + m_options.otherDataCentreDelay)
        return;
    readPeer(peer, withConfiguration);
}

bool deployment_watch::needsServers(const wire::deployment_knowledge& knowledge) const
{
    return revisionOf(knowledge.servers) > table(watched_table::BackendServers).revision();
}

bool deployment_watch::needsConfiguration(const wire::deployment_knowledge& knowledge, time_point now) const
{
    const auto offered = revisionOf(knowledge.configuration);
    const auto known = table(watched_table::Configuration).revision();
    if (offered <= known && knowledge.version <= version().number())
        return false;
    if (!m_options.followsGateways || !m_configurationReadAt || offered.era > known.era)
        return true;
    return now > *m_configurationReadAt + m_options.configurationReadInterval;
}

void deployment_watch::receiveUpdateHint(const endpoint& peer)
{
    addPeer(peer);
    const auto now = clock_type::now();
    if (!m_updateHintReceivedAt)
        m_updateHintReceivedAt = now;
    if (lostSince() || isOnStandby() || awaitsTable() || now > *m_updateHintReceivedAt + m_options.stalledPollDelay)
        readPeer(peer, true);
}

bool deployment_watch::awaitsTable() const
{
    return std::any_of(m_followers.begin(), m_followers.end(),
        [](const auto& follower) { return follower && follower->awaitsTable(); });
}

// Reads one peer at a time, because a large configuration saturates a small link.
void deployment_watch::readPeer(const endpoint& peer, bool withConfiguration)
{
    if (m_peerBeingRead || isReadingPaused(peer))
        return;
    m_runtime.spawn([this, peer, withConfiguration] {
        bool hasNews = false;
        (void)runLogged("peer reading", [&] { hasNews = fetchFromPeer(peer, withConfiguration); });
        m_peerBeingRead.reset();
        if (!hasNews)
            pauseReading(peer);
    });
    m_peerBeingRead = peer;
    if (withConfiguration)
        m_configurationReadAt = clock_type::now();
}

void deployment_watch::pauseReading(const endpoint& peer)
{
    const auto now = clock_type::now();
    std::erase_if(m_notReadUntil, [now](const auto& entry) { return entry.second <= now; });
    m_notReadUntil[peer] = now + m_options.peerRetryDelay;
}

bool deployment_watch::isReadingPaused(const endpoint& peer) const
{
    const auto found = m_notReadUntil.find(peer);
    return found != m_notReadUntil.end() && clock_type::now() < found->second;
}

void deployment_watch::inquiryLoop()
{
    while (!m_stopped) {
        m_runtime.sleepFor(m_options.peerInquiryInterval);
        // A process that follows gateways receives their reports, even if its own last call to the store failed.
        const auto failingSince = lostSince();
        if (!failingSince || gatewaysFollowStore() || clock_type::now() < *failingSince + m_options.peerInquiryDelay)
            continue;
        std::vector<endpoint> asked;
        std::sample(m_peers.begin(), m_peers.end(), std::back_inserter(asked), maxPeersAsked, m_random);
        for (const auto& peer : asked) {
            if (peer != m_peerBeingRead)
                m_runtime.spawn([this, peer] { inquire(peer); });
        }
    }
}

// Costs a few bytes. Requesting the rows from several peers at once would waste all answers but one, and would saturate
// the link of a peer that many processes read.
void deployment_watch::inquire(const endpoint& peer)
{
    const auto reply
        = m_peerService->client().ask(peer, wire::deployment_inquiry {}, clock_type::now() + inquiryTimeout);
    if (!reply) {
        // The next round asks other peers; the loss of the store itself is logged elsewhere.
        if (peer != m_peerBeingRead)
            m_peerService->client().drop(peer);
        return;
    }
    const auto* reported = std::get_if<wire::deployment_knowledge>(&reply->content);
    if (!reported)
        return;
    const bool withConfiguration = needsConfiguration(*reported, clock_type::now());
    if (withConfiguration || needsServers(*reported))
        readPeer(peer, withConfiguration);
}

bool deployment_watch::fetchFromPeer(const endpoint& peer, bool withConfiguration)
{
    constexpr auto none = std::numeric_limits<std::uint64_t>::max();
    const auto configuration
        = withConfiguration ? table(watched_table::Configuration).revision() : store_revision { store_era(none), none };
    const auto servers = table(watched_table::BackendServers).revision();
    const wire::deployment_request request { .configurationRevision = configuration.number,
        .serversRevision = servers.number,
        .acceptsDifferences = true,
        .configurationEra = configuration.era.number(),
        .serversEra = servers.era.number(),
        .version = withConfiguration ? version().number() : none };
    const auto reply = m_peerService->client().ask(peer, request, clock_type::now() + peerReadTimeout);
    if (!reply) {
        m_peerService->client().drop(peer); // The next round may read another peer.
        return false;
    }
    const auto* reported = std::get_if<wire::deployment_reply>(&reply->content);
    if (!reported)
        return false;
    const auto before = std::tuple(
        table(watched_table::Configuration).revision(), table(watched_table::BackendServers).revision(), version());
    applyFromPeer(watched_table::Configuration,
        fromWire({ store_era(reported->configurationEra), reported->configurationRevision }, reported->configuration),
        reported->isConfigurationDifference);
    applyFromPeer(watched_table::BackendServers,
        fromWire({ store_era(reported->serversEra), reported->serversRevision }, reported->servers),
        reported->isServersDifference);
    applyInForceFromPeer(reported->configurationInForce);
    return before
        != std::tuple(
            table(watched_table::Configuration).revision(), table(watched_table::BackendServers).revision(), version());
}

void deployment_watch::applyInForceFromPeer(const std::vector<wire::stored_row>& rows)
{
    const auto before = version();
    for (const auto& row : rows)
        applyConfiguration(fromWire(row));
    if (version() != before)
        notifyChange(watched_table::Configuration);
}

void deployment_watch::applyFromPeer(watched_table name, row_page page, bool isDifference)
{
    auto& copy = table(name);
    if (page.revision <= copy.revision())
        return;
    follower(name).restartPoll();
    if (!isDifference) {
        replaceTable(name, std::move(page), "peer");
        return;
    }
    logEvent(log_event::DeploymentRead,
        "table=" + std::string(toString(name)) + " source=peer changed_rows=" + std::to_string(page.rows.size()) + " "
            + toString(page.revision));
    const auto before = copy.revision();
    copy.applyDifference(page);
    const bool isRestored = beginEra(name, before, "peer");
    decodeChanges(name, page.rows, isRestored);
}

bool deployment_watch::needsSnapshot(const wire::deployment_request& asked) const
{
    const auto isWhole = [&](watched_table name, store_revision since) {
        const auto& copy = table(name);
        return copy.revision() > since && !(asked.acceptsDifferences && copy.knowsChangesSince(since));
    };
    return isWhole(watched_table::Configuration, { store_era(asked.configurationEra), asked.configurationRevision })
        || isWhole(watched_table::BackendServers, { store_era(asked.serversEra), asked.serversRevision });
}

// A reply to a peer that has stopped reading does not count any more once the peer's timeout has passed.
bool deployment_watch::maySendSnapshot(time_point now) const
{
    const auto firstCounted = m_snapshotRepliesSince.upper_bound(now - peerReadTimeout);
    return static_cast<std::size_t>(std::distance(firstCounted, m_snapshotRepliesSince.end())) < maxSnapshotReplies;
}

void deployment_watch::serveTables(peer_stream& stream, const wire::deployment_request& asked)
{
    if (!needsSnapshot(asked)) {
        (void)stream.send(replyTo(asked), true);
        return;
    }
    const auto limit = clock_type::now() + peerReadTimeout;
    while (!maySendSnapshot(clock_type::now())) {
        if (m_stopped || clock_type::now() >= limit)
            return; // The peer has given up by now.
        m_runtime.sleepFor(replyPollInterval);
    }
    const auto reply = m_snapshotRepliesSince.insert(clock_type::now());
    (void)stream.send(replyTo(asked), true);
    m_snapshotRepliesSince.erase(reply);
}

wire::deployment_reply deployment_watch::replyTo(const wire::deployment_request& asked) const
{
    // Appends a table to the reply. Returns its revision; none if the requester's copy is as recent.
    const auto append = [&](watched_table name, store_revision since, std::vector<wire::stored_row>& rows,
                            bool& isDifference) -> store_revision {
        const auto& copy = table(name);
        if (copy.revision() <= since)
            return {};
        auto difference = asked.acceptsDifferences ? copy.changesSince(since) : std::nullopt;
        isDifference = difference.has_value();
        rows = toWire(difference ? std::move(difference->rows) : copy.snapshot().rows);
        return copy.revision();
    };
    wire::deployment_reply reply;
    const auto configuration
        = append(watched_table::Configuration, { store_era(asked.configurationEra), asked.configurationRevision },
            reply.configuration, reply.isConfigurationDifference);
    const auto servers = append(watched_table::BackendServers, { store_era(asked.serversEra), asked.serversRevision },
        reply.servers, reply.isServersDifference);
    reply.configurationRevision = configuration.number;
    reply.configurationEra = configuration.era.number();
    reply.serversRevision = servers.number;
    reply.serversEra = servers.era.number();
    if (version().number() > asked.version && !isInForceRowInTable())
        reply.configurationInForce.push_back(toWire(m_configurationInForce));
    return reply;
}

bool deployment_watch::isInForceRowInTable() const
{
    const auto& rows = table(watched_table::Configuration).rows();
    const auto found = rows.find(m_configurationInForce.key);
    return found != rows.end() && found->second.revision == m_configurationInForce.revision;
}

} // namespace coltsfootbend
