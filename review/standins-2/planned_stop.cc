// A case on planned stops: a gateway gets SIGTERM in calm, and callers go on to use their open connections.
//
//     planned_stop PROGRAM FOLDER RECORD TROUBLE
//
// Exits with 1 if a request that was sent later than 3 s after the SIGTERM was passed on and then cut, with 0 if none was,
// and with 2 if the case could not be played.

#include "group.hh"

using namespace world;

namespace {

constexpr int ranks = 4;
constexpr int clientCount = 8;
constexpr double graceSeconds = 8; // `grace_s`
constexpr double deadlineSeconds = 8; // Of the caller, and the route's `timeout_ms`.
constexpr double sentLaterThan = 3; // From the rule.
// Pause between two events of a stream, in ms. An answer is on time with pauses of up to 120 ms.
constexpr double passMs = 70;
constexpr double warmUpSeconds = 6;
// Events of the streams: before the stop, over its beginning, and after it. The longest streams of the sheet have 69.
constexpr int usualEvents = 20;
constexpr int longEvents = 52;
constexpr int longestEvents = 69;
// SIGTERM comes this long after the long streams have begun; they end about 3.2 s after it.
constexpr double termAfterBegin = 0.45;

struct outcome {
    std::string id;
    double sentAt = 0;
    double endedAt = 0;
    int status = 0; // 0 if no head was read.
    int events = 0;
    bool isComplete = false;
};

// One caller on a kept connection, as long as the gateway keeps it.
class client {
public:
    client(const address& gateway, int number)
        : m_gateway(gateway)
        , m_number(number)
    {
    }

    bool isOpen() const { return m_fd >= 0; }

