#include "coltsfootbend/group/rank_service.h"

#include "coltsfootbend/base/log_event.h"
#include "coltsfootbend/group/agent_channel.h"
#include "coltsfootbend/net/port_probe.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>

namespace coltsfootbend {

namespace {

// Interval at which the engine's load is read and may be sent. Gateways use a report for longer, so one or two lost
// datagrams do no harm.
constexpr std::chrono::milliseconds loadUpdateInterval { 100 };
// Timeout of reading the engine's report.
constexpr std::chrono::milliseconds reportTimeout { 300 };
// Time after its last message for which a gateway is sent updates.
constexpr std::chrono::seconds subscriptionLifetime { 3 };
// Subtracted from the time of an order, so that the answer arrives before the leader's deadline.
constexpr std::chrono::milliseconds answerMargin { 100 };
// Maximum times for carrying out the orders of a leader, less the margin above except for queries.
constexpr std::chrono::milliseconds prepareTimeout { 2500 };
constexpr std::chrono::milliseconds armTimeout { 800 };
constexpr std::chrono::milliseconds queryTimeout { 250 };
// Timeout of a port probe; shorter than the timeout of the requesting gateway, which is in the same data centre.
constexpr std::chrono::milliseconds portProbeTimeout { 200 };

// Time without a leader's message after which rank 0 takes over. A leader sends several messages per second. Each
// further rank waits longer, so that normally only one of them takes over.
constexpr std::chrono::milliseconds leaderTimeout { 1200 };
constexpr std::chrono::milliseconds leaderTimeoutPerRank { 250 };
// The same after the start of an agent, which is long enough to receive one message of a leader, if there is one.
constexpr std::chrono::milliseconds startupLeaderTimeout { 500 };
// The same while a switch is armed: the group may be stalled until a leader completes the switch.
constexpr std::chrono::milliseconds armedLeaderTimeout { 400 };
constexpr std::chrono::milliseconds armedLeaderTimeoutPerRank { 60 };
// The same while a map is prepared: the leader may already be holding the group for the change.
constexpr std::chrono::milliseconds preparedLeaderTimeout { 600 };
// Ranks from this number on wait equally long.
constexpr rank_number maxStaggeredRanks = 32;
// Maximum time for copying experts in one change, about two passes under a poor map. Without a limit, running streams
// pause for longer than callers accept.
constexpr std::chrono::milliseconds maxCopyTime { 110 };
// Interval at which a rank checks whether to take over.
constexpr std::chrono::milliseconds followInterval { 50 };

// Returns whether the group changed, was formed again, broke or opened, which gateways must be notified of at once.
bool hasGroupChanged(const std::optional<group_membership>& before, const std::optional<group_membership>& after)
{
    if (!before || !after)
        return before.has_value() != after.has_value();
    return before->name != after->name || before->epoch != after->epoch || before->isOpen != after->isOpen;
}

} // namespace

rank_service::rank_service(fiber_runtime& runtime, const daemon_settings& settings, engine_factory makeEngine)
    : m_runtime(runtime)
    , m_settings(settings)
    , m_makeEngine(std::move(makeEngine))
    , m_engine(m_makeEngine(settings.rankAgent->engine))
    , m_participant(runtime, *m_engine)
{
}

rank_service::~rank_service() = default;

result<void> rank_service::start(kernel& kernel)
{
    auto watch = kernel.require<deployment_watch>("deployment");
    auto metrics = kernel.require<metrics_service>("metrics");
    auto peers = kernel.require<peer_service>("peers");
    if (!watch || !metrics || !peers)
        return tl::unexpected(!watch ? watch.error() : (!metrics ? metrics.error() : peers.error()));
    m_watch = *watch;
    m_metrics = *metrics;
    m_peers = *peers;
    m_transport = std::make_unique<peer_relay_transport>(m_peers->client(), m_settings.peers.port);
    m_relay = std::make_unique<order_relay>(m_runtime, *m_transport);
    m_dispatcher = std::make_unique<relay_dispatcher>(m_runtime, *m_relay);
    m_node = std::make_unique<relay_node>(m_runtime, m_participant, *m_relay);
    registerHandlers();
    m_node->registerHandler(*m_peers);
    auto datagrams = datagram_socket::open(m_runtime, m_settings.peers);
    if (!datagrams)
        return tl::unexpected(datagrams.error());
    m_datagrams = std::move(*datagrams);
    m_crashChannel = std::make_unique<datagram_crash_channel>(m_settings.vm, *m_datagrams);
    m_gossip = std::make_unique<crash_gossip>(m_crashes, *m_crashChannel);
    m_permits
        = std::make_unique<permit_service>(m_runtime, [this](const endpoint& gateway, const wire::permit_reply& reply) {
              m_datagrams->send(gateway,
                  wire::encode({ .sender = m_settings.vm, .senderIncarnation = {}, .version = {}, .content = reply }));
          });
    m_runtime.spawnLoop("load updates", [this] { loadUpdateLoop(); });
    m_runtime.spawnLoop("datagrams", [this] { receiveLoop(); });
    m_runtime.spawnLoop("leader", [this] { leaderLoop(); });
    return {};
}

void rank_service::registerHandlers()
{
    const auto answer = [this](peer_stream& stream, const wire::rank_order& order, duration limit) {
        const auto state = m_participant.answer(order, clock_type::now() + limit);
        if (state)
            (void)stream.send(*state, true);
        else
            (void)stream.send(toProblem(state.error()), true);
    };
    m_peers->on<wire::rank_query>([answer](peer_stream& stream, const wire::message&, const wire::rank_query& order) {
        answer(stream, order, queryTimeout);
    });
    m_peers->on<wire::port_inquiry>(
        [this](peer_stream& stream, const wire::message&, const wire::port_inquiry& inquiry) {
            (void)stream.send(probeServerPort(inquiry), true);
        });
    m_peers->on<wire::rank_prepare>(
        [answer](peer_stream& stream, const wire::message&, const wire::rank_prepare& order) {
            answer(stream, order, prepareTimeout - answerMargin);
        });
    m_peers->on<wire::rank_arm>([answer](peer_stream& stream, const wire::message&, const wire::rank_arm& order) {
        answer(stream, order, armTimeout - answerMargin);
    });
    m_peers->on<wire::rank_disarm>([answer](peer_stream& stream, const wire::message&, const wire::rank_disarm& order) {
        answer(stream, order, armTimeout - answerMargin);
    });
    m_peers->on<wire::rank_release>(
        [answer](peer_stream& stream, const wire::message&, const wire::rank_release& order) {
            answer(stream, order, armTimeout - answerMargin);
        });
}

// Probes only addresses of backend servers, so that a peer cannot use an agent to probe other addresses.
wire::port_finding rank_service::probeServerPort(const wire::port_inquiry& inquiry)
{
    const auto address = parseEndpoint(inquiry.address);
    const auto& servers = m_watch->directory().servers();
    const auto isServer = [&](const auto& entry) { return address && entry.second.address == *address; };
    if (!address
        || (*address != m_settings.rankAgent->engine && std::none_of(servers.begin(), servers.end(), isServer)))
        return {};
    const auto port = probePort(m_runtime, *address, clock_type::now() + portProbeTimeout);
    return { .isKnown = port != port_state::Unknown, .isRefused = port == port_state::Refused };
}

void rank_service::receiveLoop()
{
    while (auto got = m_datagrams->receive()) {
        wire::message_decoder decoder(got->bytes.size() + 1);
        decoder.feed(got->bytes);
        const auto message = decoder.next();
        const auto* content = message && *message ? &(*message)->content : nullptr;
        if (const auto* subscription = content ? std::get_if<wire::load_subscribe>(content) : nullptr)
            onLoadSubscribe(got->sender, *subscription);
        else if (const auto* crashes = content ? std::get_if<wire::crash_report>(content) : nullptr)
            m_gossip->receive(got->sender, *crashes, clock_type::now());
        else if (const auto* permit = content ? std::get_if<wire::permit_request>(content) : nullptr)
            m_permits->receiveRequest(got->sender, *permit);
        else
            m_metrics->count("datagrams_unreadable_total");
    }
}

void rank_service::onLoadSubscribe(const endpoint& sender, const wire::load_subscribe& subscription)
{
    const auto now = clock_type::now();
    m_subscribers.subscribe(sender, subscription.knows, now + subscriptionLifetime, now);
    m_watch->receiveGatewayReport(sender, subscription.knows);
}

void rank_service::loadUpdateLoop()
{
    while (!m_stopped) {
        m_runtime.sleepFor(loadUpdateInterval);
        const auto now = clock_type::now();
        m_subscribers.expire(now);
        m_crashes.expire(now);
        m_permits->expire(now);
        const auto report = m_engine->report(now + reportTimeout);
        if (!report) {
            m_metrics->count("engine_reports_failed_total");
            continue;
        }
        const bool hasChanged = hasGroupChanged(m_group, report->group);
        m_group = report->group;
        m_participant.observe(*report);
        if (m_loadUpdateSchedule.isDue(m_watch->directory().servers().size(), hasChanged, now))
            sendLoadUpdate(*report);
    }
}

void rank_service::sendLoadUpdate(const rank_report& report)
{
    wire::load_update update;
    update.engine = toString(m_settings.rankAgent->engine);
    update.running = report.running;
    update.waiting = report.waiting;
    update.usedTokens = report.usedTokens;
    update.totalTokens = report.totalTokens;
    update.pace = report.pace;
    update.step = report.step;
    update.engineIncarnation = report.incarnation.number();
    update.subscribers = static_cast<std::uint32_t>(m_subscribers.all().size());
    const auto now = clock_type::now();
    update.configuration = m_subscribers.configuration(now);
    update.servers = m_subscribers.servers(now);
    update.crashes = m_crashes.digest();
    update.limits = m_permits->limits(now);
    if (report.group) {
        update.group = report.group->name;
        update.epoch = report.group->epoch;
        update.isOpen = report.group->isOpen;
        update.ranks = report.group->ranks;
    }
    const auto encoded = [&] {
        return wire::encode({ .sender = m_settings.vm, .senderIncarnation = {}, .version = {}, .content = update });
    };
    std::map<wire::store_duty, std::string> encodedByDuty;
    for (const auto& [address, duty] : m_subscribers.duties()) {
        update.duty = static_cast<std::uint32_t>(duty);
        const auto* newerSource = m_subscribers.findNewerSource(m_subscribers.all().at(address));
        update.newerDeploymentAt = newerSource ? toString(*newerSource) : "";
        if (newerSource) {
            m_datagrams->send(address, encoded());
            continue;
        }
        auto& bytes = encodedByDuty[duty];
        if (bytes.empty())
            bytes = encoded();
        m_datagrams->send(address, bytes);
    }
}

void rank_service::leaderLoop()
{
    while (!m_stopped)
        m_runtime.sleepFor(leadOrFollow());
}

duration rank_service::leadOrFollow()
{
    auto* lead = m_group ? leader() : nullptr;
    if (!lead)
        return followInterval;
    const auto now = clock_type::now();
    const auto rank = m_group->rank;
    if (m_participant.leads(rank)) {
        updateOtherRanks();
        return lead->runRound(m_participant.term());
    }
    if (m_participant.leaderReceivedAt() == time_point {})
        m_participant.observeTerm(0); // The timeout starts when this agent starts.
    if (now < m_participant.leaderReceivedAt() + takeoverTimeout())
        return followInterval;
    const auto term = m_participant.claimLeadership(rank);
    logEvent(log_event::MapLeader,
        "group=" + m_group->name + " rank=" + std::to_string(rank) + " term=" + std::to_string(term));
    return duration::zero();
}

duration rank_service::takeoverTimeout() const
{
    const auto turn = std::min(m_group->rank, maxStaggeredRanks);
    if (m_participant.isArmed())
        return armedLeaderTimeout + turn * armedLeaderTimeoutPerRank;
    if (m_participant.isPrepared())
        return preparedLeaderTimeout + turn * armedLeaderTimeoutPerRank;
    return (m_participant.term() == 0 ? startupLeaderTimeout : leaderTimeout) + turn * leaderTimeoutPerRank;
}

const engine_model* rank_service::engineModel() const
{
    if (!m_watch->catalogue())
        return nullptr;
    for (const auto& [id, server] : m_watch->directory().servers()) {
        if (server.address != m_settings.rankAgent->engine)
            continue;
        const auto* deployment = m_watch->catalogue()->findDeployment(server.deployment);
        if (deployment && deployment->engine && deployment->engine->hasExpertMaps())
            return &*deployment->engine;
    }
    return nullptr;
}

map_leader* rank_service::leader()
{
    if (m_leader)
        return m_leader.get();
    const auto* engine = engineModel();
    if (!engine)
        return nullptr;
    m_leader = std::make_unique<map_leader>(m_runtime, m_participant, *m_dispatcher,
        map_leader::options { .planner = { .placesPerRank = engine->placesPerRank,
                                  .maxNewExpertsPerSet = engine->newPerChange,
                                  .maxCopiesPerRank = copiesPerRank(*engine),
                                  .gainPerMove = gainPerMove(*engine) },
            .sets = engine->expertSets,
            .experts = engine->experts,
            .slots = engine->slots },
        std::random_device {}());
    return m_leader.get();
}

std::uint32_t rank_service::copiesPerRank(const engine_model& engine)
{
    if (engine.gigabytesPerSecond <= 0 || engine.expertGigabytes <= 0)
        return std::numeric_limits<std::uint32_t>::max();
    const double copyMs = 1000 * engine.expertGigabytes / engine.gigabytesPerSecond;
    return std::max(1U, static_cast<std::uint32_t>(toMilliseconds(maxCopyTime) / copyMs));
}

// With more ranks, more requests benefit from a faster pass, but each copy also delays all ranks for longer during the
// change. The square root of the number of ranks is a compromise between the two effects.
double rank_service::gainPerMove(const engine_model& engine) const
{
    const double ranks = std::max(1.0, static_cast<double>(m_group->ranks));
    return m_settings.rankAgent->gainPerGigabyte * engine.expertGigabytes * engine.expertSets / std::sqrt(ranks);
}

void rank_service::updateOtherRanks()
{
    const auto own = m_settings.rankAgent->engine;
    const auto& servers = m_watch->directory().servers();
    const auto ownServer
        = std::find_if(servers.begin(), servers.end(), [&](const auto& entry) { return entry.second.address == own; });
    if (ownServer == servers.end())
        return;
    std::map<data_centre_id, std::uint32_t> dataCentres { { ownServer->second.dataCentre,
        0 } }; // The own data centre has number 0.
    std::vector<std::shared_ptr<rank_channel>> otherRanks;
    for (const auto& [id, server] : servers) {
        if (server.deployment != ownServer->second.deployment || server.address == own)
            continue;
        auto& channel = m_channels[server.address];
        if (!channel) {
            channel = std::make_shared<agent_channel>(m_runtime, m_peers->client(),
                endpoint { server.address.ip, m_settings.peers.port }, m_makeEngine(server.address));
        }
        const auto dataCentre
            = dataCentres.emplace(server.dataCentre, static_cast<std::uint32_t>(dataCentres.size())).first->second;
        channel->setDataCentre(dataCentre);
        if (channel->mayBelongTo(m_group->name, m_leader->allRanksAnswered(), clock_type::now()))
            otherRanks.push_back(channel);
    }
    m_leader->setPeers(std::move(otherRanks));
}

void rank_service::stop()
{
    m_stopped = true;
    m_permits->stop();
    m_datagrams->close();
}

} // namespace coltsfootbend
