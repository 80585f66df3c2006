// Many gateways and one server that names a limit, in virtual time: messages are late or lost, gateways and the agent
// that issues permits are started anew, gateways stand still. What is checked is what the server sees.

#include "coltsfootbend/gateway/backend_notices.h"

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <random>
#include <rapidcheck/gtest.h>
#include <set>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

const backend_instance server { backend_id("b"), backend_life(7) };
const permit_subject subject("b");
const time_point start { 100s };

struct trial_options {
    int gateways = 8;
    double limit = 1;
    double requestsPerSecond = 5; // That each gateway would send here.
    double lossShare = 0.05;
    double restartsPerSecond = 0.1; // Of gateways.
    double agentRestartsPerSecond = 0.05;
    double freezesPerSecond = 0.1;
    unsigned seed = 1;
};

class limit_trial {
public:
    explicit limit_trial(const trial_options& options)
        : m_options(options)
        , m_gateways(static_cast<std::size_t>(options.gateways))
        , m_random(options.seed)
    {
    }

    void run(duration length)
    {
        for (; m_now < start + length; m_now += tick)
            step();
    }

    // The most within 4 s, from 3 s after the server first named its limit, of gateways that it had told.
    std::size_t mostFromTold() const
    {
        std::size_t most = 0;
        for (auto first = m_counted.begin(); first != m_counted.end(); ++first) {
            const auto end = std::lower_bound(first, m_counted.end(), *first + 4s);
            if (*first >= m_firstToldAt + 3s)
                most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }
    std::size_t arrivals() const { return m_arrivals; }

private:
    static constexpr std::chrono::milliseconds tick { 5 };

    struct gateway_state {
        std::unique_ptr<backend_notices> notices = std::make_unique<backend_notices>();
        std::optional<time_point> toldAt;
        time_point frozenUntil {};
        int life = 0;
    };
    struct late_event {
        time_point at;
        std::uint64_t order;
        std::function<void()> what;
        bool operator<(const late_event& other) const
        {
            return std::pair(at, order) < std::pair(other.at, other.order);
        }
    };

    bool happens(double perSecond) { return draw() < perSecond * toMilliseconds(tick) / 1000; }
    double draw() { return std::uniform_real_distribution<double>()(m_random); }
    duration drawDelay() { return fromMilliseconds(1 + 40 * draw() * draw()); }

    void later(duration after, std::function<void()> what)
    {
        m_events.insert({ m_now + after, ++m_order, std::move(what) });
    }
    // Datagrams may be lost.
    void message(std::function<void()> what)
    {
        if (draw() >= m_options.lossShare)
            later(drawDelay(), std::move(what));
    }
    // What reaches a gateway; one that stands still takes it when it goes on.
    void reach(std::size_t number, int life, const std::function<void(gateway_state&)>& what)
    {
        auto& gateway = m_gateways[number];
        if (gateway.life != life)
            return;
        if (m_now < gateway.frozenUntil) {
            later(gateway.frozenUntil - m_now, [this, number, life, what] { reach(number, life, what); });
            return;
        }
        what(gateway);
    }

    void step()
    {
        while (!m_events.empty() && m_events.begin()->at <= m_now) {
            const auto what = m_events.begin()->what;
            m_events.erase(m_events.begin());
            what();
        }
        if (happens(m_options.agentRestartsPerSecond))
            m_issuer = std::make_unique<permit_issuer>();
        strike();
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            if (m_now >= m_gateways[i].frozenUntil && happens(m_options.requestsPerSecond))
                request(i);
        }
        for (const auto& permit : m_issuer->issue(m_now))
            reply(std::stoul(permit.requester.text()), permit.serial, true);
        // Agents tell all gateways what servers have named.
        if ((m_now - start) % 100ms == duration::zero())
            tellAll();
    }

    void strike()
    {
        const auto drawn = std::uniform_int_distribution<std::size_t>(0, m_gateways.size() - 1)(m_random);
        auto& gateway = m_gateways[drawn];
        if (happens(m_options.restartsPerSecond))
            gateway = { .toldAt = {}, .frozenUntil = m_now + 1s, .life = gateway.life + 1 };
        if (happens(m_options.freezesPerSecond)) {
            gateway.frozenUntil = m_now + fromMilliseconds(4000 * draw());
            gateway.toldAt.reset(); // A freeze excuses the gateway.
        }
    }

