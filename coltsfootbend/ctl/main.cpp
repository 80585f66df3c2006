// Command line tool for operators. Sends requests to the operators' address of any entry VM.

#include "coltsfootbend/base/text.h"
#include "coltsfootbend/config/configuration.h"
#include "coltsfootbend/net/http.h"

#include <boost/asio/ssl.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

namespace coltsfootbend {

namespace {

using json = nlohmann::json;

// Exit codes, as documented in docs/operators/CTL.md.
enum exit_code : int { // NOLINT(performance-enum-size)
    Done = 0,
    Refused = 1,
    Usage = 2,
    Unreachable = 3,
    StaleVersion = 4,
    NotKnown = 5,
};

constexpr std::chrono::seconds operationLimit { 10 };

constexpr const char* usage = R"(Commands:
  status                        this entry VM and the worker daemons it knows
  config show                   the configuration in force
  config patch FILE             apply a JSON merge patch (--against VERSION, --id ID)
  config history                accepted patches, with who and what was before (--from VERSION)
  config undo VERSION           a new patch that takes back one accepted version
  audit                         the same history, one line for each change
  drain VM                      ask one VM to finish what it has and stop
  metrics                       the metrics of this entry VM
  hash-key                      read a key from standard input and print its hash for the configuration

Exit codes: 0 done, 1 refused, 2 wrong usage, 3 unreachable, 4 written against an old version, 5 outcome unknown
)";

struct invocation {
    endpoint entry;
    std::string key;
    bool asJson = false;
    std::vector<std::string> words;
    std::optional<std::uint64_t> against;
    std::optional<std::uint64_t> from;
    std::string id;
    tls_context tls;
};

class control_client {
public:
    explicit control_client(const invocation& invocation)
        : m_invocation(invocation)
        , m_client(m_runtime, { .tls = invocation.tls })
    {
    }

    result<http_response> send(const std::string& method, const std::string& target, const std::string& body = {})
    {
        http_request request { .method = method, .target = target, .headers = {}, .body = body };
        if (!m_invocation.key.empty())
            request.headers.push_back({ "Authorization", "Bearer " + m_invocation.key });
        result<http_response> response = fail(error_kind::Internal, "no answer", "Report this");
        m_runtime.spawn([&] {
            response = m_client.send(m_invocation.entry, request, clock_type::now() + operationLimit);
            m_runtime.stop();
        });
        m_runtime.run();
        return response;
    }

