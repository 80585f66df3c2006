// Sends a load to running daemons over HTTP: keyed requests, retried through any entry VM. Checks every answer against
// its request, queries the engine stand-ins for how often each request ran, and prints figures in the format of
// `coltsfootbend_measure`. With --direct it also measures the same requests sent directly to an engine stand-in.

#include "coltsfootbend/base/hash.h"
#include "coltsfootbend/measure/scenario.h"
#include "coltsfootbend/net/http.h"

#include <cxxopts.hpp>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

namespace coltsfootbend {

namespace {

using namespace std::chrono_literals;
using json = nlohmann::json;

constexpr auto attemptLimit = 2s;
constexpr int maxAttempts = 12;

struct load_options {
    std::vector<endpoint> entries;
    std::vector<endpoint> engines;
    std::optional<endpoint> direct;
    std::size_t requests = 1000;
    std::size_t concurrency = 32;
    int tokens = 4;
    std::string key;
    std::string label;
    bool keyed = true;
};

struct load_counts {
    std::size_t answered = 0;
    std::size_t notRun = 0;
    std::size_t unknown = 0;
    std::size_t attempts = 0;
    std::size_t mispaired = 0;
    std::vector<double> latencyMs;
    std::vector<double> directMs;
    std::vector<std::string> reportedNotRun;
};

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

class load_run {
public:
    load_run(fiber_runtime& runtime, const load_options& options)
        : m_runtime(runtime)
        , m_options(options)
        , m_client(runtime)
        , m_random(stableHash(options.label))
    {
    }

    void run()
    {
        for (std::size_t i = 0; i < m_options.concurrency; ++i) {
            ++m_running;
            m_runtime.spawn([this] {
                while (m_next < m_options.requests)
                    sendOne(m_next++);
                if (--m_running == 0)
                    finish();
            });
        }
    }

    load_counts counts;
    std::map<std::string, int> runs;

private:
    json messagesOf(std::size_t index) const
    {
        return json::array({ { { "role", "user" }, { "content", m_options.label + "-" + std::to_string(index) } } });
    }

    http_request requestFor(std::size_t index, int attempt) const
    {
        const json body { { "model", "draft-1" }, { "messages", messagesOf(index) },
            { "max_tokens", m_options.tokens } };
        http_request request { .method = "POST",
            .target = "/v1/chat/completions",
            .headers = { { "Authorization", "Bearer " + m_options.key }, { "Content-Type", "application/json" },
                { "Coltsfootbend-Timeout-Ms", std::to_string(attemptLimit / 1ms) } },
            .body = body.dump() };
        if (m_options.keyed) {
            request.headers.push_back({ "Idempotency-Key", m_options.label + "-" + std::to_string(index) });
            request.headers.push_back({ "Coltsfootbend-Attempt", std::to_string(attempt) });
        }
        return request;
    }

    void sendOne(std::size_t index)
    {
        if (m_options.direct)
            sendDirect(index);
        const auto startedAt = clock_type::now();
        for (int attempt = 1; attempt <= maxAttempts; ++attempt) {
            ++counts.attempts;
            const auto& entry = m_options.entries[m_random() % m_options.entries.size()];
            const auto response
                = m_client.send(entry, requestFor(index, attempt), clock_type::now() + attemptLimit + 500ms);
            if (response && response->head.status == 200) {
                counts.latencyMs.push_back(toMilliseconds(clock_type::now() - startedAt));
                check(index, response->body);
                return;
            }
            const auto reportedOutcome
                = response ? findHeader(response->head.headers, "Coltsfootbend-Outcome").value_or("") : "";
            const bool last = attempt == maxAttempts || (!m_options.keyed && reportedOutcome != "not-run");
            if (last) {
                settle(index, reportedOutcome);
                return;
            }
            m_runtime.sleepFor(std::chrono::milliseconds(100 + m_random() % 200));
        }
    }

    void sendDirect(std::size_t index)
    {
        const auto startedAt = clock_type::now();
        auto request = requestFor(index, 1);
        const json other { { "messages", json::array({ "direct" }) }, { "max_tokens", m_options.tokens } };
        request.body = other.dump();
        if (m_client.send(*m_options.direct, request, clock_type::now() + attemptLimit))
            counts.directMs.push_back(toMilliseconds(clock_type::now() - startedAt));
    }

    void check(std::size_t index, const std::string& body)
    {
        ++counts.answered;
        auto expected = "answer-to-" + std::to_string(stableHash(messagesOf(index).dump()));
        for (int i = 1; i < m_options.tokens; ++i)
            expected += " t" + std::to_string(i);
        const auto answer = json::parse(body, nullptr, false);
        const bool isRight = answer.is_object() && answer.contains("choices")
            && answer["choices"][0]["message"]["content"] == expected;
        if (!isRight)
            ++counts.mispaired;
    }

    void settle(std::size_t index, const std::string& reportedOutcome)
    {
        if (reportedOutcome == "not-run") {
            ++counts.notRun;
            counts.reportedNotRun.push_back(messagesOf(index).dump());
        } else {
            ++counts.unknown;
        }
    }