    void tellAll()
    {
        for (const auto& [named, statement] : m_issuer->statements(m_now)) {
            for (std::size_t i = 0; i < m_gateways.size(); ++i) {
                message([this, i, life = m_gateways[i].life, statement = statement] {
                    reach(i, life, [this, statement](gateway_state& gateway) {
                        (void)gateway.notices->hearOthers(server.id, statement, m_now);
                    });
                });
            }
        }
    }

    void request(std::size_t number)
    {
        auto& gateway = m_gateways[number];
        if (const auto serial = gateway.notices->wish(server, m_now))
            wish(number, *serial, true);
        if (!gateway.notices->take(server, m_now))
            return; // It goes to another server.
        later(drawDelay(), [this, number, life = gateway.life, sentAt = m_now] { arrive(number, life, sentAt); });
    }

    void wish(std::size_t number, std::uint64_t serial, bool wants)
    {
        const auto limit = m_gateways[number].notices->limitOf(server);
        message([this, number, serial, wants, limit = *limit] {
            m_issuer->receiveStatement(subject, limit, m_now);
            if (!wants)
                return;
            m_issuer->requestPermit(subject, permit_requester(std::to_string(number)), serial, m_now);
            reply(number, serial, false);
        });
    }

    void reply(std::size_t number, std::uint64_t serial, bool isGranted)
    {
        const auto outlook = m_issuer->estimateWait(subject, permit_requester(std::to_string(number)), m_now);
        message([this, number, serial, isGranted, outlook, life = m_gateways[number].life] {
            reach(number, life, [this, serial, isGranted, outlook](gateway_state& gateway) {
                gateway.notices->expectPermit(server.id, serial, outlook.expectedAt, outlook.waitingGateways);
                if (isGranted)
                    gateway.notices->grant(server.id, serial, m_now);
            });
        });
    }

    void arrive(std::size_t number, int life, time_point sentAt)
    {
        ++m_arrivals;
        const auto& gateway = m_gateways[number];
        if (gateway.life == life && gateway.toldAt && m_now >= *gateway.toldAt + 500ms)
            m_counted.push_back(m_now);
        later(fromMilliseconds(20 + 300 * draw()), [this, number, life, sentAt] {
            reach(number, life, [this, number, sentAt](gateway_state& told) {
                if (m_firstToldAt == time_point::max())
                    m_firstToldAt = m_now;
                told.toldAt = told.toldAt.value_or(m_now);
                const auto news
                    = told.notices->hearAnswer(server, { .requestsPerSecond = m_options.limit }, sentAt, m_now);
                if (!news.empty())
                    wish(number, 0, false);
            });
        });
    }

    const trial_options m_options;
    std::vector<gateway_state> m_gateways;
    std::unique_ptr<permit_issuer> m_issuer = std::make_unique<permit_issuer>();
    std::minstd_rand m_random;
    std::set<late_event> m_events;
    std::uint64_t m_order = 0;
    time_point m_now = start;
    time_point m_firstToldAt = time_point::max();
    std::vector<time_point> m_counted;
    std::size_t m_arrivals = 0;
};

double allowed(double limit) { return 1.5 * limit * 4 + 5; }

RC_GTEST_PROP(LimitTrial, NoServerGetsMoreThanItNamedFromGatewaysThatItTold, ())
{
    const trial_options options { .gateways = *rc::gen::element(1, 3, 8, 46, 99),
        .limit = *rc::gen::element(0.0, 0.2, 1.0, 1.1, 3.0, 20.0),
        .requestsPerSecond = *rc::gen::element(0.3, 3.0, 12.0),
        .lossShare = *rc::gen::element(0.0, 0.05, 0.5),
        .agentRestartsPerSecond = *rc::gen::element(0.0, 0.05, 0.3),
        .seed = *rc::gen::inRange(1U, 1'000'000U) };
    limit_trial trial(options);
    trial.run(25s);
    RC_ASSERT(static_cast<double>(trial.mostFromTold()) <= allowed(options.limit));
}

TEST(LimitTrial, AServerGetsNearlyWhatItTakesAlsoFromManyGateways)
{
    for (const int gateways : { 1, 8, 99 }) {
        limit_trial trial({ .gateways = gateways,
            .limit = 2,
            .requestsPerSecond = 20,
            .restartsPerSecond = 0,
            .agentRestartsPerSecond = 0,
            .freezesPerSecond = 0 });
        trial.run(30s);
        EXPECT_GT(trial.arrivals(), 45U) << gateways << " gateways";
        EXPECT_LE(static_cast<double>(trial.mostFromTold()), allowed(2)) << gateways << " gateways";
    }
}

} // namespace
} // namespace coltsfootbend
