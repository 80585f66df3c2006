// Guards against answers of servers in trouble whose status is none, and that reach a caller or are waited on.

#include "coltsfootbend/gateway/exchange_test_support.h"

#include <gtest/gtest.h>

namespace coltsfootbend::exchange_tests {
namespace {

constexpr std::array oddStatuses { "000", "001", "099", "101", "600", "999" };
// The route has 3 s. What cannot become an answer is known at once.
constexpr duration soonEnough = 1s;

// Answers with `status` and a body that looks like an answer itself.
std::string oddAnswer(const std::string& head, const std::string& status)
{
    const auto hidden = responseTo(head, 200, "hidden");
    return "HTTP/1.1 " + status + " X\r\nX-Request-Id: " + headerOf(head, "X-Request-Id")
        + "\r\nX-Response-Stamp: s\r\nContent-Length: " + std::to_string(hidden.size()) + "\r\n\r\n" + hidden;
}

TEST(OddStatuses, AreNoAnswerToARequestThatMayRunOnlyOnce)
{
    for (const std::string status : oddStatuses) {
        onRuntime([&](exchange_fixture& fixture) {
            scripted_server server(fixture.runtime, [&](byte_stream& stream, const std::string& head, int) {
                (void)stream.writeAll(oddAnswer(head, status));
            });
            fixture.configure(makeRoute(route_kind::AtMostOnce, 1), { &server });
            const auto begunAt = clock_type::now();
            EXPECT_EQ(fixture.run().status, 502) << status;
            EXPECT_LT(clock_type::now() - begunAt, soonEnough) << status;
            server.close();
        });
    }
}

TEST(OddStatuses, AreFollowedByTheAnswerOfAnotherServer)
{
    for (const std::string status : oddStatuses) {
        onRuntime([&](exchange_fixture& fixture) {
            scripted_server odd(fixture.runtime, [&](byte_stream& stream, const std::string& head, int) {
                (void)stream.writeAll(oddAnswer(head, status));
            });
            scripted_server sound(fixture.runtime, [&](byte_stream& stream, const std::string& head, int) {
                (void)stream.writeAll(responseTo(head, 200, "answer"));
            });
            fixture.configure(makeRoute(route_kind::Idempotent, 2), { &odd, &sound });
            // The first server is chosen first, because the other one is busy.
            fixture.context->picker.onRequestSent({ backend_id("b1"), {} }, clock_type::now());
            const auto begunAt = clock_type::now();
            const auto& response = fixture.run();
            EXPECT_EQ(response.status, 200) << status;
            EXPECT_EQ(response.body, "answer") << status;
            EXPECT_LT(clock_type::now() - begunAt, soonEnough) << status;
            EXPECT_EQ(odd.heads.size(), 1U);
            odd.close();
            sound.close();
        });
    }
}

} // namespace
} // namespace coltsfootbend::exchange_tests
