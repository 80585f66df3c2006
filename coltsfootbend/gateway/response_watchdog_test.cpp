#include "coltsfootbend/gateway/response_watchdog.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

// Waits for a server that sends nothing from `m_now` on.
class response_watchdog_test : public testing::Test {
protected:
    void check(duration after, server_condition condition)
    {
        m_watchdog.check([condition](const backend_instance&) { return condition; }, m_now + after);
    }

    time_point m_now = time_point {} + 1h;
    response_watchdog m_watchdog;
    int m_overdueCount = 0;
    watched_response m_response { m_watchdog, {}, [this] { ++m_overdueCount; } };
    const overdue_times m_times { m_now + 900ms, m_now + 1500ms, m_now + 1900ms };
};

TEST_F(response_watchdog_test, AResponseIsOverdueSoonerWhereItsServerSendsOnOtherConnections)
{
    m_response.setOverdueTimes(m_times);
    check(800ms, server_condition::Sending);
    EXPECT_EQ(m_overdueCount, 0);
    check(900ms, server_condition::Silent);
    EXPECT_EQ(m_overdueCount, 0);
    check(900ms, server_condition::Sending);
    EXPECT_EQ(m_overdueCount, 1);
}

TEST_F(response_watchdog_test, AResponseOfASilentServerIsOverdueLater)
{
    m_response.setOverdueTimes(m_times);
    check(1400ms, server_condition::Silent);
    EXPECT_EQ(m_overdueCount, 0);
    check(1500ms, server_condition::Silent);
    EXPECT_EQ(m_overdueCount, 1);
}

// A request at a stalled group continues when the group does, so it is waited for as long as its caller waits.
TEST_F(response_watchdog_test, AResponseOfAStalledGroupIsOverdueLast)
{
    m_response.setOverdueTimes(m_times);
    check(1800ms, server_condition::GroupStalled);
    EXPECT_EQ(m_overdueCount, 0);
    check(1900ms, server_condition::GroupStalled);
    EXPECT_EQ(m_overdueCount, 1);
}

TEST_F(response_watchdog_test, AnOverdueResponseIsReportedAtEachCheck)
{
    m_response.setOverdueTimes(m_times);
    check(2s, server_condition::Silent);
    check(3s, server_condition::Silent);
    EXPECT_EQ(m_overdueCount, 2);
}

TEST_F(response_watchdog_test, AResponseWithoutTimesIsNeverOverdue)
{
    m_response.setOverdueTimes(m_times);
    m_response.setOverdueTimes({});
    check(1h, server_condition::Sending);
    EXPECT_EQ(m_overdueCount, 0);
}

} // namespace
} // namespace coltsfootbend
