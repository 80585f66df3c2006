// Stand-in for the engines of one group: ranks that execute each pass together, expert maps that orders prepare, arm,
// hold and release, and streams that get one event a pass. An order may be left unanswered and carried out later.
#pragma once

#include "world.hh"

namespace world {

// The engines of a group of `ranks` ranks. An idle group makes no passes.
class engine_group {
public:
    static constexpr int sets = 2;
    static constexpr int experts = 16;
    static constexpr int slots = 8;

    struct armed_map {
        std::uint64_t version = 0;
        std::uint64_t step = 0;
    };
    struct rank_state {
        std::string id;
        std::uint64_t born = 0;
        std::uint64_t mapVersion = 0;
        std::uint64_t highest = 0;
        std::uint64_t sequence = 0;
        json mapExperts; // By set.
        std::uint64_t prepared = 0;
        json preparedExperts;
        std::uint64_t armedVersion = 0;
        std::uint64_t armedStep = 0;
        std::uint64_t held = 0;
        std::vector<std::uint64_t> counts = std::vector<std::uint64_t>(sets * experts, 0);
        int running = 0;
        bool isFrozen = false; // The machine stands still: nothing on it answers.
        double lateUntil = -1; // Orders that arrive before are not answered and are carried out `lateBy` later.
    };

    explicit engine_group(int ranks)
        : m_ranks(static_cast<std::size_t>(ranks))
    {
        for (int rank = 0; rank < ranks; ++rank) {
            auto& state = m_ranks[static_cast<std::size_t>(rank)];
            state.id = "i-000" + std::to_string(rank);
            state.born = static_cast<std::uint64_t>(unixMs());
            state.mapExperts = json::array();
            for (int set = 0; set < sets; ++set) {
                json held = json::array();
                for (int expert = rank; expert < experts; expert += ranks)
                    held.push_back(expert);
                state.mapExperts.push_back(held);
            }
        }
    }

    bool open(const network& net)
    {
        for (int rank = 0; rank < size(); ++rank) {
            if (!m_server.open(net.engine(rank),
                    [this, rank](const message& request, int fd) { return serve(rank, request, fd); }))
                return false;
        }
        std::thread([this] { passLoop(); }).detach();
        return true;
    }

    int size() const { return static_cast<int>(m_ranks.size()); }
    std::string idOf(int rank) const { return m_ranks[static_cast<std::size_t>(rank)].id; }
    std::uint64_t bornOf(int rank) const { return m_ranks[static_cast<std::size_t>(rank)].born; }

    // How long a pass takes.
    void setPassMs(double passMs) { m_passMs = passMs; }
    // Which experts the requests choose most; changes over time.
    void setHotExpert(int expert) { m_hot = expert; }
    void setFrozen(int rank, bool frozen)
    {
        const std::lock_guard lock(m_mutex);
        m_ranks[static_cast<std::size_t>(rank)].isFrozen = frozen;
        m_changed.notify_all();
    }
    // Orders that arrive at `rank` until `until` get no answer and are carried out `lateBy` seconds after they arrived.
    void setLate(int rank, double until, double lateBy)
    {
        const std::lock_guard lock(m_mutex);
        m_ranks[static_cast<std::size_t>(rank)].lateUntil = until;
        m_lateBy = lateBy;
    }

    // Called after each order that a rank has carried out at once, before it is answered.
    std::function<void(int rank, const std::string& operation, std::uint64_t version, std::uint64_t step)> onOrder;

    // Called when a run ends: complete, or dropped because its caller has left.
    std::function<void(const std::string& id, bool isComplete)> onStreamEnd;

    std::atomic<int> orders { 0 };
    std::atomic<int> lateOrders { 0 };
    std::atomic<int> switches { 0 };
    std::atomic<int> mixedPasses { 0 };
    std::atomic<int> runs { 0 };
    std::atomic<std::uint64_t> passes { 0 };

private:
    rank_state& at(int rank) { return m_ranks[static_cast<std::size_t>(rank)]; }

    void passLoop()
    {
        while (true) {
            sleepMs(m_passMs);
            const std::lock_guard lock(m_mutex);
            bool hasWork = false;
            bool isHeld = false;
            bool isFrozen = false;
            for (const auto& state : m_ranks) {
                hasWork = hasWork || state.running > 0;
                isHeld = isHeld || state.held == m_step + 1;
                isFrozen = isFrozen || state.isFrozen;
            }
            if (!hasWork || isHeld || isFrozen)
                continue;
            beginPass();
            m_changed.notify_all();
        }
    }

