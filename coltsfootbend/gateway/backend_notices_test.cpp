// Tests how one gateway applies the notices in the answers of backend servers.

#include "coltsfootbend/gateway/backend_notices.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

const backend_instance server { backend_id("b"), backend_incarnation(7) };
const time_point start { 100s };

TEST(BackendNotices, AnAnswerWithoutALimitEndsItOnlyIfItsRequestWasSentAfterTheLimitWasReceived)
{
    backend_notices notices;
    EXPECT_EQ(notices.receiveAnswer(server, { .requestsPerSecond = 1.5 }, start, start + 10ms),
        "limit_per_s=1.50 before=none");
    EXPECT_EQ(notices.receiveAnswer(server, { .endsLimit = true }, start + 5ms, start + 20ms), "") << "overtaken";
    EXPECT_EQ(notices.receiveAnswer(server, { .requestsPerSecond = 0.2 }, start + 15ms, start + 30ms),
        "limit_per_s=0.20 before=1.50");
    EXPECT_EQ(notices.receiveAnswer(server, {}, start + 31ms, start + 35ms), "") << "perhaps not the server's answer";
    EXPECT_EQ(notices.receiveAnswer(server, { .endsLimit = true }, start + 31ms, start + 40ms),
        "limit_per_s=none before=0.20");
}

TEST(BackendNotices, ALimitBelongsToOneIncarnationOfTheServer)
{
    backend_notices notices;
    (void)notices.receiveAnswer(server, { .requestsPerSecond = 1 }, start, start);
    const backend_instance next { server.id, backend_incarnation(8) };
    EXPECT_EQ(notices.receiveAnswer(next, { .requestsPerSecond = 2 }, start, start), "limit_per_s=2.00 before=none");
    EXPECT_EQ(notices.receiveAnswer(server, { .requestsPerSecond = 3 }, start, start), "") << "an earlier incarnation";
}

TEST(BackendNotices, AShorterBackoffDoesNotShortenALongerOne)
{
    backend_notices notices;
    EXPECT_EQ(notices.receiveAnswer(server, { .backoff = 3s }, start, start), "rest_s=3.00");
    EXPECT_EQ(notices.receiveAnswer(server, { .backoff = 1s }, start, start + 1s), "");
    EXPECT_EQ(notices.receiveAnswer(server, { .backoff = 4s }, start, start + 1s), "rest_s=4.00");
}

TEST(BackendNotices, AnIncarnationThatHasAnnouncedThatItLeavesNeverWithdrawsIt)
{
    backend_notices notices;
    EXPECT_EQ(notices.receiveAnswer(server, { .isLeaving = true }, start, start), "leaving=yes");
    EXPECT_EQ(notices.receiveAnswer(server, {}, start + 1s, start + 2s), "");
    EXPECT_FALSE(notices.canAcquire(server, start + 1h));
    EXPECT_FALSE(notices.tryAcquire(server, start + 1h));
    EXPECT_TRUE(notices.canAcquire({ server.id, backend_incarnation(8) }, start + 1h))
        << "another incarnation has announced nothing";
}

} // namespace
} // namespace coltsfootbend
