#include "coltsfootbend/request/ticket.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace coltsfootbend {
namespace {

RC_GTEST_PROP(Ticket, NamesItsHolder, (std::uint64_t life, std::uint64_t nonce))
{
    const run_place holder { vm_id("rack~7/vm-3"), incarnation(life | 1U) };
    RC_ASSERT(parseTicket(makeTicket(holder, nonce)) == holder);
}

RC_GTEST_PROP(Ticket, ParsesOrRefusesAnyText, (const std::string& text))
{
    (void)parseTicket(request_key(text));
    (void)parseTicket(request_key("ticket~" + text));
    RC_ASSERT(!parseTicket(request_key("key-" + text)));
}

TEST(Ticket, RefusesIncompleteTickets)
{
    for (const char* text : { "ticket~", "ticket~w", "ticket~w~1", "ticket~~1~2", "ticket~w~0~2", "ticket~w~xyz~2" })
        EXPECT_FALSE(parseTicket(request_key(text))) << text;
}

} // namespace
} // namespace coltsfootbend
