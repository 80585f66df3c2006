// Servers that end their connection in the middle of an answer's head, after each of its bytes. Guards against callers
// that get a success with an empty or short body, framed as whole.

#include "coltsfootbend/gateway/exchange_detail.h"
#include "coltsfootbend/gateway/exchange_test_support.h"
#include "coltsfootbend/net/connection_reset.h"

#include <gtest/gtest.h>

namespace coltsfootbend::exchange_tests {
namespace {

const std::string body = "the whole body";

// Returns the length of the head of the answer to a request with id "r1".
std::size_t headLength() { return responseTo("X-Request-Id: r1\r\n", 200, body).find("\r\n\r\n") + 4; }

// Sends the first `length` bytes of the answer, after `before`, and closes the connection.
void breakOff(byte_stream& stream, const std::string& head, std::size_t length, const std::string& before = "")
{
    (void)stream.writeAll(before + responseTo(head, 200, body).substr(0, length));
    stream.close();
}

void respondWhole(byte_stream& stream, const std::string& head, int)
{
    (void)stream.writeAll(responseTo(head, 200, body));
}

// Returns the answer to one more request of the fixture.
recording_responder answerOf(exchange_fixture& fixture)
{
    fixture.responder = recording_responder();
    return fixture.run();
}

// Plays one request for each length of the head. All servers break the head off; `script` gets the length.
void expectNoSuccess(const route& route, std::size_t servers,
    const std::function<void(byte_stream&, const std::string& head, std::size_t length)>& script)
{
    onRuntime([&](exchange_fixture& fixture) {
        std::size_t length = 0;
        std::vector<std::unique_ptr<scripted_server>> opened;
        std::vector<scripted_server*> all;
        for (std::size_t i = 0; i < servers; ++i) {
            opened.push_back(std::make_unique<scripted_server>(fixture.runtime,
                [&](byte_stream& stream, const std::string& head, int) { script(stream, head, length); }));
            all.push_back(opened.back().get());
        }
        for (; length < headLength(); ++length) {
            fixture.configure(route, all);
            const auto answer = answerOf(fixture);
            EXPECT_FALSE(isSuccess(answer.status)) << "after " << length << " bytes, body: " << answer.body;
        }
        for (const auto& server : opened)
            server->close();
    });
}

TEST(BrokenHeads, ARequestThatRunsOnceGetsNoSuccess)
{
    expectNoSuccess(makeRoute(route_kind::AtMostOnce, 1), 1,
        [](byte_stream& stream, const std::string& head, std::size_t length) { breakOff(stream, head, length); });
}

TEST(BrokenHeads, AnIdempotentRequestGetsNoSuccessFromTwoServers)
{
    expectNoSuccess(makeRoute(route_kind::Idempotent, 2), 2,
        [](byte_stream& stream, const std::string& head, std::size_t length) { breakOff(stream, head, length); });
}

TEST(BrokenHeads, AResetInTheHeadIsNoSuccess)
{
    expectNoSuccess(
        makeRoute(route_kind::Idempotent, 2), 2, [](byte_stream& stream, const std::string& head, std::size_t length) {
            (void)stream.writeAll(responseTo(head, 200, body).substr(0, length));
            resetConnection(stream);
        });
}

TEST(BrokenHeads, AHeadThatBreaksOffAfterInterimResponsesIsNoSuccess)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    expectNoSuccess(
        makeRoute(route_kind::Idempotent, 2), 2, [&](byte_stream& stream, const std::string& head, std::size_t length) {
            breakOff(stream, head, length, interim);
        });
}

TEST(BrokenHeads, AHeadThatBreaksOffAfterALateResponseToAnotherRequestIsNoSuccess)
{
    const auto late = responseTo("X-Request-Id: r0\r\n", 200, "another body");
    expectNoSuccess(
        makeRoute(route_kind::Idempotent, 2), 2, [&](byte_stream& stream, const std::string& head, std::size_t length) {
            breakOff(stream, head, length, late);
        });
}

// The answer before it leaves bytes of its parser behind on the connection.
TEST(BrokenHeads, AHeadThatBreaksOffOnAReusedConnectionIsNoSuccess)
{
    onRuntime([](exchange_fixture& fixture) {
        std::size_t length = 0;
        bool isBroken = false;
        scripted_server server(fixture.runtime, [&](byte_stream& stream, const std::string& head, int) {
            if (isBroken)
                breakOff(stream, head, length);
            else
                respondWhole(stream, head, 0);
        });
        for (; length < headLength(); ++length) {
            fixture.configure(makeRoute(route_kind::Idempotent, 1), { &server });
            isBroken = false;
            EXPECT_EQ(answerOf(fixture).body, body);
            isBroken = true;
            EXPECT_FALSE(isSuccess(answerOf(fixture).status)) << "after " << length << " bytes";
        }
        server.close();
    });
}

// Plays one request for some lengths, each with a retry budget of its own: at the first of two servers the answer
// breaks off after that many bytes, the second one sends it whole.
void expectWholeAnswerFromSecondServer(
    const route& route, const std::function<std::string(const std::string& head)>& wholeAnswer, const std::string& body)
{
    constexpr std::size_t step = 11;
    for (std::size_t length = 0; length < headLength(); length += step) {
        onRuntime([&](exchange_fixture& fixture) {
            int attempts = 0;
            const auto breakFirst = [&](byte_stream& stream, const std::string& head, int) {
                const bool isBroken = ++attempts == 1;
                (void)stream.writeAll(isBroken ? wholeAnswer(head).substr(0, length) : wholeAnswer(head));
                if (isBroken)
                    stream.close();
            };
            scripted_server first(fixture.runtime, breakFirst);
            scripted_server second(fixture.runtime, breakFirst);
            fixture.configure(route, { &first, &second });
            const auto& answer = fixture.run();
            EXPECT_EQ(answer.status, 200) << "after " << length << " bytes";
            EXPECT_EQ(answer.body, body);
            EXPECT_TRUE(answer.isComplete);
            EXPECT_EQ(attempts, 2);
            first.close();
            second.close();
        });
    }
}

TEST(BrokenHeads, ASecondServerAnswersARequestWhoseFirstAnswerBreaksOff)
{
    expectWholeAnswerFromSecondServer(
        makeRoute(route_kind::Idempotent, 2), [](const std::string& head) { return responseTo(head, 200, body); },
        body);
}

TEST(BrokenHeads, AStreamWhoseFirstHeadBreaksOffIsServedWholeByTheSecondServer)
{
    expectWholeAnswerFromSecondServer(
        makeRoute(route_kind::Stream, 2, true),
        [](const std::string& head) { return streamHead(head) + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n"; },
        event(1) + event(2));
}

// The first server ends inside the stream and the second one inside its head: the stream is incomplete.
TEST(BrokenHeads, AStreamThatIsResumedWithABrokenHeadDoesNotEndAsComplete)
{
    onRuntime([](exchange_fixture& fixture) {
        std::size_t length = 0;
        int attempts = 0;
        const auto script = [&](byte_stream& stream, const std::string& head, int) {
            const auto whole = streamHead(head) + chunk(event(1));
            (void)stream.writeAll(++attempts == 1 ? whole : whole.substr(0, length));
            stream.close();
        };
        scripted_server first(fixture.runtime, script);
        scripted_server second(fixture.runtime, script);
        for (; length < streamHead("X-Request-Id: r1\r\n").size(); ++length) {
            fixture.configure(makeRoute(route_kind::Stream, 2, true), { &first, &second });
            attempts = 0;
            const auto answer = answerOf(fixture);
            EXPECT_EQ(answer.body, event(1)) << "after " << length << " bytes";
            EXPECT_TRUE(answer.isAborted);
            EXPECT_FALSE(answer.isComplete);
        }
        first.close();
        second.close();
    });
}

// The first server is silent, so that a second one is asked, whose head breaks off.
TEST(BrokenHeads, ASecondAttemptWhoseHeadBreaksOffIsNoSuccess)
{
    constexpr std::size_t step = 29;
    for (std::size_t length = 1; length < headLength(); length += step) {
        onRuntime([&](exchange_fixture& fixture) {
            int attempts = 0;
            const auto script = [&](byte_stream& stream, const std::string& head, int) {
                if (++attempts > 1)
                    breakOff(stream, head, length);
            };
            scripted_server first(fixture.runtime, script);
            scripted_server second(fixture.runtime, script);
            fixture.configure(makeRoute(route_kind::Idempotent, 2), { &first, &second });
            const auto& answer = fixture.run("r1", "2000");
            EXPECT_FALSE(isSuccess(answer.status)) << "after " << length << " bytes, body: " << answer.body;
            EXPECT_EQ(attempts, 2);
            first.close();
            second.close();
        });
    }
}

// The same for calls of the store and of engines.
TEST(BrokenHeads, ACallWhoseAnswerBreaksOffInItsHeadFails)
{
    onRuntime([](exchange_fixture& fixture) {
        std::size_t length = 0;
        scripted_server server(fixture.runtime,
            [&](byte_stream& stream, const std::string& head, int) { breakOff(stream, head, length); });
        http_client client(fixture.runtime);
        for (; length < headLength(); ++length) {
            const auto answer = client.send(server.address(), { "GET", "/-/report", {}, {} }, clock_type::now() + 1s);
            EXPECT_FALSE(answer) << "after " << length << " bytes";
        }
        server.close();
    });
}

} // namespace
} // namespace coltsfootbend::exchange_tests
