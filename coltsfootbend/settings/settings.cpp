#include "coltsfootbend/settings/settings.h"

#include "coltsfootbend/base/input_file.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>
#include <stdexcept>
#include <utility>

namespace {

[[noreturn]] void refuseToml() { throw std::logic_error("the TOML is not understood"); }

} // namespace

// The TOML library checks some of its input by assertions only. They stay on and throw, so that such input is refused.
#undef NDEBUG
#define TOML_ASSERT(condition) ((condition) ? static_cast<void>(0) : refuseToml())
#include <toml++/toml.h>

namespace coltsfootbend {

namespace {

constexpr std::int64_t mebibyte = std::int64_t { 1024 } * 1024;

bool isEmptyText(const toml::node& node) { return node.is_string() && node.value<std::string>()->empty(); }

// Returns the number that is the whole of `text`.
template <typename Number> std::optional<Number> numberIn(const std::string& text)
{
    Number value {};
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    return code == std::errc {} && end == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

// An error in the settings, and whether a process can start in spite of it.
struct settings_issue {
    error what;
    bool isOptional = false;
};

// Reads the keys of one table and collects the errors in them.
class table_reader {
public:
    table_reader(const toml::table& table, std::string path, std::vector<settings_issue>& issues)
        : m_table(table)
        , m_path(std::move(path))
        , m_issues(issues)
    {
    }

    std::string text(const std::string& key, bool required = true, std::string fallback = {})
    {
        const auto* node = findNode(key, required, "Set it to a text in double quotes");
        if (!node)
            return fallback;
        if (const auto value = node->value<std::string>(); value && !value->empty())
            return *value;
        add({ key, node, "must be a text that is not empty", "Write it in double quotes" }, !required);
        return fallback;
    }

    endpoint address(const std::string& key, bool required = true)
    {
        const auto value = text(key, required);
        if (value.empty())
            return {};
        auto parsed = parseEndpoint(value);
        if (parsed)
            return *parsed;
        addError(key, m_table.get(key), parsed.error().message, parsed.error().remedy);
        return {};
    }

    // Numbers may be texts, so that a template can fill in a value that may be missing: an empty text is left out.
    double fraction(const std::string& key, double fallback, double least, double most)
    {
        const auto* node = findNode(key, false, "");
        if (!node)
            return fallback;
        if (isEmptyText(*node))
            return fallback;
        const auto value = node->is_string() ? numberIn<double>(*node->value<std::string>()) : node->value<double>();
        if (value && *value >= least && *value <= most)
            return *value;
        add({ key, node, "must be a number from " + std::to_string(least) + " to " + std::to_string(most),
                "Change it, or leave it out for " + std::to_string(fallback) },
            true);
        return fallback;
    }

    std::vector<endpoint> addresses(const std::string& key)
    {
        std::vector<endpoint> values;
        const auto* node = findNode(key, false, "");
        const auto* array = node ? node->as_array() : nullptr;
        if (node && !array)
            add({ key, node, "must be a list of addresses", "Write it as [\"10.0.0.1:80\"]" }, true);
        for (std::size_t i = 0; array && i < array->size(); ++i) {
            auto parsed = parseEndpoint(array->get(i)->value<std::string>().value_or(""));
            if (parsed)
                values.push_back(*parsed);
            else
                add({ key, node, parsed.error().message, parsed.error().remedy }, true);
        }
        return values;
    }

    std::int64_t number(const std::string& key, std::int64_t fallback, std::int64_t least, std::int64_t most)
    {
        const auto* node = findNode(key, false, "");
        if (!node)
            return fallback;
        if (isEmptyText(*node))
            return fallback;
        const auto value = node->is_string() ? numberIn<std::int64_t>(*node->value<std::string>())
                                             : node->value_exact<std::int64_t>();
        if (value && *value >= least && *value <= most)
            return *value;
        add({ key, node, "must be a whole number from " + std::to_string(least) + " to " + std::to_string(most),
                "Change it, or leave it out for " + std::to_string(fallback) },
            true);
        return fallback;
    }

    std::vector<std::string> texts(const std::string& key, bool required = true)
    {
        std::vector<std::string> values;
        const auto* node = findNode(key, required, "Set it to a list of texts");
        if (!node)
            return values;
        const auto* array = node->as_array();
        for (std::size_t i = 0; array && i < array->size(); ++i) {
            if (const auto value = array->get(i)->value<std::string>())
                values.push_back(*value);
        }
        if (!array || values.size() != array->size() || values.empty())
            addError(key, node, "must be a list of texts that is not empty", "Write it as [\"a\", \"b\"]");
        return values;
    }

    // Reads a table of which all values are texts.
    std::map<std::string, std::string> textsByKey(const std::string& key)
    {
        std::map<std::string, std::string> values;
        const auto* node = findNode(key, false, "");
        const auto* entries = node ? node->as_table() : nullptr;
        bool isValid = !node || entries;
        for (auto entry = entries ? entries->begin() : toml::table::const_iterator();
             entries && entry != entries->end(); ++entry) {
            const auto value = entry->second.value_exact<std::string>();
            isValid = isValid && value && !value->empty();
            if (value)
                values.emplace(entry->first.str(), *value);
        }
        if (!isValid)
            add({ key, node, "must be a table of texts that are not empty", "Write each entry as name = \"text\"" },
                true);
        return values;
    }

    std::optional<table_reader> table(const std::string& key)
    {
        const auto* node = findNode(key, false, "");
        if (!node)
            return std::nullopt;
        if (const auto* found = node->as_table())
            return table_reader(*found, m_path + key + ".", m_issues);
        addError(key, node, "must be a table", "Write it as [" + m_path + key + "]");
        return std::nullopt;
    }

    std::vector<table_reader> tables(const std::string& key)
    {
        std::vector<table_reader> readers;
        const auto* node = findNode(key, false, "");
        const auto* array = node ? node->as_array() : nullptr;
        for (std::size_t i = 0; array && i < array->size(); ++i) {
            if (const auto* found = array->get(i)->as_table())
                readers.emplace_back(*found, m_path + key + ".", m_issues);
        }
        if (node && (!array || readers.size() != array->size()))
            addError(key, node, "must be a list of tables", "Write each as [[" + m_path + key + "]]");
        return readers;
    }

    void addError(const std::string& key, const toml::node* node, const std::string& what, std::string remedy)
    {
        add({ key, node, what, std::move(remedy) }, false);
    }

    // Lets no process start with an error in this table, even in an optional setting.
    void makeStrict() { m_isStrict = true; }

    // Reports the keys that were not read, which are most likely misspelt. Call last.
    void rejectUnknownKeys()
    {
        for (const auto& [key, node] : m_table) {
            const std::string name(key.str());
            if (!m_known.contains(name))
                add({ name, &node, "is not a setting", "Remove it, or correct its spelling" }, true);
        }
    }

private:
    struct complaint {
        std::string key;
        const toml::node* node = nullptr;
        std::string what;
        std::string remedy;
    };

    void add(complaint complaint, bool isOptional)
    {
        const auto line = complaint.node ? complaint.node->source().begin.line : m_table.source().begin.line;
        m_issues.push_back(
            { { error_kind::BadInput,
                  "line " + std::to_string(line) + ": '" + m_path + complaint.key + "' " + complaint.what,
                  std::move(complaint.remedy) },
                isOptional && !m_isStrict });
    }

    const toml::node* findNode(const std::string& key, bool required, std::string remedy)
    {
        m_known.insert(key);
        const auto* node = m_table.get(key);
        if (!node && required)
            addError(key, nullptr, "is missing", std::move(remedy));
        return node;
    }

    const toml::table& m_table;
    const std::string m_path;
    std::vector<settings_issue>& m_issues;
    bool m_isStrict = false;
    std::set<std::string> m_known;
};

std::optional<tls_settings> readTls(table_reader& parent, const std::string& key)
{
    auto reader = parent.table(key);
    if (!reader)
        return std::nullopt;
    reader->makeStrict(); // A default in place of what was meant could leave peers unverified.
    tls_settings tls { reader->text("certificate"), reader->text("key"), reader->text("authority", false) };
    reader->rejectUnknownKeys();
    return tls;
}

entry_settings readEntry(table_reader& reader)
{
    entry_settings entry;
    entry.callers = reader.address("callers");
    entry.operators = reader.address("operators");
    entry.callerTls = readTls(reader, "tls");
    entry.maxConnections = static_cast<std::size_t>(reader.number("max_connections", 4096, 1, 65'536));
    entry.maxRequests = static_cast<std::size_t>(reader.number("max_requests", 4096, 1, 65'536));
    entry.maxBodyBytes = static_cast<std::size_t>(reader.number("max_body_bytes", 4 * mebibyte, 1024, 64 * mebibyte));
    entry.defaultTimeout = std::chrono::milliseconds(reader.number("default_timeout_ms", 60'000, 100, 600'000));
    reader.rejectUnknownKeys();
    return entry;
}

worker_settings readWorker(table_reader& reader)
{
    worker_settings worker;
    worker.backend = reader.address("backend");
    const auto kind = reader.text("kind", false, "engine");
    if (kind != "engine" && kind != "plain")
        reader.addError("kind", nullptr, "must be \"engine\" or \"plain\"", "Choose one of the two");
    worker.kind = kind == "plain" ? backend_kind::Plain : backend_kind::Engine;
    for (auto& id : reader.texts("deployments"))
        worker.deployments.emplace_back(std::move(id));
    worker.slots = static_cast<std::size_t>(reader.number("slots", 16, 1, 4096));
    worker.maxWaiting = static_cast<std::size_t>(reader.number("max_waiting", 256, 0, 65'536));
    worker.maxAnswerBytes
        = static_cast<std::size_t>(reader.number("max_answer_bytes", 48 * mebibyte, mebibyte, 1024 * mebibyte));
    reader.rejectUnknownKeys();
    return worker;
}

gateway_settings readGateway(table_reader& reader)
{
    gateway_settings gateway;
    gateway.callers = reader.address("callers");
    gateway.health = reader.address("health");
    gateway.maxConnections = static_cast<std::size_t>(reader.number("max_connections", 2048, 1, 65'536));
    gateway.retries.ratio = reader.fraction("retry_ratio", 0.1, 0, 1);
    gateway.retries.window = fromMilliseconds(1000 * reader.fraction("retry_window_s", 10, 0.1, 3600));
    gateway.retries.extra = reader.fraction("retry_extra", 10, 0, 1e6);
    gateway.guaranteedPart = reader.fraction("guaranteed_part", 0.6, 0, 0.9);
    gateway.bufferBytes
        = static_cast<std::size_t>(reader.number("buffer_bytes", 48 * mebibyte, mebibyte, 16'384 * mebibyte));
    reader.rejectUnknownKeys();
    return gateway;
}

rank_agent_settings readRankAgent(table_reader& reader)
{
    rank_agent_settings agent;
    agent.engine = reader.address("engine");
    agent.gainPerGigabyte = reader.fraction("gain_per_gigabyte", 0.012, 0, 1000);
    reader.rejectUnknownKeys();
    return agent;
}

peer_settings readPeer(table_reader& reader)
{
    peer_settings peer { vm_id(reader.text("id")), data_centre_id(reader.text("data_centre")),
        reader.address("address") };
    reader.rejectUnknownKeys();
    return peer;
}

void readStandins(table_reader& root, daemon_settings& settings)
{
    auto reader = root.table("standin");
    if (!reader)
        return;
    if (const auto address = reader->address("platform", false); address.port != 0)
        settings.platformStandin = address;
    if (auto engine = reader->table("engine")) {
        settings.engineStandin = engine_standin_settings { engine->address("address"),
            std::chrono::milliseconds(engine->number("step_ms", 6, 1, 1000)),
            static_cast<std::size_t>(engine->number("slots", 16, 1, 4096)) };
        engine->rejectUnknownKeys();
    }
    reader->rejectUnknownKeys();
}

void checkWhole(const daemon_settings& settings, table_reader& root)
{
    const bool isOnDeployment = settings.gateway || settings.rankAgent;
    if (!settings.entry && !settings.worker && !settings.platformStandin && !settings.engineStandin && !isOnDeployment)
        root.addError("entry", nullptr, "and 'worker' are both missing", "Add a table [entry] or [worker]");
    if (isOnDeployment && !settings.deploymentStore)
        root.addError("deployment_store", nullptr, "is missing", "Give the address of the platform's store");
    if (isOnDeployment && settings.peers.port == 0)
        root.addError("peers", nullptr, "is missing", "Give the address at which other processes reach this one");
    if ((settings.entry || settings.worker) && settings.entries.empty())
        root.addError("entries", nullptr, "is missing", "Name every entry VM in a table [[entries]]");
    if (settings.entry && !settings.platform)
        root.addError("platform", nullptr, "is missing", "Give the address of the platform's service");
}

limit_settings readLimits(table_reader& root)
{
    auto reader = root.table("limits");
    if (!reader)
        return {};
    limit_settings limits;
    if (const auto megabytes = reader->number("memory_mb", 0, 16, 1'048'576); megabytes > 0)
        limits.memoryBytes = static_cast<std::size_t>(megabytes * mebibyte);
    if (const auto descriptors = reader->number("file_descriptors", 0, 16, 1'048'576); descriptors > 0)
        limits.descriptors = static_cast<std::size_t>(descriptors);
    reader->rejectUnknownKeys();
    return limits;
}

daemon_settings readSettings(const toml::table& table, std::vector<settings_issue>& issues)
{
    table_reader root(table, "", issues);
    daemon_settings settings;
    settings.vm = vm_id(root.text("vm"));
    settings.dataCentre = data_centre_id(root.text("data_centre"));
    settings.peers = root.address("peers", false);
    settings.peerTls = readTls(root, "peer_tls");
    for (auto& reader : root.tables("entries"))
        settings.entries.push_back(readPeer(reader));
    if (const auto address = root.address("platform", false); address.port != 0)
        settings.platform = address;
    if (auto reader = root.table("entry"))
        settings.entry = readEntry(*reader);
    if (auto reader = root.table("worker"))
        settings.worker = readWorker(*reader);
    if (auto reader = root.table("gateway"))
        settings.gateway = readGateway(*reader);
    if (auto reader = root.table("rank_agent"))
        settings.rankAgent = readRankAgent(*reader);
    if (const auto address = root.address("deployment_store", false); address.port != 0)
        settings.deploymentStore = address;
    settings.peerHints = root.addresses("peer_hints");
    for (auto& [dataCentre, region] : root.textsByKey("regions"))
        settings.regions.emplace(data_centre_id(dataCentre), region_id(region));
    readStandins(root, settings);
    settings.limits = readLimits(root);
    settings.logDirectory = root.text("log_directory", false);
    settings.firstConfigurationFile = root.text("first_configuration", false);
    settings.drainLimit = std::chrono::milliseconds(root.number("drain_limit_ms", 120'000, 0, 3'600'000));
    // `drain_limit_s` is the same limit in seconds and takes precedence.
    if (const double seconds = root.fraction("drain_limit_s", 0, 0, 3600); seconds > 0)
        settings.drainLimit = std::chrono::milliseconds(std::lround(seconds * 1000));
    settings.keyLifetime = std::chrono::milliseconds(root.number("key_lifetime_ms", 600'000, 1000, 86'400'000));
    checkWhole(settings, root);
    root.rejectUnknownKeys();
    return settings;
}

tl::expected<toml::table, error> parseToml(std::string_view text)
{
    try {
        return toml::parse(text);
    } catch (const toml::parse_error& problem) {
        return tl::unexpected(error { error_kind::BadInput,
            "line " + std::to_string(problem.source().begin.line) + ": " + std::string(problem.description()),
            "Correct the TOML" });
    } catch (const std::logic_error& problem) {
        return tl::unexpected(error { error_kind::BadInput, problem.what(), "Correct the TOML" });
    }
}

} // namespace

tl::expected<start_settings, std::vector<error>> parseStartSettings(std::string_view toml)
{
    const auto table = parseToml(toml);
    if (!table)
        return tl::unexpected(std::vector<error> { table.error() });
    std::vector<settings_issue> issues;
    start_settings read { .settings = readSettings(*table, issues), .replaced = {} };
    const bool canStart
        = std::all_of(issues.begin(), issues.end(), [](const settings_issue& issue) { return issue.isOptional; });
    for (auto& issue : issues)
        read.replaced.push_back(std::move(issue.what));
    if (!canStart)
        return tl::unexpected(std::move(read.replaced));
    return read;
}

tl::expected<start_settings, std::vector<error>> loadStartSettings(const std::string& path)
{
    const auto text = readInputFile(path, maxSettingsBytes);
    if (!text)
        return tl::unexpected(std::vector<error> { text.error() });
    return parseStartSettings(*text);
}

tl::expected<daemon_settings, std::vector<error>> parseSettings(std::string_view toml)
{
    auto read = parseStartSettings(toml);
    if (!read)
        return tl::unexpected(std::move(read.error()));
    if (!read->replaced.empty())
        return tl::unexpected(std::move(read->replaced));
    return std::move(read->settings);
}

tl::expected<daemon_settings, std::vector<error>> loadSettings(const std::string& path)
{
    const auto text = readInputFile(path, maxSettingsBytes);
    if (!text)
        return tl::unexpected(std::vector<error> { text.error() });
    return parseSettings(*text);
}

std::string takeReloadable(daemon_settings& current, const daemon_settings& next)
{
    std::string needRestart;
    const auto note = [&](const char* name, bool differs) {
        if (differs)
            needRestart += (needRestart.empty() ? "" : ",") + std::string(name);
    };
    note("vm", current.vm != next.vm);
    note("data_centre", current.dataCentre != next.dataCentre);
    note("peers", current.peers != next.peers);
    note("regions", current.regions != next.regions);
    note("deployment_store", current.deploymentStore != next.deploymentStore);
    note("gateway", current.gateway.has_value() != next.gateway.has_value());
    note("rank_agent", current.rankAgent.has_value() != next.rankAgent.has_value());
    if (current.gateway && next.gateway) {
        note("gateway.callers", current.gateway->callers != next.gateway->callers);
        note("gateway.health", current.gateway->health != next.gateway->health);
        current.gateway->retries = next.gateway->retries;
        current.gateway->bufferBytes = next.gateway->bufferBytes;
        current.gateway->guaranteedPart = next.gateway->guaranteedPart;
    }
    if (current.rankAgent && next.rankAgent) {
        note("rank_agent.engine", current.rankAgent->engine != next.rankAgent->engine);
        current.rankAgent->gainPerGigabyte = next.rankAgent->gainPerGigabyte;
    }
    current.drainLimit = next.drainLimit;
    return needRestart;
}

} // namespace coltsfootbend
