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
    EXPECT_EQ(queue.aheadOfNew(1), 1U);
    EXPECT_EQ(queue.aheadOfNew(9), 3U);
    queue.leave(urgent);
    EXPECT_EQ(queue.ahead(usual), 0U);
}

} // namespace
} // namespace coltsfootbend
