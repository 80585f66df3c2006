#include "coltsfootbend/settings/settings.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace coltsfootbend {
namespace {

const std::string good = R"(vm = "e1"
data_centre = "ist-1"
platform = "127.0.0.1:7000"
[[entries]]
id = "e1"
data_centre = "ist-1"
address = "127.0.0.1:9000"
[entry]
callers = "127.0.0.1:8080"
operators = "127.0.0.1:8081"
)";

std::string complaints(const std::string& toml)
{
    const auto read = parseSettings(toml);
    std::string all;
    if (!read) {
        for (const auto& error : read.error())
            all += toString(error) + "\n";
    }
    return all;
}

TEST(Settings, AGoodFileIsRead)
{
    const auto read = parseSettings(good);
    ASSERT_TRUE(read) << complaints(good);
    EXPECT_EQ(read->vm, vm_id("e1"));
    EXPECT_EQ(read->entry->callers, (endpoint { "127.0.0.1", 8080 }));
    EXPECT_EQ(read->entries.size(), 1U);
}

TEST(Settings, EachComplaintNamesKeyLineAndRemedy)
{
    const auto misspelt = complaints(good + "max_requets = 5\n");
    EXPECT_NE(misspelt.find("line 11: 'entry.max_requets' is not a setting. Remove it"), std::string::npos) << misspelt;
    const auto host = complaints(good + "max_requests = 0\n");
    EXPECT_NE(host.find("line 11: 'entry.max_requests' must be a whole number from 1"), std::string::npos) << host;
    const auto none = complaints("vm = 5\n");
    EXPECT_NE(none.find("line 1: 'vm' must be a text"), std::string::npos) << none;
    EXPECT_NE(none.find("'data_centre' is missing"), std::string::npos) << "all complaints at once";
    EXPECT_NE(complaints("vm = \n").find("line 1"), std::string::npos);
}

TEST(Settings, HostNamesAreNotAddresses)
{
    EXPECT_FALSE(parseEndpoint("localhost:80"));
    EXPECT_FALSE(parseEndpoint("127.0.0.1"));
    EXPECT_FALSE(parseEndpoint("127.0.0.1:99999"));
    EXPECT_EQ(parseEndpoint("[::1]:80")->ip, "::1");
    EXPECT_EQ(toString(*parseEndpoint("[::1]:80")), "[::1]:80");
}

// Guards against an assertion of the TOML library, which would end the process.
TEST(Settings, BracketsWithoutANameAreRefused)
{
    for (const auto* text : { "[[[", "[[[[a]]]]\n", "a = 1\n[[[\n", "[[[x]\n", "[[ [a]]\n", "[]\n", "[[]]\n", "[" })
        EXPECT_NE(complaints(text).find("Correct the TOML"), std::string::npos) << text;
}

// Guards against an assertion of the TOML library on a file that is cut anywhere, or changed at any byte.
TEST(Settings, EachPrefixAndEachChangedByteIsReadOrRefused)
{
    for (std::size_t length = 0; length < good.size(); ++length)
        (void)parseSettings(good.substr(0, length));
    for (std::size_t position = 0; position < good.size(); ++position) {
        for (const char byte : { '[', ']', '{', '"', '\'', '=', '.', '\n', '\0', '\xff', '-', '_', '0' }) {
            auto changed = good;
            changed[position] = byte;
            (void)parseSettings(changed);
            changed.insert(position, 2, byte);
            (void)parseSettings(changed);
        }
    }
}

RC_GTEST_PROP(Settings, AnyBytesAreReadOrRefused, (const std::string& bytes))
{
    (void)parseSettings(bytes);
    (void)parseEndpoint(bytes);
}

constexpr const char* gatewayText = R"(
vm = "g-1"
data_centre = "ist-a"
peers = "127.0.0.1:7340"
deployment_store = "127.0.0.1:7000"
peer_hints = ["127.0.0.2:8229"]
drain_limit_s = 8
[gateway]
callers = "127.0.0.1:8227"
health = "127.0.0.1:8220"
retry_ratio = 0.2
retry_window_s = 10
retry_extra = 94
)";

