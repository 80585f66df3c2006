// How a gateway chooses among servers of which some name a limit or rest, and whom it holds or refuses when all do.

#include "coltsfootbend/gateway/backend_picker.h"
#include "coltsfootbend/gateway/waiting_policy.h"

#include <gtest/gtest.h>
#include <set>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

const deployment_id service("s");

backend_id idOf(int number) { return backend_id("b" + std::to_string(number)); }
backend_instance lifeOf(int number) { return { idOf(number), {} }; }

class asking_servers_test : public testing::Test {
protected:
    asking_servers_test()
    {
        catalogue::contents contents;
        contents.deployments = { { service, "", 0, std::nullopt } };
        const catalogue known(std::move(contents));
        std::map<backend_id, backend_server> servers;
        for (int i = 1; i <= 2; ++i)
            servers[idOf(i)] = { idOf(i), service, { "10.0.0." + std::to_string(i), 80 }, {}, 4, false, {} };
        m_picker.setServers(servers, known);
        m_picker.onPermitRequest([this](const backend_server& server, std::uint64_t serial) {
            m_wishes.insert(server.id);
            m_lastWish = serial;
        });
    }

    void limit(int number, double perSecond)
    {
        (void)m_picker.notices().hearAnswer(lifeOf(number), { .requestsPerSecond = perSecond }, m_now, m_now);
    }

    void rest(int number, duration length)
    {
        (void)m_picker.notices().hearAnswer(lifeOf(number), { .rest = length }, m_now, m_now);
    }

    pick_request request(std::uint32_t priority = 5) const
    {
        return { .deployment = service, .latencyTarget = 400ms, .deadline = m_now + 8s, .priority = priority };
    }

    backend_picker m_picker { {}, 1 };
    time_point m_now = time_point {} + 1h;
    std::set<backend_id> m_wishes;
    std::uint64_t m_lastWish = 0;
};

TEST_F(asking_servers_test, AServerThatNamesALimitGetsNothingWithoutAPermit)
{
    limit(1, 1);
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(m_picker.pick(request(), m_now)->server.id, idOf(2));
    EXPECT_EQ(m_wishes, (std::set { idOf(1) })) << "a permit is asked for, once";
    m_picker.notices().grant(idOf(1), m_lastWish, m_now);
    EXPECT_TRUE(m_picker.notices().take(lifeOf(1), m_now));
    EXPECT_FALSE(m_picker.notices().take(lifeOf(1), m_now)) << "one permit is for one request";
}

TEST_F(asking_servers_test, ASuspectedServerIsAskedRatherThanNobodyWhereAllOthersAreLimited)
{
    limit(1, 1);
    m_picker.onRequestFinished(lifeOf(2), backend_outcome::Broken, {}, m_now);
    const auto picked = m_picker.pick(request(), m_now);
    ASSERT_TRUE(picked);
    EXPECT_EQ(picked->server.id, idOf(2));
}

TEST_F(asking_servers_test, APermitThatComesLateOrIsNotUsedIsLost)
{
    limit(1, 1);
    (void)m_picker.pick(request(), m_now);
    m_picker.notices().grant(idOf(1), m_lastWish, m_now + 2s);
    EXPECT_FALSE(m_picker.notices().mayTake(lifeOf(1), m_now + 2s)) << "the wish was given up";
    (void)m_picker.pick(request(), m_now + 3s);
    m_picker.notices().grant(idOf(1), m_lastWish, m_now + 3s);
    EXPECT_TRUE(m_picker.notices().mayTake(lifeOf(1), m_now + 3s));
    EXPECT_FALSE(m_picker.notices().mayTake(lifeOf(1), m_now + 4s));
}

TEST_F(asking_servers_test, WhereAllAreLimitedTheMoreUrgentGoFirst)
{
    limit(1, 1);
    limit(2, 1);
    auto usual = request(5);
    EXPECT_EQ(m_picker.pick(usual, m_now).error().reason, refusal_reason::Limited);
    usual.place = m_picker.queueOf(service).join(5);
    auto urgent = request(1);
    urgent.place = m_picker.queueOf(service).join(1);
    (void)m_picker.pick(usual, m_now);
    (void)m_picker.pick(usual, m_now);
    m_picker.notices().grant(idOf(1), 1, m_now);
    m_picker.notices().grant(idOf(2), 1, m_now);
    EXPECT_FALSE(m_picker.pick(usual, m_now)) << "one permit, and somebody goes before";
    EXPECT_TRUE(m_picker.pick(urgent, m_now));
    m_picker.queueOf(service).leave(*urgent.place);
    EXPECT_TRUE(m_picker.pick(usual, m_now));
}