    void finish()
    {
        m_runtime.sleepFor(200ms);
        for (const auto& engine : m_options.engines) {
            const auto got = m_client.send(engine,
                { .method = "GET", .target = "/standin/runs", .headers = {}, .body = {} }, clock_type::now() + 5s);
            const auto listed = got ? json::parse(got->body, nullptr, false) : json();
            if (!listed.is_object()) {
                std::cerr << "coltsfootbend_load: the engine stand-in at " << toString(engine) << " does not answer\n";
                continue;
            }
            for (const auto& [prompt, count] : listed.items())
                runs[prompt] += count.get<int>();
        }
        m_runtime.stop();
    }

    fiber_runtime& m_runtime;
    const load_options m_options;
    http_client m_client;
    std::mt19937_64 m_random;
    std::size_t m_next = 0;
    std::size_t m_running = 0;
};

// Prints the figures. Returns whether no request ran twice, got another's answer or was falsely reported as not run.
bool report(const load_options& options, load_run& load)
{
    figure_writer out("processes." + options.label, std::cout);
    auto& counts = load.counts;
    std::size_t doubled = 0;
    for (const auto& [prompt, count] : load.runs)
        doubled += count > 1 && prompt.find(options.label) != std::string::npos ? 1 : 0;
    std::size_t falseNotRun = 0;
    for (const auto& prompt : counts.reportedNotRun)
        falseNotRun += load.runs.contains(prompt) ? 1 : 0;
    out.write("requests.tried", static_cast<double>(options.requests), "requests");
    out.write("requests.answered", static_cast<double>(counts.answered), "requests");
    out.write("requests.unknown", static_cast<double>(counts.unknown), "requests");
    out.write("requests.not_run", static_cast<double>(counts.notRun), "requests");
    out.write("requests.attempts", static_cast<double>(counts.attempts), "attempts");
    out.write("requests.mispaired", static_cast<double>(counts.mispaired), "requests");
    out.write("requests.doubled", static_cast<double>(doubled), "requests");
    out.write("requests.false_not_run", static_cast<double>(falseNotRun), "requests");
    out.write("latency.p50_ms", quantile(counts.latencyMs, 0.5), "ms");
    out.write("latency.p99_ms", quantile(counts.latencyMs, 0.99), "ms");
    if (!counts.directMs.empty()) {
        constexpr double stepMs = 6;
        for (const double share : { 0.5, 0.99 }) {
            const double added = quantile(counts.latencyMs, share) - quantile(counts.directMs, share);
            const std::string suffix = share == 0.5 ? ".p50" : ".p99";
            out.write("entry.added_latency_us" + suffix, added * 1000, "us", quantile(counts.directMs, share) * 1000,
                "the same request sent to the engine");
            out.write("entry.added_over_step" + suffix, added / stepMs, "of a 6 ms step");
        }
    }
    return counts.mispaired == 0 && doubled == 0 && falseNotRun == 0;
}

std::vector<endpoint> endpointsOf(const std::vector<std::string>& texts)
{
    std::vector<endpoint> parsed;
    for (const auto& text : texts) {
        const auto address = parseEndpoint(text);
        if (!address)
            throw std::invalid_argument(toString(address.error()));
        parsed.push_back(*address);
    }
    return parsed;
}

int runLoad(int argc, char** argv)
{
    using texts = std::vector<std::string>;
    cxxopts::Options options("coltsfootbend_load", "Sends a load to running daemons and checks what comes back");
    options.add_options()("entries", "callers' addresses of entry VMs", cxxopts::value<texts>())(
        "engines", "addresses of engine stand-ins, to count runs", cxxopts::value<texts>()->default_value(""))("direct",
        "an engine stand-in to time against",
        cxxopts::value<std::string>())("requests", "how many", cxxopts::value<std::size_t>()->default_value("1000"))(
        "concurrency", "how many at a time", cxxopts::value<std::size_t>()->default_value("32"))(
        "tokens", "tokens an answer", cxxopts::value<int>()->default_value("4"))(
        "key", "customer's key", cxxopts::value<std::string>()->default_value("designer-key"))(
        "label", "name of this run, unique for the engines", cxxopts::value<std::string>()->default_value("load"))(
        "unkeyed", "send no Idempotency-Key")("h,help", "print this");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0 || arguments.count("entries") == 0) {
        std::cout << options.help();
        return arguments.count("help") > 0 ? 0 : 2;
    }
    load_options load;
    load.entries = endpointsOf(arguments["entries"].as<texts>());
    if (arguments.count("engines") > 0)
        load.engines = endpointsOf(arguments["engines"].as<texts>());
    if (arguments.count("direct") > 0)
        load.direct = endpointsOf({ arguments["direct"].as<std::string>() }).front();
    load.requests = arguments["requests"].as<std::size_t>();
    load.concurrency = arguments["concurrency"].as<std::size_t>();
    load.tokens = arguments["tokens"].as<int>();
    load.key = arguments["key"].as<std::string>();
    load.label = arguments["label"].as<std::string>();
    load.keyed = arguments.count("unkeyed") == 0;
    fiber_runtime runtime;
    load_run run(runtime, load);
    run.run();
    runtime.run();
    return report(load, run) ? 0 : 1;
}

} // namespace

} // namespace coltsfootbend

int main(int argc, char** argv)
{
    try {
        return coltsfootbend::runLoad(argc, argv);
    } catch (const std::exception& exception) {
        std::cerr << "coltsfootbend_load: " << exception.what() << ". See --help\n";
        return 2;
    }
}
