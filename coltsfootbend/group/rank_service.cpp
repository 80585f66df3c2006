#include "coltsfootbend/group/rank_service.h"

#include "coltsfootbend/base/log_event.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>

namespace coltsfootbend {

namespace {

// Gateways believe reports for longer than this, so a lost datagram or two do no harm.
constexpr std::chrono::milliseconds newsEvery { 100 };
constexpr std::chrono::milliseconds reportLimit { 300 };
constexpr std::chrono::seconds subscriptionLength { 3 };
constexpr std::chrono::milliseconds orderSlack { 100 };
constexpr std::chrono::milliseconds prepareAnswerLimit { 2500 };
constexpr std::chrono::milliseconds armAnswerLimit { 800 };
constexpr std::chrono::milliseconds queryAnswerLimit { 250 };

// A leader speaks several times a second. The ranks wait for each other in turn, so that one of them takes over.
constexpr std::chrono::milliseconds leaderSilence { 1200 };
constexpr std::chrono::milliseconds silencePerRank { 250 };
// An agent that has just started hears a leader within a round, if there is one.
constexpr std::chrono::milliseconds silenceAfterStart { 500 };
// With a switch ordered the group may stand still until somebody finishes it.
constexpr std::chrono::milliseconds armedSilence { 400 };
constexpr std::chrono::milliseconds armedSilencePerRank { 60 };
// A change is under way, for which the group may be held already.
constexpr std::chrono::milliseconds preparedSilence { 600 };
constexpr rank_number ranksInTurn = 32;
// What one change may take to copy experts: about two passes under a bad map. Without a limit it took 0.22 to 0.30 s at
// 63 ranks, in which streams under way pause for longer than callers accept.
constexpr std::chrono::milliseconds mostCopyTime { 110 };
constexpr std::chrono::milliseconds followCycle { 50 };
// An agent that did not answer is left alone for this long, and its engine is asked from here.
constexpr std::chrono::milliseconds agentPause { 1000 };
// A rank of another group is asked this often whether it has joined this one, while ranks are missing here: without it
// a rank that had told of another group once was never asked again, and its new group made no change any more. Well
// below the seconds for which a group that lacks a rank stands anyway.
constexpr std::chrono::milliseconds otherGroupPause { 500 };

} // namespace

// Reaches a rank through its agent, to which everything is free, or its engine itself while the agent is silent.
class agent_channel final : public rank_channel {
public:
    agent_channel(fiber_runtime& runtime, peer_client& peers, endpoint agent, std::unique_ptr<rank_engine> engine)
        : m_peers(peers)
        , m_agent(std::move(agent))
        , m_engine(std::move(engine))
        , m_direct(runtime, *m_engine)
    {
    }

    result<wire::rank_state> ask(const wire::body& asked, time_point deadline) override
    {
        if (clock_type::now() < m_agentSilentUntil)
            return askEngine(asked, deadline);
        const auto reply = m_peers.ask(m_agent, asked, deadline);
        if (!reply) {
            m_agentSilentUntil = clock_type::now() + agentPause;
            m_peers.drop(m_agent);
            return tl::unexpected(reply.error());
        }
        if (const auto* state = std::get_if<wire::rank_state>(&reply->content)) {
            m_group = state->group;
            m_hasNoGroup = false;
            m_groupToldAt = clock_type::now();
            return *state;
        }
        const auto* told = std::get_if<wire::problem>(&reply->content);
        m_hasNoGroup = told && told->kind == static_cast<std::uint32_t>(error_kind::NotFound);
        if (m_hasNoGroup)
            m_groupToldAt = clock_type::now();
        return fail(error_kind::Unavailable, told ? told->message : "the agent gave no state", "Look at its log");
    }

    result<void> hold(group_epoch epoch, pass_number step, time_point deadline) override
    {
        return m_engine->hold(epoch, step, deadline);
    }

