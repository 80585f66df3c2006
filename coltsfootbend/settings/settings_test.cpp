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

RC_GTEST_PROP(Settings, AnyBytesAreReadOrRefused, (const std::string& bytes))
{
    (void)parseSettings(bytes);
    (void)parseEndpoint(bytes);
}

} // namespace
} // namespace coltsfootbend