    void beginPass()
    {
        ++m_step;
        ++passes;
        bool hasSwitched = false;
        for (auto& state : m_ranks) {
            if (state.armedVersion != 0 && state.armedStep == m_step) {
                state.mapVersion = state.armedVersion;
                state.mapExperts = state.preparedExperts;
                state.armedVersion = state.armedStep = state.prepared = 0;
                hasSwitched = true;
            }
            for (int set = 0; set < sets; ++set) {
                for (int expert = 0; expert < experts; ++expert)
                    state.counts[static_cast<std::size_t>(set * experts + expert)] += expert == m_hot ? 200 : 5;
            }
        }
        bool isMixed = false;
        std::string maps;
        for (const auto& state : m_ranks) {
            isMixed = isMixed || state.mapVersion != m_ranks.front().mapVersion;
            maps += " " + std::to_string(state.mapVersion);
        }
        if (hasSwitched) {
            ++switches;
            record().line("pass " + std::to_string(m_step) + " begins; maps in use by rank:" + maps);
        }
        if (isMixed && mixedPasses++ == 0)
            record().line("MAP broken: pass " + std::to_string(m_step) + " begins while ranks have different maps:" + maps);
    }

    void waitWhileFrozen(std::unique_lock<std::mutex>& lock, int rank)
    {
        m_changed.wait(lock, [&] { return !at(rank).isFrozen; });
    }

    bool serve(int rank, const message& request, int fd)
    {
        const auto target = request.target();
        std::unique_lock lock(m_mutex);
        waitWhileFrozen(lock, rank);
        if (target.rfind("/-/report", 0) == 0)
            return reply(fd, lock, 200, report(rank).dump());
        if (target.rfind("/-/picked", 0) == 0)
            return reply(fd, lock, 200, picked(rank, target).dump());
        if (target.rfind("/-/order", 0) == 0)
            return order(rank, request, fd, lock);
        if (target == "/health")
            return reply(fd, lock, 200, "", { { "X-Instance-Id", at(rank).id } });
        return stream(rank, request, fd, lock);
    }

    static bool reply(int fd, std::unique_lock<std::mutex>& lock, int status, const std::string& body,
        std::vector<std::pair<std::string, std::string>> headers = { { "Content-Type", "application/json" } })
    {
        lock.unlock();
        return sendAll(fd, response(status, body, headers));
    }

    json report(int rank)
    {
        auto& state = at(rank);
        json body { { "stage", "both" }, { "models", { { { "name", "m" }, { "version", 1 }, { "adapters", json::array() } } } },
            { "busy", false }, { "sequence", state.sequence }, { "waiting", 0 }, { "running", state.running },
            { "kv_used", 1000 * state.running }, { "kv_total", 372000 }, { "handles", 0 }, { "born", state.born },
            { "pace", 1.0 }, { "step", m_step },
            { "group", { { "name", "group-1" }, { "epoch", 1 }, { "rank", rank }, { "state", "open" } } },
            { "size", size() }, { "mapping", { { "version", state.mapVersion } } } };
        if (state.prepared != 0)
            body["prepared"] = { { "version", state.prepared } };
        if (state.armedVersion != 0)
            body["armed"] = { { "version", state.armedVersion }, { "step", state.armedStep } };
        if (state.held != 0)
            body["held"] = { { "step", state.held } };
        return body;
    }

    json picked(int rank, const std::string& target)
    {
        auto& state = at(rank);
        json body { { "born", state.born }, { "step", m_step }, { "epoch", 1 } };
        if (target.find("lists") == std::string::npos) {
            json counts = json::array();
            for (int set = 0; set < sets; ++set)
                counts.push_back(std::vector<std::uint64_t>(
                    state.counts.begin() + set * experts, state.counts.begin() + (set + 1) * experts));
            body["counts"] = counts;
            return body;
        }
        body["mapping"] = { { "version", state.mapVersion }, { "experts", state.mapExperts } };
        if (state.prepared != 0)
            body["prepared"] = { { "version", state.prepared }, { "experts", state.preparedExperts } };
        return body;
    }

