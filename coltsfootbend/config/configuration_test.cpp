#include "coltsfootbend/config/configuration.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace coltsfootbend {
namespace {

std::string problemOf(const std::string& document)
{
    const auto read = parseConfiguration(config_version(1), document);
    return read ? "" : read.error().message;
}

TEST(Configuration, NamesThePathOfWhatIsWrong)
{
    EXPECT_NE(problemOf(R"({"customers":{"a":{}}})").find("/customers/a/key_sha256 is missing"), std::string::npos);
    EXPECT_NE(problemOf(R"({"customers":{"a":{"key_sha256":"xyz"}}})").find("64 lower-case"), std::string::npos);
    EXPECT_NE(problemOf(R"({"deploymints":{}})").find("/deploymints is not known"), std::string::npos);
    EXPECT_NE(
        problemOf(R"({"workers":{"w":{"address":"host:1","data_centre":"d"}}})").find("IP number"), std::string::npos);
    EXPECT_NE(problemOf(R"({"holders":["w"]})").find("not in /workers"), std::string::npos);
    EXPECT_NE(problemOf("[]").find("no JSON object"), std::string::npos);
    EXPECT_NE(problemOf(R"({"events":{"e":{"deployment":"d","start_unix":5,"end_unix":5}}})").find("after start_unix"),
        std::string::npos);
    EXPECT_EQ(problemOf("{}"), "");
}

RC_GTEST_PROP(Configuration, AnyBytesAreReadOrRefused, (const std::string& bytes))
{
    (void)parseConfiguration(config_version(1), bytes);
    (void)applyMergePatch("{}", bytes);
}

TEST(Configuration, TheDifferenceTakesADocumentBack)
{
    const std::string before = R"({"a":{"b":1,"c":2},"d":[1,2]})";
    const auto after = applyMergePatch(before, R"({"a":{"b":null,"e":{"f":1}},"d":[3]})");
    ASSERT_TRUE(after);
    const auto undone = applyMergePatch(*after, differenceBetween(*after, before));
    EXPECT_EQ(*undone, before);
}

TEST(Configuration, HashesKeysAsSha256)
{
    EXPECT_EQ(sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    EXPECT_TRUE(equalHashes(sha256Hex("abc"), sha256Hex("abc")));
    EXPECT_FALSE(equalHashes(sha256Hex("abc"), sha256Hex("abd")));
}

} // namespace
} // namespace coltsfootbend
