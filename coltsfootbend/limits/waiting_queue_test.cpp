#include "coltsfootbend/limits/waiting_queue.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

TEST(WaitingQueue, OrdersByPriorityAndThenByArrival)
{
    waiting_queue queue;
    const auto usual = queue.join(5);
    const auto urgent = queue.join(1);
    const auto usualToo = queue.join(5);
    EXPECT_EQ(queue.ahead(urgent), 0U);
    EXPECT_EQ(queue.ahead(usual), 1U);
    EXPECT_EQ(queue.ahead(usualToo), 2U);
    EXPECT_EQ(queue.ahead(queue.nextPlace(1)), 1U);
    EXPECT_EQ(queue.ahead(queue.nextPlace(9)), 3U);
    queue.leave(urgent);
    EXPECT_EQ(queue.ahead(usual), 0U);
}

TEST(WaitingQueue, RequestsThatCannotUseTheFreeResourcesAreNotAhead)
{
    const queued_resource a("a");
    const queued_resource b("b");
    waiting_queue queue;
    (void)queue.join(5, { a });
    (void)queue.join(5, { a, b });
    const auto last = queue.join(5);
    EXPECT_EQ(queue.aheadFor(last, { a }), 0U);
    EXPECT_EQ(queue.aheadFor(last, { b }), 1U);
    EXPECT_EQ(queue.aheadFor(last, { a, b }), 1U);
    EXPECT_EQ(queue.aheadFor(last, {}), 0U);
    EXPECT_EQ(queue.aheadFor(queue.nextPlace(1), { b }), 0U);
}

} // namespace
} // namespace coltsfootbend