TEST_F(asking_servers_test, WhoeverCannotBeServedInTimeIsRefusedAtOnceAndAllComeBackOneAfterTheOther)
{
    limit(1, 1);
    limit(2, 1);
    (void)m_picker.pick(request(), m_now);
    m_picker.notices().expectPermit(idOf(1), m_lastWish, m_now + 900ms, 1);
    (void)m_picker.pick(request(), m_now);
    m_picker.notices().expectPermit(idOf(2), m_lastWish, m_now + 900ms, 1);
    const auto refused = m_picker.pick(request(), m_now);
    ASSERT_FALSE(refused);
    EXPECT_GE(refused.error().expectedWait, 900ms);
    const held_request held { .arrivedAt = m_now, .deadline = m_now + 8s, .latencyTarget = 400ms };
    EXPECT_FALSE(holdUntil(refused.error(), held, m_now));
    auto returning = held;
    returning.isReturning = true;
    EXPECT_TRUE(holdUntil(refused.error(), returning, m_now)) << "it is late already, and waits for longer";
    auto last = duration::zero();
    for (int i = 0; i < 3; ++i) {
        const auto after = m_picker.scheduleRetry(request(), refused.error(), m_now);
        EXPECT_GE(after, last + (i > 0 ? 490ms : 0ms)) << "the servers take two a second";
        last = after;
    }
}

TEST_F(asking_servers_test, AWaitForAPermitThatWasBegunGoesOnAsLongAsItCanEndInTime)
{
    const refused_pick refused { .reason = refusal_reason::Limited, .retryAfter = 1s, .expectedWait = 600ms };
    held_request held { .arrivedAt = m_now, .deadline = m_now + 8s, .latencyTarget = 400ms };
    EXPECT_FALSE(holdUntil(refused, held, m_now));
    held.isHeld = true;
    EXPECT_EQ(holdUntil(refused, held, m_now + 100ms), m_now + 400ms);
    EXPECT_FALSE(holdUntil(refused, held, m_now + 400ms));
}

TEST_F(asking_servers_test, ARestingServerIsPassedOverAlsoWhereAllOthersAreSuspected)
{
    rest(1, 3s);
    m_picker.onRequestFinished(lifeOf(2), backend_outcome::Broken, {}, m_now);
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(m_picker.pick(request(), m_now)->server.id, idOf(2));
    EXPECT_TRUE(m_wishes.empty());
    rest(2, 1s);
    EXPECT_EQ(m_picker.pick(request(), m_now + 1100ms)->server.id, idOf(2)) << "the shorter rest is over";
    EXPECT_FALSE(m_picker.notices().isClosed(lifeOf(1), m_now + 3s));
}

TEST_F(asking_servers_test, WhereAllRestTheReturnsLieBeyondTheFirstRestAndApart)
{
    rest(1, 3s);
    rest(2, 2s);
    std::set<duration> returns;
    for (int i = 0; i < 50; ++i) {
        const auto refused = m_picker.pick(request(), m_now);
        ASSERT_FALSE(refused);
        EXPECT_EQ(refused.error().reason, refusal_reason::BackingOff);
        EXPECT_EQ(refused.error().expectedOpenAt, m_now + 2s);
        EXPECT_GE(refused.error().retryAfter, 2s);
        returns.insert(refused.error().retryAfter);
    }
    EXPECT_GT(*returns.rbegin() - *returns.begin(), 500ms);
}

TEST_F(asking_servers_test, WhoeverCanStillBeServedInTimeWaitsForTheEndOfARest)
{
    const held_request held { .arrivedAt = m_now, .deadline = m_now + 8s, .latencyTarget = 400ms };
    refused_pick refused {
        .reason = refusal_reason::BackingOff, .startLatency = 100ms, .expectedOpenAt = m_now + 200ms
    };
    EXPECT_EQ(holdUntil(refused, held, m_now), m_now + 300ms);
    refused.expectedOpenAt = m_now + 310ms;
    EXPECT_FALSE(holdUntil(refused, held, m_now)) << "it would be late for certain";
}

} // namespace
} // namespace coltsfootbend
