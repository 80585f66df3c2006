#include "coltsfootbend/base/log_event.h"

#include "coltsfootbend/base/event_limiter.h"

#include <array>
#include <fcntl.h>
#include <fstream>
#include <gtest/gtest.h>
#include <regex>
#include <sstream>
#include <unistd.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

TEST(LogEvent, AFullPipeDoesNotBlockAndLosesOnlyTheLine)
{
    std::array<int, 2> ends {};
    ASSERT_EQ(::pipe(ends.data()), 0);
    const std::string line(1000, 'x');
    int written = 0;
    while (writeLine(ends[1], line))
        ++written;
    EXPECT_GT(written, 0);
    EXPECT_FALSE(writeLine(ends[1], line));
    std::string drained(static_cast<std::size_t>(written) * line.size(), '\0');
    EXPECT_GT(::read(ends[0], drained.data(), drained.size()), 0);
    EXPECT_TRUE(writeLine(ends[1], line));
    ::close(ends[0]);
    ::close(ends[1]);
}

TEST(EventLimiter, AFloodOfOneKindIsBoundedAndCounted)
{
    event_limiter limiter({ .perSecond = 10, .burst = 5 });
    const time_point begin = time_point {} + 1h;
    int granted = 0;
    for (int i = 0; i < 100; ++i)
        granted += limiter.take(1, begin).has_value() ? 1 : 0;
    EXPECT_EQ(granted, 5);
    EXPECT_TRUE(limiter.take(2, begin)) << "another kind is not hidden";
    const auto next = limiter.take(1, begin + 100ms);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->droppedBefore, 95U);
}

// Every event in the code is documented in the operators' catalogue.
TEST(LogEvent, TheCatalogueNamesEveryEvent)
{
    const auto read = [](const std::string& path) {
        std::ifstream file(std::string(COLTSFOOTBEND_SOURCE_DIR) + path);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    };
    const auto code = read("/coltsfootbend/base/log_event.h");
    const auto catalogue = read("/docs/operators/EVENTS.md");
    const std::regex event(R"([A-Z]\w+ = (\d+),)");
    int events = 0;
    for (std::sregex_iterator at(code.begin(), code.end(), event); at != std::sregex_iterator(); ++at, ++events)
        EXPECT_NE(catalogue.find("| E" + (*at)[1].str() + " |"), std::string::npos) << (*at)[0].str();
    EXPECT_GT(events, 20);
}

} // namespace
} // namespace coltsfootbend
