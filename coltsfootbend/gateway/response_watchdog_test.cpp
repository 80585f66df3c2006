#include "coltsfootbend/gateway/response_watchdog.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

// A connection of which only its closing matters.
class closable_stream final : public byte_stream {
public:
    io_result<std::size_t> readSome(boost::asio::mutable_buffer) override { return 0; }
    io_result<std::size_t> writeSome(boost::asio::const_buffer) override { return 0; }
    void setDeadline(time_point) override { }
    bool waitForClose() override { return false; }
    void cancelWait() override { }
    void close() override { isClosed = true; }
    bool isOpenAndQuiet() override { return !isClosed; }

    bool isClosed = false;
};

// A server that has been silent since `m_now`; its group moves or stands.
class response_watchdog_test : public testing::Test {
protected:
    void check(duration after, bool isMoving)
    {
        m_guard.check([isMoving](const backend_instance&) { return isMoving; }, m_now + after);
    }

    time_point m_now = time_point {} + 1h;
    std::shared_ptr<closable_stream> m_stream = std::make_shared<closable_stream>();
    response_watchdog m_guard;
    watched_response m_wait { m_guard, {}, std::make_shared<backend_connection>(m_stream) };
};

TEST_F(response_watchdog_test, ASilentServerOfAMovingGroupIsGivenUp)
{
    m_wait.giveUpAt(m_now + 900ms, m_now + 1900ms);
    check(800ms, true);
    EXPECT_FALSE(m_stream->isClosed);
    check(900ms, true);
    EXPECT_TRUE(m_stream->isClosed);
    EXPECT_TRUE(m_wait.isGivenUp());
}

// What runs there goes on with the group: the server is waited for, but no longer than its caller waits.
TEST_F(response_watchdog_test, ASilentServerOfAStandingGroupIsWaitedForWhileItsCallerIsThere)
{
    m_wait.giveUpAt(m_now + 900ms, m_now + 1900ms);
    check(1800ms, false);
    EXPECT_FALSE(m_stream->isClosed);
    check(1900ms, false);
    EXPECT_TRUE(m_stream->isClosed);
}

TEST_F(response_watchdog_test, AnAnswerThatHasBegunIsNotGivenUp)
{
    m_wait.giveUpAt(m_now + 900ms, m_now + 1900ms);
    m_wait.waitOn();
    check(1h, true);
    EXPECT_FALSE(m_wait.isGivenUp());
}

} // namespace
} // namespace coltsfootbend
