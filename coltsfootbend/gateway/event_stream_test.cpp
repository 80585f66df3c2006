#include "coltsfootbend/gateway/event_stream.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace coltsfootbend {
namespace {

std::string event(std::uint64_t id) { return "id: " + std::to_string(id) + "\ndata: x" + std::to_string(id) + "\n\n"; }

TEST(EventStream, ReturnsOnlyCompleteEvents)
{
    event_splitter splitter({});
    EXPECT_EQ(splitter.feed(event(1) + "id: 2\nda"), event(1));
    EXPECT_TRUE(splitter.hasPartialEvent());
    EXPECT_EQ(splitter.feed("ta: x2\n\n"), event(2));
    EXPECT_FALSE(splitter.hasPartialEvent());
    EXPECT_EQ(splitter.lastEventId(), 2U);
}

TEST(EventStream, ResumedStreamContinuesAfterLastCompleteEvent)
{
    event_splitter splitter({});
    (void)splitter.feed(event(1) + event(2) + "id: 3\n");
    splitter.dropPartialEvent();
    EXPECT_EQ(splitter.lastEventId(), 2U);
    EXPECT_EQ(splitter.feed(event(2) + event(3)), event(3));
}

TEST(EventStream, DropsEventsThatTheCallerAlreadyHas)
{
    event_splitter splitter(5);
    EXPECT_EQ(splitter.feed(event(4) + event(5) + event(6)), event(6));
}

TEST(EventStream, AcceptsLinesThatEndWithCarriageReturn)
{
    event_splitter splitter({});
    const std::string text = "id: 1\r\ndata: x\r\n\r\n";
    EXPECT_EQ(splitter.feed(text), text);
    EXPECT_EQ(splitter.lastEventId(), 1U);
}

RC_GTEST_PROP(EventStream, EventsDoNotDependOnChunkBoundaries, ())
{
    std::string text;
    const auto count = *rc::gen::inRange<std::uint64_t>(1, 12);
    for (std::uint64_t id = 1; id <= count; ++id)
        text += event(id);
    event_splitter splitter({});
    std::string complete;
    for (std::size_t at = 0; at < text.size();) {
        const auto size = *rc::gen::inRange<std::size_t>(1, 30);
        complete += splitter.feed(std::string_view(text).substr(at, size));
        at += size;
    }
    RC_ASSERT(complete == text);
    RC_ASSERT(splitter.eventCount() == count);
}

RC_GTEST_PROP(EventStream, AcceptsArbitraryBytes, (const std::string& bytes))
{
    event_splitter splitter({});
    (void)splitter.feed(bytes);
    (void)splitter.feed("\n\n");
}

} // namespace
} // namespace coltsfootbend