    // Carries out an order. Returns 202, or 409 if it does not fit the rank's state.
    int execute(int rank, const json& asked)
    {
        auto& state = at(rank);
        const auto operation = asked.value("operation", "");
        const auto version = asked.value("version", std::uint64_t { 0 });
        const auto step = asked.value("step", std::uint64_t { 0 });
        if (asked.value("epoch", 1) != 1)
            return 409;
        if (operation == "prepare") {
            if (version <= state.highest || version <= state.mapVersion || state.armedVersion != 0)
                return 409;
            state.highest = version;
            state.prepared = version;
            state.preparedExperts = json::array();
            for (const auto& set : asked.at("mapping"))
                state.preparedExperts.push_back(set.at(static_cast<std::size_t>(rank)));
        } else if (operation == "arm") {
            if (state.prepared != version || m_step >= step)
                return 409;
            state.armedVersion = version;
            state.armedStep = step;
        } else if (operation == "disarm") {
            if (state.mapVersion == version)
                return 409;
            if (state.armedVersion == version)
                state.armedVersion = state.armedStep = 0;
        } else if (operation == "hold") {
            if (m_step >= step || (state.held != 0 && state.held != step))
                return 409;
            state.held = step;
        } else if (operation == "go") {
            if (state.held != step)
                return 200;
            state.held = 0;
        } else {
            return 400;
        }
        ++state.sequence;
        return 202;
    }

    static std::string describe(int rank, const json& asked)
    {
        return asked.value("operation", "") + " at rank " + std::to_string(rank) + ", version "
            + std::to_string(asked.value("version", std::uint64_t { 0 })) + ", step "
            + std::to_string(asked.value("step", std::uint64_t { 0 }));
    }

    bool order(int rank, const message& request, int fd, std::unique_lock<std::mutex>& lock)
    {
        const auto asked = json::parse(request.body, nullptr, false);
        if (!asked.is_object())
            return reply(fd, lock, 400, "{}");
        ++orders;
        if (seconds() < at(rank).lateUntil) {
            ++lateOrders;
            record().line("order " + describe(rank, asked) + ": no answer, carried out later");
            std::thread([this, rank, asked, lateBy = m_lateBy] {
                sleepMs(1000 * lateBy);
                std::unique_lock later(m_mutex);
                waitWhileFrozen(later, rank);
                const int status = execute(rank, asked);
                record().line("late order " + describe(rank, asked) + ": carried out now -> " + std::to_string(status));
            }).detach();
            lock.unlock();
            while (!hasPeerLeft(fd)) // The caller gives the call up.
                sleepMs(5);
            return false;
        }
        const int status = execute(rank, asked);
        record().line("order " + describe(rank, asked) + " -> " + std::to_string(status));
        const auto notify = onOrder;
        lock.unlock();
        if (notify && status == 202)
            notify(rank, asked.value("operation", ""), asked.value("version", std::uint64_t { 0 }),
                asked.value("step", std::uint64_t { 0 }));
        lock.lock();
        waitWhileFrozen(lock, rank);
        return reply(fd, lock, status, "{}");
    }

    // Answers a request with as many events as `X-Token-Counts` asks for, of five tokens each, one a pass. A request whose
    // caller leaves is dropped.
    bool stream(int rank, const message& request, int fd, std::unique_lock<std::mutex>& lock)
    {
        auto& state = at(rank);
        const auto id = request.header("x-request-id");
        const std::vector<std::pair<std::string, std::string>> notRun { { "X-Request-Id", id }, { "X-Not-Executed", "1" } };
        if (request.header("x-expect-instance") != state.id)
            return reply(fd, lock, 421, "", notRun);
        if (state.running >= slots)
            return reply(fd, lock, 503, "", notRun);
        constexpr int tokensPerEvent = 5;
        const auto counts = request.header("x-token-counts");
        const int events = std::max(1, std::atoi(counts.c_str() + counts.find(',') + 1) / tokensPerEvent);
        const int after = std::atoi(request.header("last-event-id").c_str());
        ++state.running;
        ++runs;
        auto last = m_step;
        bool isComplete = true;
        bool hasBegun = false;
        for (int number = after + 1; number <= events && isComplete; ++number) {
            while (m_step <= last && isComplete) {
                m_changed.wait_for(lock, std::chrono::milliseconds(20));
                isComplete = !hasPeerLeft(fd);
            }
            last = m_step;
            if (!isComplete)
                break;
            const std::string event = "id: " + std::to_string(number) + "\ndata: " + id + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx", event.size());
            std::string bytes;
            if (!hasBegun)
                bytes = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + id
                    + "\r\nX-Response-Stamp: s." + id + "\r\nTransfer-Encoding: chunked\r\n\r\n";
            hasBegun = true;
            bytes += std::string(size) + "\r\n" + event + "\r\n";
            if (number == events)
                bytes += "0\r\n\r\n";
            lock.unlock();
            isComplete = sendAll(fd, bytes);
            lock.lock();
        }
        --state.running;
        if (onStreamEnd)
            onStreamEnd(id, isComplete);
        return isComplete;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<rank_state> m_ranks;
    std::uint64_t m_step = 0;
    std::atomic<int> m_hot { 0 };
    std::atomic<double> m_passMs { 30 };
    double m_lateBy = 0;
    server m_server;
};

// What the operator writes to `op/config` for one service of engines and one route to it.
inline json engineConfiguration(int version)
{
    return { { "version", version },
        { "routes",
            { { { "name", "r-1" }, { "host", "front.example" }, { "path_prefix", "/draft/" }, { "kind", "streaming" },
                { "resumable", true }, { "timeout_ms", 8000 }, { "target_latency_ms", 400 }, { "target_gap_ms", 120 },
                { "priority", 1 }, { "service", "engines" }, { "max_attempts", 2 }, { "public", true },
                { "sticky_sessions", true } } } },
        { "services",
            { { { "name", "engines" }, { "health_path", "/health" }, { "max_connections", 268 }, { "protocol", "h1" },
                { "tls", false },
                { "engine",
                    { { "slots", engine_group::slots }, { "kv_capacity_tokens", 372000 }, { "kv_token_bytes", 96256 },
                        { "link_mbps", 180000.0 }, { "stride", 1 }, { "models", { { { "name", "m" } } } },
                        { "step_ms", 20.0 }, { "per_seq_ms", 0.355 }, { "context_per_k", 0.036 },
                        { "read_per_s", 61200.0 }, { "pairs_per_m", 0.325 }, { "chunk", 512 },
                        { "report_lag_ms", 200.0 }, { "usual", { { "prompt", 200 }, { "answer", 5 } } },
                        { "sets", engine_group::sets }, { "experts", engine_group::experts }, { "placements", 8 },
                        { "spare", 3 }, { "expert_mb", 1.0 }, { "expert_share", 0.85 }, { "form_ms", 600.0 } } } } } },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } } };
}