    // False while the rank is known to belong to another group, or to none. Where ranks of `group` are missing it may
    // have joined since, and is asked again after a while.
    bool mayBelongTo(const std::string& group, bool isComplete, time_point now) const
    {
        const bool isAskedAgain = !isComplete && now >= m_groupToldAt + otherGroupPause;
        const bool mayBeOfGroup = !m_hasNoGroup && (m_group.empty() || m_group == group);
        return mayBeOfGroup || isAskedAgain;
    }

private:
    result<wire::rank_state> askEngine(const wire::body& asked, time_point deadline)
    {
        if (const auto* query = std::get_if<wire::rank_query>(&asked)) {
            // Counts read from afar slow the group down; the other ranks' counts are enough.
            auto reduced = *query;
            reduced.demandSources = 0;
            return m_direct.answer(reduced, deadline);
        }
        return m_direct.answer(asked, deadline);
    }

    peer_client& m_peers;
    const endpoint m_agent;
    const std::unique_ptr<rank_engine> m_engine;
    map_participant m_direct;
    time_point m_agentSilentUntil {};
    std::string m_group;
    time_point m_groupToldAt {};
    bool m_hasNoGroup = false;
};

rank_service::rank_service(fiber_runtime& runtime, const daemon_settings& settings, engine_source engineAt)
    : m_runtime(runtime)
    , m_settings(settings)
    , m_engineAt(std::move(engineAt))
    , m_engine(m_engineAt(settings.rankAgent->engine))
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
    answerPeers();
    auto news = datagram_socket::open(m_runtime, m_settings.peers);
    if (!news)
        return tl::unexpected(news.error());
    m_news = std::move(*news);
    m_runtime.spawn([this] { newsLoop(); });
    m_runtime.spawn([this] { receiveLoop(); });
    m_runtime.spawn([this] { leadLoop(); });
    return {};
}

void rank_service::answerPeers()
{
    const auto answer = [this](peer_stream& stream, const wire::body& asked, duration limit) {
        const auto state = m_participant.answer(asked, clock_type::now() + limit);
        if (state)
            (void)stream.send(*state, true);
        else
            (void)stream.send(toProblem(state.error()), true);
    };
    m_peers->on<wire::rank_query>([answer](peer_stream& stream, const wire::message& message, const wire::rank_query&) {
        answer(stream, message.content, queryAnswerLimit);
    });
    m_peers->on<wire::rank_prepare>(
        [answer](peer_stream& stream, const wire::message& message, const wire::rank_prepare&) {
            answer(stream, message.content, prepareAnswerLimit - orderSlack);
        });
    m_peers->on<wire::rank_arm>([answer](peer_stream& stream, const wire::message& message, const wire::rank_arm&) {
        answer(stream, message.content, armAnswerLimit - orderSlack);
    });
    m_peers->on<wire::rank_disarm>(
        [answer](peer_stream& stream, const wire::message& message, const wire::rank_disarm&) {
            answer(stream, message.content, armAnswerLimit - orderSlack);
        });
    m_peers->on<wire::rank_release>(
        [answer](peer_stream& stream, const wire::message& message, const wire::rank_release&) {
            answer(stream, message.content, armAnswerLimit - orderSlack);
        });
}

void rank_service::receiveLoop()
{
    while (auto got = m_news->receive()) {
        wire::message_decoder decoder(got->bytes.size() + 1);
        decoder.feed(got->bytes);
        const auto message = decoder.next();
        const auto* subscription
            = message && *message ? std::get_if<wire::load_subscribe>(&(*message)->content) : nullptr;
        if (!subscription) {
            m_metrics->count("datagrams_unreadable_total");
            continue;
        }
        const auto now = clock_type::now();
        m_subscribers.hear(got->sender, subscription->knows, now + subscriptionLength, now);
        m_watch->hearGateway(got->sender, subscription->knows);
    }
}

void rank_service::newsLoop()
{
    while (!m_stopped) {
        m_runtime.sleepFor(newsEvery);
        const auto now = clock_type::now();
        m_subscribers.expire(now);
        const auto report = m_engine->report(now + reportLimit);
        if (!report) {
            m_metrics->count("engine_reports_failed_total");
            continue;
        }
        m_group = report->group;
        m_participant.observe(*report);
        tellLoad(*report);
    }
}

