#include "coltsfootbend/gateway/request_admission.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

const time_point start { 1h };

class request_admission_test : public testing::Test {
protected:
    request_admission_test()
    {
        catalogue::contents contents;
        route split { .name = "r", .host = "h", .pathPrefix = "/p/", .timeout = 3s };
        split.deployments = { { deployment_id("old"), 3 }, { deployment_id("new"), 1 } };
        auto open = split;
        open.pathPrefix = "/open/";
        open.isPublic = true;
        auto empty = split;
        empty.pathPrefix = "/empty/";
        empty.deployments.clear();
        contents.routes = { split, open, empty };
        contents.keys = { { "good", { .id = customer_id("c") } } };
        contents.hasCustomers = true;
        m_catalogue.emplace(std::move(contents));
    }

    tl::expected<admitted_request, refused_request> admit(const std::string& path, const request_metadata& facts)
    {
        const http_request request { "GET", path, { { "Host", "h" } }, "" };
        return admitRequest(*m_catalogue, request, facts, m_patience, start);
    }

    std::optional<catalogue> m_catalogue;
    patience_tracker m_patience;
};

TEST_F(request_admission_test, RequestWithoutRouteOrKeyIsRefused)
{
    EXPECT_EQ(admit("/elsewhere/", { .apiKey = "good" }).error().status, 404);
    EXPECT_EQ(admit("/empty/", { .apiKey = "good" }).error().status, 404);
    EXPECT_EQ(admit("/p/x", {}).error().status, 401);
    EXPECT_EQ(admit("/p/x", { .apiKey = "bad" }).error().status, 401);
    EXPECT_EQ(admit("/p/x", { .apiKey = "good" })->caller->id, customer_id("c"));
    EXPECT_EQ(admit("/open/x", {})->caller, nullptr);
}

TEST_F(request_admission_test, DeadlineIsTheEarlierOfRouteTimeoutAndCallerTimeLeft)
{
    EXPECT_EQ(admit("/open/x", {})->deadline, start + 3s);
    EXPECT_EQ(admit("/open/x", { .timeLeft = 1s })->deadline, start + 1s);
    EXPECT_EQ(admit("/open/x", { .timeLeft = 9s })->deadline, start + 3s);
}

TEST_F(request_admission_test, DeploymentIsChosenByWeightAndStableForARequestId)
{
    int toNew = 0;
    for (int i = 0; i < 1000; ++i) {
        const request_metadata facts { .requestId = "r" + std::to_string(i) };
        const auto deployment = admit("/open/x", facts)->deployment;
        EXPECT_EQ(admit("/open/x", facts)->deployment, deployment);
        toNew += deployment == deployment_id("new") ? 1 : 0;
    }
    EXPECT_NEAR(toNew, 250, 50);
}

} // namespace
} // namespace coltsfootbend