// What a rank's engine registers in `servers/ID`.
inline json registration(const network& net, const engine_group& group, int rank, int sequence)
{
    return { { "service", "engines" }, { "address", net.engine(rank).text() }, { "zone", "zone-a" }, { "version", "1" },
        { "slots", engine_group::slots }, { "state", "ready" }, { "cold_remaining_ms", 0 }, { "sequence", sequence },
        { "stage", "both" }, { "born", group.bornOf(rank) } };
}

// Registers the engines again every 1.2 s, as workers do.
inline void startHeartbeats(store& rows, const network& net, const engine_group& group)
{
    std::thread([&rows, net, &group] {
        for (int sequence = 1;; ++sequence) {
            for (int rank = 0; rank < group.size(); ++rank)
                rows.put("servers", group.idOf(rank), registration(net, group, rank, sequence).dump());
            sleepMs(1200);
        }
    }).detach();
}

// Callers that send streaming requests to a gateway, one after the other, each on a connection of its own.
class callers {
public:
    void start(const address& gateway, int count, double pauseMs)
    {
        for (int i = 0; i < count; ++i) {
            std::thread([this, gateway, pauseMs] {
                while (!m_stopped) {
                    if (!m_paused)
                        call(gateway);
                    sleepMs(pauseMs);
                }
            }).detach();
        }
    }
    void pause(bool paused) { m_paused = paused; }
    void stop() { m_stopped = true; }
    std::atomic<int> sent { 0 };
    std::atomic<int> served { 0 };
    std::atomic<int> refused { 0 };
    std::atomic<int> failed { 0 };

private:
    void call(const address& gateway)
    {
        const int fd = connectTo(gateway);
        if (fd < 0) {
            ++failed;
            return;
        }
        char id[32];
        std::snprintf(id, sizeof id, "c%08d", ++sent);
        const std::string body = "{\"prompt\":\"p\"}";
        sendAll(fd, "POST /draft/2f HTTP/1.1\r\nHost: front.example\r\nX-Request-Id: " + std::string(id)
                + "\r\nX-Model-Name: m\r\nX-Token-Counts: 200,25\r\nX-Prompt-Prefix: 5c1e07a2:40," + id
                + ":160\r\nX-Deadline-Ms: 8000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        reader from(fd);
        message answer;
        constexpr int patienceMs = 2000;
        if (from.readHead(answer, patienceMs) && from.readBody(answer, patienceMs))
            ++(answer.status() == 200 ? served : answer.status() == 503 ? refused : failed);
        else
            ++failed;
        ::close(fd);
    }

    std::atomic<bool> m_paused { false };
    std::atomic<bool> m_stopped { false };
};

} // namespace world
