// Planned stops of the daemon with its own interface, while callers go on to use their connections. Guards against
// requests that are accepted and then end with the process, without an answer.

#include "coltsfootbend/daemon/daemon_run.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <csignal>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;
namespace http = boost::beast::http;

constexpr auto drainLimit = 4s;
constexpr int tokensPerSecond = 100;

// What a caller received in answer to one request.
struct caller_answer {
    http::response<http::string_body> response;
    bool isComplete = false;
    duration took {};

    std::string outcome() const { return std::string(response["Coltsfootbend-Outcome"]); }
};

// A caller with one connection.
class caller {
public:
    explicit caller(const std::string& ip)
        : m_socket(m_io)
    {
        boost::system::error_code code;
        m_socket.connect({ boost::asio::ip::make_address(ip), 18080 }, code);
    }

    // Returns a request for a stream or a whole answer that takes the time `length`.
    static std::string requestFor(duration length, bool isStream, const std::string& headers = "")
    {
        const auto tokens = std::chrono::duration_cast<std::chrono::seconds>(length * tokensPerSecond).count();
        const std::string body = R"({"model":"draft-1","messages":[{"role":"user","content":"explain"}],"max_tokens":)"
            + std::to_string(tokens) + (isStream ? R"(,"stream":true})" : "}");
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer designer-key\r\n" + headers
            + "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    void send(const std::string& bytes)
    {
        boost::system::error_code code;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), code);
    }

    caller_answer receive()
    {
        caller_answer answer;
        const auto begunAt = clock_type::now();
        boost::system::error_code code;
        http::read(m_socket, m_buffer, answer.response, code);
        answer.isComplete = !code;
        answer.took = clock_type::now() - begunAt;
        return answer;
    }

private:
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
};

// Runs a daemon with all roles on addresses of its own, and waits until it serves requests.
class entry_stop_test : public testing::Test {
protected:
    void startOn(const std::string& ip)
    {
        m_ip = ip;
        m_run.emplace("vm = \"worker-1\"\ndata_centre = \"dc-1\"\npeers = \"" + ip + ":19001\"\nplatform = \"" + ip
            + ":19002\"\nfirst_configuration = \"" COLTSFOOTBEND_SOURCE_DIR "/examples/trial/configuration.json\"\n"
            + "drain_limit_s = " + std::to_string(drainLimit.count())
            + "\n[[entries]]\nid = \"worker-1\"\ndata_centre = \"dc-1\"\naddress = \"" + ip
            + ":19001\"\n[entry]\ncallers = \"" + ip + ":18080\"\noperators = \"" + ip
            + ":18081\"\n[worker]\nbackend = \"" + ip
            + ":19003\"\ndeployments = [\"drafts\", \"panels\"]\nslots = 16\n[standin]\nplatform = \"" + ip
            + ":19002\"\n[standin.engine]\naddress = \"" + ip
            + ":19003\"\nstep_ms = " + std::to_string(1000 / tokensPerSecond) + "\n");
        const auto until = clock_type::now() + 10s;
        while (clock_type::now() < until && !servesRequests())
            std::this_thread::sleep_for(50ms);
    }

    bool servesRequests() const
    {
        caller one(m_ip);
        one.send(caller::requestFor(10ms, false));
        const auto answer = one.receive();
        return answer.isComplete && answer.response.result_int() == 200;
    }

    // Begins a stream on a connection, and sends SIGTERM 100 ms later. Returns the answer to `request`, which is sent
    // on the same connection when the stream has ended, 2 s into the stop.
    caller_answer sendLate(const std::string& request)
    {
        caller one(m_ip);
        one.send(caller::requestFor(2100ms, true));
        std::this_thread::sleep_for(100ms);
        m_run->signal(SIGTERM);
        EXPECT_TRUE(one.receive().isComplete);
        one.send(request);
        return one.receive();
    }

    std::string m_ip;
    std::optional<daemon_run> m_run;
};

TEST_F(entry_stop_test, ALateRequestWhoseAnswerMayOutlastTheStopIsRefusedAtOnce)
{
    startOn("127.0.44.11");
    const auto answer = sendLate(caller::requestFor(3s, true));
    EXPECT_TRUE(answer.isComplete) << "cut after " << toMilliseconds(answer.took) << " ms";
    EXPECT_EQ(answer.response.result_int(), 503);
    EXPECT_EQ(answer.outcome(), "not-run");
    EXPECT_FALSE(answer.response.keep_alive());
    EXPECT_LT(answer.took, 500ms);
    EXPECT_EQ(m_run->exitCode(), EXIT_SUCCESS);
}

// An earlier attempt under the key may have run elsewhere, so a refusal must not claim the opposite.
TEST_F(entry_stop_test, ALateRequestUnderAKeyIsRefusedWithoutAClaimAboutEarlierAttempts)
{
    startOn("127.0.44.12");
    const auto answer = sendLate(caller::requestFor(3s, true, "Idempotency-Key: k\r\n"));
    EXPECT_TRUE(answer.isComplete);
    EXPECT_EQ(answer.response.result_int(), 503);
    EXPECT_EQ(answer.outcome(), "unknown");
    EXPECT_NE(answer.response.body().find("\"same_key_may_retry\":true"), std::string::npos);
}

TEST_F(entry_stop_test, ALateRequestWhoseDeadlineIsBeforeTheEndOfTheStopIsServed)
{
    startOn("127.0.44.13");
    const auto answer = sendLate(caller::requestFor(500ms, true, "Coltsfootbend-Timeout-Ms: 1000\r\n"));
    EXPECT_TRUE(answer.isComplete);
    EXPECT_EQ(answer.response.result_int(), 200);
}

TEST_F(entry_stop_test, ARequestThatIsUnansweredAtTheEndOfTheStopIsAnsweredByTheEntry)
{
    startOn("127.0.44.14");
    caller one(m_ip);
    one.send(caller::requestFor(8s, false));
    std::this_thread::sleep_for(100ms);
    m_run->signal(SIGTERM);
    const auto answer = one.receive();
    EXPECT_TRUE(answer.isComplete) << "cut after " << toMilliseconds(answer.took) << " ms";
    EXPECT_EQ(answer.response.result_int(), 502);
    EXPECT_EQ(answer.outcome(), "unknown");
    EXPECT_EQ(m_run->exitCode(), EXIT_SUCCESS);
}

TEST_F(entry_stop_test, ARequestThatIsBeingReceivedWhenTheStopBeginsIsServed)
{
    startOn("127.0.44.15");
    caller one(m_ip);
    const auto request = caller::requestFor(200ms, true, "Coltsfootbend-Timeout-Ms: 2000\r\n");
    one.send(request.substr(0, request.size() - 5));
    std::this_thread::sleep_for(100ms);
    m_run->signal(SIGTERM);
    std::this_thread::sleep_for(1s);
    one.send(request.substr(request.size() - 5));
    const auto answer = one.receive();
    EXPECT_TRUE(answer.isComplete);
    EXPECT_EQ(answer.response.result_int(), 200);
}

} // namespace
} // namespace coltsfootbend