    outcome ask(int events, bool mayConnect)
    {
        outcome done;
        char id[32];
        std::snprintf(id, sizeof id, "c%02d-%04d", m_number, ++m_count);
        done.id = id;
        if (m_fd < 0 && mayConnect) {
            m_fd = connectTo(m_gateway);
            m_reader = std::make_unique<reader>(m_fd);
        }
        done.sentAt = seconds();
        if (m_fd < 0)
            return done;
        const std::string body = "{\"prompt\":\"p\"}";
        const bool sent = sendAll(m_fd, "POST /draft/2f HTTP/1.1\r\nHost: front.example\r\nX-Request-Id: " + done.id
                + "\r\nX-Model-Name: m\r\nX-Token-Counts: 200," + std::to_string(5 * events)
                + "\r\nX-Prompt-Prefix: 5c1e07a2:40,aa" + std::to_string(m_number) + std::to_string(m_count)
                + ":160\r\nX-Deadline-Ms: 8000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        message answer;
        if (sent && m_reader->readHead(answer, 9000)) {
            done.status = answer.status();
            done.isComplete = m_reader->readBody(answer, 9000);
            for (auto at = answer.body.find("id: "); at != std::string::npos; at = answer.body.find("id: ", at + 1))
                ++done.events;
        }
        done.endedAt = seconds();
        if (!done.isComplete || lower(answer.header("connection")) == "close") {
            ::close(m_fd);
            m_fd = -1;
        }
        return done;
    }

private:
    const address m_gateway;
    const int m_number;
    int m_count = 0;
    int m_fd = -1;
    std::unique_ptr<reader> m_reader;
};

std::string describe(const outcome& done, double termAt)
{
    char text[200];
    std::snprintf(text, sizeof text, "request %s sent at %+.3f s, ended at %+.3f s: status %d, %d events, %s", done.id.c_str(),
        done.sentAt - termAt, done.endedAt - termAt, done.status, done.events, done.isComplete ? "complete" : "NOT complete");
    return text;
}

int play(const std::string& program, const std::string& folder, bool hasTrouble)
{
    const auto net = drawNetwork(1, ranks);
    if (net.number == 0)
        return 2;
    // Never destroyed, because threads refer to them until the process ends.
    auto& rows = *new store;
    auto& group = *new engine_group(ranks);
    group.setPassMs(passMs);
    std::mutex& mutex = *new std::mutex;
    auto& runEnds = *new std::map<std::string, std::pair<double, bool>>;
    group.onStreamEnd = [&](const std::string& id, bool isComplete) {
        const std::lock_guard lock(mutex);
        runEnds[id] = { seconds(), isComplete };
    };
    if (!rows.open(net.storeAddress()) || !group.open(net))
        return 2;
    rows.put("op", "config", engineConfiguration(7).dump());
    startHeartbeats(rows, net, group);
    sleepMs(200);
    auto& processes = *new supervisor(program, folder);
    processes.endAfter(115);
    processes.start("gateway-1", gatewaySettings(net, 1));
    for (int rank = 0; rank < ranks; ++rank)
        processes.start("agent-" + std::to_string(rank), agentSettings(net, rank));
    sleepMs(3500);

    const double warmUntil = seconds() + warmUpSeconds;
    const double longFrom = warmUntil + 2.5; // All streams of the warm-up have ended by then.
    const double termAt = longFrom + termAfterBegin;
    std::vector<outcome> usual;
    std::vector<outcome> over;
    std::vector<outcome> late;
    std::vector<std::thread> threads;
    for (int number = 0; number < clientCount; ++number) {
        threads.emplace_back([&, number] {
            client caller(net.callers(1), number);
            while (seconds() < warmUntil) {
                const auto done = caller.ask(usualEvents, true);
                const std::lock_guard lock(mutex);
                usual.push_back(done);
            }
            // The streams begin one after the other, so that they end 3.2 to 3.5 s after the SIGTERM.
            while (seconds() < longFrom + 0.04 * number)
                sleepMs(1);
            const auto first = caller.ask(longEvents, true);
            const bool isKept = caller.isOpen();
            const auto next = isKept ? caller.ask(longestEvents, false) : outcome {};
            const std::lock_guard lock(mutex);
            over.push_back(first);
            if (isKept)
                late.push_back(next);
        });
    }
    while (seconds() < termAt)
        sleepMs(1);
    if (hasTrouble) {
        record().line("SIGTERM to gateway-1; times of requests below are relative to it");
        processes.signal("gateway-1", SIGTERM);
        std::thread([&, termAt] {
            while (seconds() < termAt + graceSeconds)
                sleepMs(5);
            if (processes.isRunning("gateway-1")) {
                record().line("gateway-1 still runs after grace_s and gets SIGKILL");
                processes.signal("gateway-1", SIGKILL);
            } else {
                record().line("gateway-1 has ended within grace_s");
            }
        }).detach();
    }
    for (auto& thread : threads)
        thread.join();
    sleepMs(300);

    int usualComplete = 0;
    double longestUsual = 0;
    for (const auto& done : usual) {
        usualComplete += done.isComplete && done.status == 200 ? 1 : 0;
        longestUsual = std::max(longestUsual, done.endedAt - done.sentAt);
    }
    record().line("before: " + std::to_string(usual.size()) + " streams, complete " + std::to_string(usualComplete)
        + ", the longest took " + std::to_string(longestUsual) + " s");
    if (usualComplete == 0)
        return 2;
    for (const auto& done : over)
        record().line("over the SIGTERM: " + describe(done, termAt));
    int lost = 0;
    int counted = 0;
    for (const auto& done : late) {
        std::string run = "no run";
        {
            const std::lock_guard lock(mutex);
            if (const auto found = runEnds.find(done.id); found != runEnds.end()) {
                char text[120];
                std::snprintf(text, sizeof text, "run at a worker until %+.3f s, %s", found->second.first - termAt,
                    found->second.second ? "complete" : "dropped as its connection was closed");
                run = text;
            }
        }
        record().line("after it: " + describe(done, termAt) + "; " + run);
        const bool isLate = done.sentAt > termAt + sentLaterThan && done.sentAt < termAt + graceSeconds;
        const bool inTime = done.endedAt - done.sentAt < deadlineSeconds;
        counted += isLate ? 1 : 0;
        lost += isLate && inTime && run != "no run" && !done.isComplete ? 1 : 0;
    }
    record().line("requests sent later than 3 s after: " + std::to_string(counted) + "; read, passed on and cut: "
        + std::to_string(lost));
    record().line(lost > 0 ? "RESULT: LOST was broken" : "RESULT: LOST held");
    processes.killAll();
    return lost > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 5)
        return 2;
    endWithParent();
    std::signal(SIGPIPE, SIG_IGN);
    record().open(argv[3]);
    const int result = play(argv[1], argv[2], std::string(argv[4]) != "0");
    std::_Exit(result);
}
