#include "coltsfootbend/entry/caller_request.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

const time_point start = time_point {} + 1h;

configuration testConfiguration()
{
    const auto hash = sha256Hex("secret");
    const auto read = parseConfiguration(
        config_version(1), R"({"customers":{"robots":{"key_sha256":")" + hash + R"(","priority":1,"weight":3}},
            "deployments":{
              "maps":{"kind":"engine","model":"map-1"},
              "tiles":{"kind":"plain","path_prefix":"/tiles/"},
              "docks":{"kind":"plain","path_prefix":"/tiles/dock/","idempotent":true}}})");
    return *read;
}

http_request post(const std::string& target, const std::string& body)
{
    return { .method = "POST", .target = target, .headers = { { "Authorization", "Bearer secret" } }, .body = body };
}

result<caller_request> parse(const http_request& request)
{
    return parseCallerRequest(testConfiguration(), request, start, 10s);
}

TEST(CallerRequest, ReadsACompletion)
{
    auto request = post(
        "/v1/chat/completions", R"({"model":"map-1","messages":[{"content":"hi"}],"max_tokens":10,"stream":true})");
    request.headers.push_back({ "Idempotency-Key", "k" });
    request.headers.push_back({ "Coltsfootbend-Attempt", "2" });
    request.headers.push_back({ "Coltsfootbend-Timeout-Ms", "1500" });
    const auto parsed = parse(request);
    ASSERT_TRUE(parsed) << toString(parsed.error());
    EXPECT_EQ(parsed->deployment, deployment_id("maps"));
    EXPECT_EQ(parsed->flow.key, request_key("k"));
    EXPECT_EQ(parsed->flow.attemptNumber, 2U);
    EXPECT_EQ(parsed->flow.deadline, start + 1500ms);
    EXPECT_FALSE(parsed->flow.idempotent);
    EXPECT_EQ(parsed->priority, 1U);
    EXPECT_EQ(parsed->routing.prefixes.size(), 1U);
}

TEST(CallerRequest, TheLongestPathPrefixAnswers)
{
    EXPECT_EQ(parse(post("/tiles/1", ""))->deployment, deployment_id("tiles"));
    EXPECT_FALSE(parse(post("/tiles/1", ""))->flow.idempotent);
    EXPECT_EQ(parse(post("/tiles/dock/1", ""))->deployment, deployment_id("docks"));
    EXPECT_TRUE(parse(post("/tiles/dock/1", ""))->flow.idempotent);
    auto get = post("/tiles/1?x=/v1", "");
    get.method = "GET";
    EXPECT_TRUE(parse(get)->flow.idempotent);
}

TEST(CallerRequest, PromptsWithACommonBeginningShareTheirFirstPrefixes)
{
    const std::string common(3000, 'x');
    const auto body = [&](const std::string& end) {
        return R"({"model":"map-1","messages":[{"content":")" + common + end + R"("}]})";
    };
    const auto left = parse(post("/v1/chat/completions", body("left")))->routing.prefixes;
    const auto right = parse(post("/v1/chat/completions", body("right" + common)))->routing.prefixes;
    ASSERT_GE(left.size(), 2U);
    EXPECT_EQ(left[0], right[0]);
    EXPECT_EQ(left[1], right[1]);
    EXPECT_NE(left.back(), right.back());
}

TEST(CallerRequest, EachRefusalHasAKindAndARemedy)
{
    const auto kindOf = [](const http_request& request) {
        const auto parsed = parse(request);
        EXPECT_FALSE(parsed);
        EXPECT_FALSE(!parsed && parsed.error().remedy.empty());
        return parsed ? error_kind::Internal : parsed.error().kind;
    };
    auto unknownKey = post("/tiles/1", "");
    unknownKey.headers[0].value = "Bearer wrong";
    EXPECT_EQ(kindOf(unknownKey), error_kind::Denied);
    auto twice = post("/tiles/1", "");
    twice.headers.push_back(twice.headers[0]);
    EXPECT_EQ(kindOf(twice), error_kind::Denied);
    EXPECT_EQ(kindOf(post("/nowhere", "")), error_kind::NotFound);
    EXPECT_EQ(kindOf(post("/v1/chat/completions", "{")), error_kind::BadInput);
    EXPECT_EQ(kindOf(post("/v1/chat/completions", R"({"model":"x","messages":[]})")), error_kind::NotFound);
    for (const auto& [name, value] : std::vector<std::pair<std::string, std::string>> { { "Idempotency-Key", "" },
             { "Idempotency-Key", std::string(300, 'k') }, { "Coltsfootbend-Attempt", "1" },
             { "Coltsfootbend-Timeout-Ms", "soon" }, { "Coltsfootbend-Timeout-Ms", "0" } }) {
        auto request = post("/tiles/1", "");
        request.headers.push_back({ name, value });
        EXPECT_EQ(kindOf(request), error_kind::BadInput) << name << "=" << value;
    }
    auto keyTwice = post("/tiles/1", "");
    keyTwice.headers.push_back({ "Idempotency-Key", "a" });
    keyTwice.headers.push_back({ "idempotency-key", "b" });
    EXPECT_EQ(kindOf(keyTwice), error_kind::BadInput);
}

TEST(CallerRequest, ABodyOfBracketsIsRefusedAndDoesNotEndTheProcess)
{
    const std::string open(1'000'000, '[');
    const std::string close(1'000'000, ']');
    const auto parsed = parse(post("/v1/chat/completions", R"({"model":"map-1","messages":)" + open + close + "}"));
    ASSERT_FALSE(parsed);
    EXPECT_NE(parsed.error().message.find("too deep"), std::string::npos);
}

RC_GTEST_PROP(CallerRequest, ParsesOrRefusesAnyBody, (const std::string& body, const std::string& header))
{
    auto request = post("/v1/chat/completions", body);
    request.headers.push_back({ "Idempotency-Key", header });
    (void)parse(request);
}

} // namespace
} // namespace coltsfootbend