TEST(Settings, AGatewayNeedsItsStoreAndItsPeerAddress)
{
    const auto good = parseSettings(gatewayText);
    ASSERT_TRUE(good) << toString(good.error().front());
    EXPECT_EQ(good->gateway->retries.extra, 94);
    EXPECT_EQ(good->drainLimit, std::chrono::seconds(8));
    EXPECT_EQ(good->peerHints.size(), 1U);
    const auto bad = parseSettings("vm = \"g\"\ndata_centre = \"d\"\n[rank_agent]\nengine = \"127.0.0.1:1\"\n");
    ASSERT_FALSE(bad);
    EXPECT_EQ(bad.error().size(), 2U);
}

// Guards against starts that end because of a setting that could be left out.
TEST(Settings, AStartReplacesOptionalSettingsThatCannotBeUsedAndNamesThem)
{
    const auto read = parseStartSettings(
        std::string(gatewayText) + "guaranteed_part = 2\n[limits]\nmemory_mb = 260\nswap_mb = 1\n");
    ASSERT_TRUE(read);
    EXPECT_EQ(read->settings.gateway->guaranteedPart, 0.6);
    EXPECT_EQ(read->settings.limits.memoryBytes, std::size_t { 260 } * 1024 * 1024);
    ASSERT_EQ(read->replaced.size(), 2U);
    EXPECT_NE(read->replaced[0].message.find("'gateway.guaranteed_part'"), std::string::npos);
    EXPECT_NE(read->replaced[1].message.find("'limits.swap_mb'"), std::string::npos);
    EXPECT_FALSE(parseSettings(std::string(gatewayText) + "guaranteed_part = 2\n")) << "an operator's check names it";
}

// A template cannot tell whether the platform has a value, and writes each one as a text.
TEST(Settings, NumbersMayBeTextsAndEmptyOnesAreLeftOut)
{
    const auto read = parseSettings(std::string(gatewayText) + "guaranteed_part = \"0.5\"\nbuffer_bytes = \"2000000\"\n"
        + "max_connections = \"\"\n[limits]\nmemory_mb = \"\"\n");
    ASSERT_TRUE(read) << toString(read.error().front());
    EXPECT_EQ(read->gateway->guaranteedPart, 0.5);
    EXPECT_EQ(read->gateway->bufferBytes, 2'000'000U);
    EXPECT_EQ(read->gateway->maxConnections, gateway_settings {}.maxConnections);
    EXPECT_FALSE(read->limits.memoryBytes);
    for (const auto* odd : { "0.5x", " 0.5", "nan", "1e999", "-1", "2" })
        EXPECT_FALSE(parseSettings(std::string(gatewayText) + "guaranteed_part = \"" + odd + "\"\n")) << odd;
}

// Guards against a start that ends in a process which does not know its address or does not verify its peers.
TEST(Settings, AStartNeedsWhatItsProcessCannotDoWithout)
{
    EXPECT_FALSE(parseStartSettings("data_centre = \"z\"\n" + std::string(gatewayText).substr(16)));
    EXPECT_FALSE(parseStartSettings(std::string(gatewayText) + "callers2 = 1\n[rank_agent]\n"));
    const std::string tls = "[peer_tls]\ncertificate = \"c\"\nkey = \"k\"\n";
    ASSERT_TRUE(parseStartSettings(std::string(gatewayText) + tls));
    EXPECT_FALSE(parseStartSettings(std::string(gatewayText) + tls + "autority = \"a\"\n"));
    EXPECT_FALSE(parseStartSettings(std::string(gatewayText) + tls + "authority = 5\n"));
}

TEST(Settings, ReloadTakesLimitsAndNamesWhatNeedsARestart)
{
    auto current = *parseSettings(gatewayText);
    auto next = current;
    next.gateway->retries.extra = 50;
    next.drainLimit = std::chrono::seconds(4);
    EXPECT_EQ(takeReloadable(current, next), "");
    EXPECT_EQ(current.gateway->retries.extra, 50);
    EXPECT_EQ(current.drainLimit, std::chrono::seconds(4));
    next.gateway->callers.port = 1;
    next.vm = vm_id("other");
    EXPECT_EQ(takeReloadable(current, next), "vm,gateway.callers");
    EXPECT_EQ(current.vm, vm_id("g-1"));
}

} // namespace
} // namespace coltsfootbend
