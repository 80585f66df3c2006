#include "coltsfootbend/limits/waiting_line.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

TEST(WaitingLine, OrdersByPriorityAndThenByArrival)
{
    waiting_line line;
    const auto usual = line.join(5);
    const auto urgent = line.join(1);
    const auto usualToo = line.join(5);
    EXPECT_EQ(line.ahead(urgent), 0U);
    EXPECT_EQ(line.ahead(usual), 1U);
    EXPECT_EQ(line.ahead(usualToo), 2U);
    EXPECT_EQ(line.aheadOfNew(1), 1U);
    EXPECT_EQ(line.aheadOfNew(9), 3U);
    line.leave(urgent);
    EXPECT_EQ(line.ahead(usual), 0U);
}

} // namespace
} // namespace coltsfootbend