void rank_service::tellLoad(const rank_report& report)
{
    wire::load_news news;
    news.engine = toString(m_settings.rankAgent->engine);
    news.running = report.running;
    news.waiting = report.waiting;
    news.usedTokens = report.usedTokens;
    news.totalTokens = report.totalTokens;
    news.pace = report.pace;
    news.step = report.step;
    news.life = report.life.number();
    news.subscribers = static_cast<std::uint32_t>(m_subscribers.all().size());
    const auto now = clock_type::now();
    news.configuration = m_subscribers.configuration(now);
    news.servers = m_subscribers.servers(now);
    if (const auto* checker = m_subscribers.checker())
        news.checker = toString(*checker);
    if (report.group) {
        news.group = report.group->name;
        news.epoch = report.group->epoch;
        news.isOpen = report.group->isOpen;
        news.ranks = report.group->ranks;
    }
    const auto encoded
        = [&] { return wire::encode({ .sender = m_settings.vm, .senderLife = {}, .version = {}, .content = news }); };
    const auto bytes = encoded();
    for (const auto& [address, subscriber] : m_subscribers.all()) {
        const auto* informed = m_subscribers.findInformed(subscriber);
        if (informed) {
            news.newsAt = toString(*informed);
            m_news->send(address, encoded());
        } else {
            m_news->send(address, bytes);
        }
    }
}

void rank_service::leadLoop()
{
    while (!m_stopped)
        m_runtime.sleepFor(leadOrFollow());
}

duration rank_service::leadOrFollow()
{
    auto* lead = m_group ? leader() : nullptr;
    if (!lead)
        return followCycle;
    const auto now = clock_type::now();
    const auto rank = m_group->rank;
    if (m_participant.term() != 0 && leaderOf(m_participant.term()) == rank) {
        updateOthers();
        return lead->lead(m_participant.term());
    }
    if (m_participant.heardAt() == time_point {})
        m_participant.yield(0); // Silence counts from the start.
    if (now < m_participant.heardAt() + silenceLimit())
        return followCycle;
    const auto term = m_participant.claim(rank);
    logEvent(log_event::MapLeader,
        "group=" + m_group->name + " rank=" + std::to_string(rank) + " term=" + std::to_string(term));
    return duration::zero();
}

duration rank_service::silenceLimit() const
{
    const auto turn = std::min(m_group->rank, ranksInTurn);
    if (m_participant.isArmed())
        return armedSilence + turn * armedSilencePerRank;
    if (m_participant.isPrepared())
        return preparedSilence + turn * armedSilencePerRank;
    return (m_participant.term() == 0 ? silenceAfterStart : leaderSilence) + turn * silencePerRank;
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
    m_leader = std::make_unique<map_leader>(m_runtime, m_participant,
        map_leader::options { .planner = { .placesPerRank = engine->placesPerRank,
                                  .newPerChange = engine->newPerChange,
                                  .copiesPerRank = copiesPerRank(*engine),
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
    return std::max(1U, static_cast<std::uint32_t>(toMilliseconds(mostCopyTime) / copyMs));
}

// What one copy must bring in one set. More ranks share the gain of a faster pass, but each copy also makes the change
// longer for all of them: between the two, the root.
double rank_service::gainPerMove(const engine_model& engine) const
{
    const double ranks = std::max(1.0, static_cast<double>(m_group->ranks));
    return m_settings.rankAgent->gainPerGigabyte * engine.expertGigabytes * engine.expertSets / std::sqrt(ranks);
}

void rank_service::updateOthers()
{
    const auto own = m_settings.rankAgent->engine;
    const auto& servers = m_watch->directory().servers();
    const auto mine
        = std::find_if(servers.begin(), servers.end(), [&](const auto& entry) { return entry.second.address == own; });
    if (mine == servers.end())
        return;
    std::vector<std::shared_ptr<rank_channel>> others;
    for (const auto& [id, server] : servers) {
        if (server.deployment != mine->second.deployment || server.address == own)
            continue;
        auto& channel = m_channels[server.address];
        if (!channel) {
            channel = std::make_shared<agent_channel>(m_runtime, m_peers->client(),
                endpoint { server.address.ip, m_settings.peers.port }, m_engineAt(server.address));
        }
        if (channel->mayBelongTo(m_group->name, m_leader->isComplete(), clock_type::now()))
            others.push_back(channel);
    }
    m_leader->setOthers(std::move(others));
}

void rank_service::stop()
{
    m_stopped = true;
    m_news->close();
}

} // namespace coltsfootbend
