#include "coltsfootbend/gateway/event_stream.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace coltsfootbend {
namespace {

std::string event(std::uint64_t id) { return "id: " + std::to_string(id) + "\ndata: x" + std::to_string(id) + "\n\n"; }

TEST(EventStream, OnlyWholeEventsComeOut)
{
    event_splitter splitter({});
    EXPECT_EQ(splitter.feed(event(1) + "id: 2\nda"), event(1));
    EXPECT_TRUE(splitter.isInsideEvent());
    EXPECT_EQ(splitter.feed("ta: x2\n\n"), event(2));
    EXPECT_FALSE(splitter.isInsideEvent());
    EXPECT_EQ(splitter.lastId(), 2U);
}

TEST(EventStream, AResumedStreamGoesOnAfterTheLastWholeEvent)
{
    event_splitter splitter({});
    (void)splitter.feed(event(1) + event(2) + "id: 3\n");
    splitter.dropPending();
    EXPECT_EQ(splitter.lastId(), 2U);
    EXPECT_EQ(splitter.feed(event(2) + event(3)), event(3));
}

TEST(EventStream, EventsThatTheCallerHasAreLeftOut)
{
    event_splitter splitter(5);
    EXPECT_EQ(splitter.feed(event(4) + event(5) + event(6)), event(6));
}

TEST(EventStream, LinesMayEndWithCarriageReturns)
{
    event_splitter splitter({});
    const std::string text = "id: 1\r\ndata: x\r\n\r\n";
    EXPECT_EQ(splitter.feed(text), text);
    EXPECT_EQ(splitter.lastId(), 1U);
}

RC_GTEST_PROP(EventStream, HoweverBytesAreCutTheEventsAreTheSame, ())
{
    std::string text;
    const auto count = *rc::gen::inRange<std::uint64_t>(1, 12);
    for (std::uint64_t id = 1; id <= count; ++id)
        text += event(id);
    event_splitter splitter({});
    std::string whole;
    for (std::size_t at = 0; at < text.size();) {
        const auto size = *rc::gen::inRange<std::size_t>(1, 30);
        whole += splitter.feed(std::string_view(text).substr(at, size));
        at += size;
    }
    RC_ASSERT(whole == text);
    RC_ASSERT(splitter.events() == count);
}

RC_GTEST_PROP(EventStream, AnyBytesAreTaken, (const std::string& bytes))
{
    event_splitter splitter({});
    (void)splitter.feed(bytes);
    (void)splitter.feed("\n\n");
}

} // namespace
} // namespace coltsfootbend