    void again() { m_runtime.restart(); }

private:
    const invocation& m_invocation;
    fiber_runtime m_runtime;
    http_client m_client;
};

int exitFor(const error& error)
{
    std::cerr << "coltsfootbendctl: " << toString(error) << "\n";
    return error.kind == error_kind::Lost || error.kind == error_kind::TimedOut ? NotKnown : Unreachable;
}

int exitFor(int status)
{
    constexpr int conflict = 409;
    constexpr int gatewayTimeout = 504;
    if (status == conflict)
        return StaleVersion;
    return status == gatewayTimeout ? NotKnown : Refused;
}

// Sends a request, passes a successful answer to `print`, prints errors, and returns the exit code.
template <typename Print>
int call(control_client& client, const std::string& method, const std::string& target, const std::string& body,
    const Print& print)
{
    const auto response = client.send(method, target, body);
    if (!response)
        return exitFor(response.error());
    if (response->head.status == 200) {
        print(response->body);
        return Done;
    }
    const auto answer = json::parse(response->body, nullptr, false);
    if (!answer.is_object() || !answer.contains("error")) {
        std::cerr << "coltsfootbendctl: status " << response->head.status << "\n" << response->body;
        return exitFor(response->head.status);
    }
    std::cerr << "coltsfootbendctl: " << answer["error"].value("message", "") << ". "
              << answer["error"].value("remedy", "") << "\n";
    if (answer.contains("changes")) {
        for (const auto& step : answer["changes"])
            std::cerr << "  changed meanwhile: version " << step.value("version", 0) << " by "
                      << step.value("actor", "") << ": " << step["patch"].dump() << "\n";
    }
    return exitFor(response->head.status);
}

void printStatus(const json& status)
{
    std::cout << "entry VM " << status.value("vm", "") << " (" << status.value("data_centre", "") << ") "
              << status.value("state", "") << ", configuration " << status.value("configuration_version", 0)
              << ", in flight " << status.value("in_flight", 0) << ", oldest request "
              << status.value("oldest_request_ms", 0.0) << " ms, platform silent for "
              << status.value("platform_silent_ms", 0.0) << " ms\n";
    std::cout << std::left << std::setw(16) << "WORKER" << std::setw(12) << "STATE" << std::setw(16) << "DATA CENTRE"
              << std::setw(22) << "ADDRESS" << std::setw(8) << "SLOTS"
              << "PENDING MS\n";
    for (const auto& worker : status["workers"]) {
        std::cout << std::setw(16) << worker.value("vm", "") << std::setw(12) << worker.value("state", "")
                  << std::setw(16) << worker.value("data_centre", "") << std::setw(22) << worker.value("address", "")
                  << std::setw(8) << worker.value("slots", 0) << worker.value("pending_ms", 0.0) << "\n";
    }
}

void printHistory(const json& history)
{
    for (const auto& step : history["steps"])
        std::cout << "version " << step.value("version", 0) << " by " << step.value("actor", "") << " patch "
                  << step.value("id", "") << "\n  new " << step["patch"].dump() << "\n  old " << step["undo"].dump()
                  << "\n";
}

void printAudit(const json& history)
{
    for (const auto& step : history["steps"])
        std::cout << step.value("accepted_at_ms", std::uint64_t { 0 }) << "\t" << step.value("version", 0) << "\t"
                  << step.value("actor", "") << "\t" << step["patch"].dump() << "\t" << step["undo"].dump() << "\n";
}

std::string newPatchId()
{
    std::random_device device;
    std::ostringstream id;
    id << "ctl-" << std::hex << device() << device();
    return id.str();
}

result<json> readJsonFile(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    auto parsed = json::parse(text.str(), nullptr, false);
    if (!file || !parsed.is_object())
        return fail(error_kind::BadInput, "'" + path + "' holds no JSON object", "Give a file with a merge patch");
    return parsed;
}

int sendPatch(control_client& client, const invocation& invocation, const json& patch, std::uint64_t against)
{
    const auto id = invocation.id.empty() ? newPatchId() : invocation.id;
    const json body { { "against", against }, { "id", id }, { "patch", patch } };
    const int code = call(client, "PATCH", "/operator/v1/configuration", body.dump(), [&](const std::string& answer) {
        if (invocation.asJson)
            std::cout << answer;
        else
            std::cout << "accepted as version " << json::parse(answer).value("version", 0) << "\n";
    });
    if (code == NotKnown)
        std::cerr << "coltsfootbendctl: to learn the outcome, send it again with --id " << id << "\n";
    return code;
}

int patchConfiguration(control_client& client, const invocation& invocation)
{
    if (invocation.words.size() != 3 || !invocation.against) {
        std::cerr << "coltsfootbendctl: give the patch file and --against VERSION (see 'config show')\n";
        return Usage;
    }
    const auto patch = readJsonFile(invocation.words[2]);
    if (!patch) {
        std::cerr << "coltsfootbendctl: " << toString(patch.error()) << "\n";
        return Usage;
    }
    return sendPatch(client, invocation, *patch, *invocation.against);
}

int undo(control_client& client, const invocation& invocation)
{
    if (invocation.words.size() != 3) {
        std::cerr << "coltsfootbendctl: name the version to take back\n";
        return Usage;
    }
    const auto& version = invocation.words[2];
    json history;
    const int code = call(client, "GET", "/operator/v1/history?from=" + percentEncoded(version), "",
        [&](const std::string& answer) { history = json::parse(answer); });
    if (code != Done)
        return code;
    if (history["steps"].empty() || std::to_string(history["steps"][0].value("version", 0)) != version) {
        std::cerr << "coltsfootbendctl: there is no version " << version << "\n";
        return Refused;
    }
    const auto latest = history["steps"].back().value("version", std::uint64_t { 0 });
    client.again();
    return sendPatch(client, invocation, history["steps"][0]["undo"], invocation.against.value_or(latest));
}

int hashKey()
{
    std::string key;
    std::getline(std::cin, key);
    std::cout << sha256Hex(key) << "\n";
    return Done;
}

int runCommand(const invocation& invocation)
{
    const auto word
        = [&](std::size_t index) { return index < invocation.words.size() ? invocation.words[index] : std::string(); };
    if (word(0) == "hash-key")
        return hashKey();
    control_client client(invocation);
    const auto show = [&](void (*print)(const json&)) {
        return [&invocation, print](const std::string& answer) {
            if (invocation.asJson)
                std::cout << answer;
            else
                print(json::parse(answer));
        };
    };
    const auto raw = [](const std::string& answer) { std::cout << answer; };
    const auto from = "/operator/v1/history?from=" + std::to_string(invocation.from.value_or(1));
    if (word(0) == "status")
        return call(client, "GET", "/operator/v1/status", "", show(printStatus));
    if (word(0) == "config" && word(1) == "show")
        return call(client, "GET", "/operator/v1/configuration", "", raw);
    if (word(0) == "config" && word(1) == "patch")
        return patchConfiguration(client, invocation);
    if (word(0) == "config" && word(1) == "history")
        return call(client, "GET", from, "", show(printHistory));
    if (word(0) == "config" && word(1) == "undo")
        return undo(client, invocation);
    if (word(0) == "audit")
        return call(client, "GET", from, "", show(printAudit));
    if (word(0) == "metrics")
        return call(client, "GET", "/metrics", "", raw);
    if (word(0) == "drain" && invocation.words.size() == 2)
        return call(client, "POST", "/operator/v1/drain", json { { "vm", word(1) } }.dump(), raw);
    std::cerr << "coltsfootbendctl: no such command\n" << usage;
    return Usage;
}

int runControl(int argc, char** argv)
{
    cxxopts::Options options("coltsfootbendctl", "Looks at and changes a running coltsfootbend system");
    options.positional_help("COMMAND");
    options.add_options()(
        "e,entry", "operators' address of an entry VM", cxxopts::value<std::string>()->default_value("127.0.0.1:8081"))(
        "k,key", "operator's key; better in COLTSFOOTBEND_KEY", cxxopts::value<std::string>()->default_value(""))(
        "json", "print JSON")("authority", "file of the authority that signed the entry VM's certificate; uses TLS",
        cxxopts::value<std::string>())("against", "the version that the patch is written against",
        cxxopts::value<std::uint64_t>())("from", "first version to list", cxxopts::value<std::uint64_t>())("id",
        "the patch's own id; send it again to learn a lost outcome", cxxopts::value<std::string>()->default_value(""))(
        "h,help", "print this")("command", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("command");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0 || arguments.count("command") == 0) {
        std::cout << options.help({ "" }) << "\n" << usage;
        return arguments.count("help") > 0 ? Done : Usage;
    }
    invocation invocation;
    const auto entry = parseEndpoint(arguments["entry"].as<std::string>());
    if (!entry) {
        std::cerr << "coltsfootbendctl: --entry: " << toString(entry.error()) << "\n";
        return Usage;
    }
    invocation.entry = *entry;
    invocation.key = arguments["key"].as<std::string>();
    if (const char* key = std::getenv("COLTSFOOTBEND_KEY"); key && invocation.key.empty())
        invocation.key = key;
    invocation.asJson = arguments.count("json") > 0;
    invocation.words = arguments["command"].as<std::vector<std::string>>();
    if (arguments.count("against") > 0)
        invocation.against = arguments["against"].as<std::uint64_t>();
    if (arguments.count("from") > 0)
        invocation.from = arguments["from"].as<std::uint64_t>();
    invocation.id = arguments["id"].as<std::string>();
    if (arguments.count("authority") > 0) {
        invocation.tls = std::make_shared<boost::asio::ssl::context>(boost::asio::ssl::context::tls_client);
        invocation.tls->load_verify_file(arguments["authority"].as<std::string>());
        invocation.tls->set_verify_mode(boost::asio::ssl::verify_peer);
    }
    return runCommand(invocation);
}

} // namespace

} // namespace coltsfootbend

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return coltsfootbend::runControl(argc, argv);
    } catch (const std::exception& exception) {
        std::cerr << "coltsfootbendctl: " << exception.what() << ". See --help\n";
        return 2;
    }
}
