#include "coltsfootbend/gateway/response_watchdog.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

// A stream that only records whether it was closed.
class closable_stream final : public byte_stream {
public:
    io_result<std::size_t> readSome(boost::asio::mutable_buffer) override { return 0; }
    io_result<std::size_t> writeSome(boost::asio::const_buffer) override { return 0; }
    void setDeadline(time_point) override { }
    bool waitForClose() override { return false; }
    void cancelWait() override { }
    void close() override { isClosed = true; }
    bool isOpenAndIdle() override { return !isClosed; }

    bool isClosed = false;
};

// Waits for a server that sends nothing from `m_now` on, while its group advances or is stalled.
class response_watchdog_test : public testing::Test {
protected:
    void check(duration after, bool isAdvancing)
    {
        m_watchdog.check([isAdvancing](const backend_instance&) { return isAdvancing; }, m_now + after);
    }

    time_point m_now = time_point {} + 1h;
    std::shared_ptr<closable_stream> m_stream = std::make_shared<closable_stream>();
    response_watchdog m_watchdog;
    watched_response m_response { m_watchdog, {}, std::make_shared<backend_connection>(m_stream) };
};

TEST_F(response_watchdog_test, ClosesUnresponsiveServerOfAdvancingGroup)
{
    m_response.setDeadlines(m_now + 900ms, m_now + 1900ms);
    check(800ms, true);
    EXPECT_FALSE(m_stream->isClosed);
    check(900ms, true);
    EXPECT_TRUE(m_stream->isClosed);
    EXPECT_TRUE(m_response.hasExpired());
}

// A request at a stalled group continues when the group does, so it is waited for, but no longer than its caller waits.
TEST_F(response_watchdog_test, WaitsForServerOfStalledGroupUntilFinalDeadline)
{
    m_response.setDeadlines(m_now + 900ms, m_now + 1900ms);
    check(1800ms, false);
    EXPECT_FALSE(m_stream->isClosed);
    check(1900ms, false);
    EXPECT_TRUE(m_stream->isClosed);
}

TEST_F(response_watchdog_test, DoesNotExpireAfterDeadlinesAreCleared)
{
    m_response.setDeadlines(m_now + 900ms, m_now + 1900ms);
    m_response.clearDeadlines();
    check(1h, true);
    EXPECT_FALSE(m_response.hasExpired());
}

} // namespace
} // namespace coltsfootbend
