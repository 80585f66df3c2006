#include "coltsfootbend/wire/codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace coltsfootbend {
namespace {

wire::message dispatchMessage()
{
    wire::dispatch dispatch;
    dispatch.attempt = { vm_id("e"), incarnation(3), 9 };
    dispatch.workerIncarnation = incarnation(4);
    dispatch.customer = customer_id("c");
    dispatch.weight = 1.5;
    dispatch.body = std::string("\0binary", 7);
    return {
        .sender = vm_id("e"), .senderIncarnation = incarnation(3), .version = config_version(12), .content = dispatch
    };
}

result<std::optional<wire::message>> decode(const std::string& bytes)
{
    wire::message_decoder decoder(1'000'000);
    decoder.feed(bytes);
    return decoder.next();
}

TEST(Codec, AMessageComesBackAsItWas)
{
    const auto back = decode(wire::encode(dispatchMessage()));
    ASSERT_TRUE(back && *back);
    EXPECT_EQ((*back)->version, config_version(12));
    const auto& dispatch = std::get<wire::dispatch>((*back)->content);
    EXPECT_EQ(dispatch.attempt, (attempt_id { vm_id("e"), incarnation(3), 9 }));
    EXPECT_EQ(dispatch.body, std::string("\0binary", 7));
    EXPECT_EQ(dispatch.weight, 1.5);
}

TEST(Codec, OptionalFieldsTravel)
{
    claim_request request;
    request.replaces = attempt_id { vm_id("x"), incarnation(1), 2 };
    request.ticketIncarnation = incarnation(8);
    const auto back = decode(
        wire::encode({ .sender = {}, .senderIncarnation = {}, .version = {}, .content = wire::claim { request } }));
    ASSERT_TRUE(back && *back);
    const auto& claim = std::get<wire::claim>((*back)->content).request;
    EXPECT_EQ(claim.replaces, request.replaces);
    EXPECT_EQ(claim.ticketIncarnation, request.ticketIncarnation);
}

// Decoding yields the same messages regardless of how the bytes are split.
RC_GTEST_PROP(Codec, MessagesSurviveBeingCutAnywhere, ())
{
    const auto bytes = wire::encode(dispatchMessage()) + wire::encode(dispatchMessage());
    wire::message_decoder decoder(1'000'000);
    std::size_t at = 0;
    int whole = 0;
    while (at < bytes.size()) {
        const auto size = std::min(bytes.size() - at, *rc::gen::inRange<std::size_t>(1, 40));
        decoder.feed(std::string_view(bytes).substr(at, size));
        at += size;
        for (auto next = decoder.next(); next && *next; next = decoder.next())
            ++whole;
    }
    RC_ASSERT(whole == 2);
}

RC_GTEST_PROP(Codec, AnyBytesAreReadOrRefused, (const std::string& bytes))
{
    (void)decode(bytes);
    (void)wire::decodeLedger(bytes);
}

RC_GTEST_PROP(Codec, ADamagedMessageIsReadOrRefused, ())
{
    auto bytes = wire::encode(dispatchMessage());
    const auto hits = *rc::gen::inRange(1, 4);
    for (int i = 0; i < hits; ++i)
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    (void)decode(bytes);
}

TEST(Codec, AnEnumerationBeyondItsLastMemberIsRefused)
{
    auto bytes = wire::encode({ .sender = {},
        .senderIncarnation = {},
        .version = {},
        .content = wire::revoke_reply { revoke_verdict::Forgotten } });
    ASSERT_TRUE(decode(bytes));
    bytes.back() = 99;
    EXPECT_FALSE(decode(bytes));
}

TEST(Codec, ALedgerComesBackAsItWas)
{
    const std::vector<claim_snapshot_row> rows { { .key = { customer_id("c"), request_key("k") },
        .holder = claim_holder { { vm_id("e"), incarnation(1), 2 }, { vm_id("w"), incarnation(3) } },
        .closedThrough = 4,
        .closed = true,
        .bodyHash = 5 } };
    const auto back = wire::decodeLedger(wire::encodeLedger(rows));
    ASSERT_TRUE(back);
    EXPECT_EQ(back->at(0).key, rows[0].key);
    EXPECT_EQ(back->at(0).holder->place, rows[0].holder->place);
    EXPECT_EQ(back->at(0).closedThrough, 4U);
    EXPECT_TRUE(back->at(0).closed);
}

// Guards against the allocation of what a header claims, 96 GiB here, before the content has been read.
TEST(Codec, ALedgerThatClaimsMoreRowsThanItHasBytesIsRefused)
{
    const std::string claimsAllRows("\xdd\xff\xff\xff\xff", 5);
    const auto rows = wire::decodeLedger(claimsAllRows);
    ASSERT_FALSE(rows);
    EXPECT_EQ(rows.error().kind, error_kind::BadInput);
    EXPECT_NE(rows.error().message.find("array size overflow"), std::string::npos) << rows.error().message;
}

wire::relayed_order relayedArm()
{
    wire::relayed_order relayed;
    relayed.order = wire::rank_arm {
        .scope = { .term = 9, .group = "g", .epoch = 2, .engineIncarnation = 0 }, .version = 7, .step = 100
    };
    relayed.own = { .number = 1, .host = "10.0.0.1", .engineIncarnation = 5, .dataCentre = 0, .reportsDemand = true };
    relayed.others = { { .number = 2, .host = "10.0.0.2", .engineIncarnation = 6, .dataCentre = 1 } };
    relayed.timeLeftMs = 300;
    return relayed;
}

TEST(Codec, ARelayedOrderComesBackAsItWas)
{
    const auto back
        = decode(wire::encode({ .sender = {}, .senderIncarnation = {}, .version = {}, .content = relayedArm() }));
    ASSERT_TRUE(back && *back);
    const auto& relayed = std::get<wire::relayed_order>((*back)->content);
    const auto& arm = std::get<wire::rank_arm>(relayed.order);
    EXPECT_EQ(arm.scope.group, "g");
    EXPECT_EQ(arm.version, 7U);
    EXPECT_EQ(arm.step, 100U);
    EXPECT_EQ(relayed.own.engineIncarnation, 5U);
    EXPECT_TRUE(relayed.own.reportsDemand);
    ASSERT_EQ(relayed.others.size(), 1U);
    EXPECT_EQ(relayed.others[0].host, "10.0.0.2");
    EXPECT_EQ(relayed.timeLeftMs, 300U);
}

// The limit on items applies to each array of a message, not to their sum.
TEST(Codec, AWholeMapOfTheLargestGroupIsOneMessage)
{
    constexpr std::size_t sets = 58;
    constexpr std::size_t ranks = 256;
    auto relayed = relayedArm();
    wire::rank_prepare prepare;
    prepare.map.assign(sets, { ranks, { 1, 20, 300, 40, 500, 60 } });
    relayed.order = prepare;
    wire::message_decoder decoder(std::size_t { 72 } * 1024 * 1024);
    decoder.feed(wire::encode({ .sender = {}, .senderIncarnation = {}, .version = {}, .content = relayed }));
    const auto back = decoder.next();
    ASSERT_TRUE(back && *back);
    EXPECT_EQ(std::get<wire::rank_prepare>(std::get<wire::relayed_order>((*back)->content).order).map, prepare.map);
}

// A relayed order with any one byte changed is either decoded as some order or rejected.
RC_GTEST_PROP(Codec, ADamagedRelayedOrderIsReadOrRefused, ())
{
    auto bytes = wire::encode({ .sender = {}, .senderIncarnation = {}, .version = {}, .content = relayedArm() });
    const auto damaged = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[damaged] = *rc::gen::arbitrary<char>();
    const auto back = decode(bytes);
    if (!back)
        RC_ASSERT(back.error().kind == error_kind::BadInput);
}

} // namespace
} // namespace coltsfootbend
