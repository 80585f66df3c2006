#include "coltsfootbend/config/configuration.h"

#include "coltsfootbend/base/json_input.h"
#include "coltsfootbend/net/byte_stream.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <openssl/sha.h>
#include <set>
#include <sstream>
#include <utility>

namespace coltsfootbend {

namespace {

using json = nlohmann::json;

// Reads the fields of one JSON object and records the first error.
class object_reader {
public:
    object_reader(const json& object, std::string path, std::optional<error>& problem)
        : m_object(object)
        , m_path(std::move(path))
        , m_problem(problem)
    {
        if (!object.is_object())
            addError("", "must be an object");
    }

    std::string text(const char* key, bool required = true)
    {
        const auto* value = findMember(key, required);
        if (!value)
            return {};
        if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
            addError(key, "must be a text that is not empty");
            return {};
        }
        return value->get<std::string>();
    }

    double number(const char* key, double fallback, double least, double most)
    {
        const auto* value = findMember(key, false);
        if (!value)
            return fallback;
        if (value->is_number() && value->get<double>() >= least && value->get<double>() <= most)
            return value->get<double>();
        std::ostringstream range;
        range << "must be a number from " << least << " to " << most;
        addError(key, range.str());
        return fallback;
    }

    bool flag(const char* key)
    {
        const auto* value = findMember(key, false);
        if (value && !value->is_boolean())
            addError(key, "must be true or false");
        return value && value->is_boolean() && value->get<bool>();
    }

    std::vector<vm_id> vms(const char* key)
    {
        std::vector<vm_id> ids;
        const auto* value = findMember(key, false);
        if (!value)
            return ids;
        if (!value->is_array()) {
            addError(key, "must be a list of VM ids");
            return ids;
        }
        for (const auto& item : *value) {
            if (item.is_string())
                ids.emplace_back(item.get<std::string>());
            else
                addError(key, "must hold texts only");
        }
        return ids;
    }

    template <typename Visit> void each(const char* key, const Visit& visit)
    {
        const auto* value = findMember(key, false);
        if (!value)
            return;
        if (!value->is_object()) {
            addError(key, "must be an object with one member for each id");
            return;
        }
        for (const auto& [id, member] : value->items()) {
            object_reader reader(member, m_path + "/" + key + "/" + id, m_problem);
            visit(id, reader);
            reader.rejectUnknownKeys();
        }
    }

    void addError(const std::string& key, const std::string& what)
    {
        if (!m_problem) {
            m_problem = error { error_kind::BadInput, m_path + (key.empty() ? "" : "/" + key) + " " + what,
                "Correct the patch and send it again; nothing was changed" };
        }
    }

    void rejectUnknownKeys()
    {
        if (!m_object.is_object())
            return;
        for (const auto& [key, value] : m_object.items()) {
            if (!m_known.contains(key))
                addError(key, "is not known here");
        }
    }

private:
    const json* findMember(const char* key, bool required)
    {
        m_known.insert(key);
        if (m_object.is_object() && m_object.contains(key))
            return &m_object.at(key);
        if (required)
            addError(key, "is missing");
        return nullptr;
    }

    const json& m_object;
    const std::string m_path;
    std::optional<error>& m_problem;
    std::set<std::string> m_known;
};

std::string readHash(object_reader& reader)
{
    constexpr std::size_t hexDigits = 64;
    auto hash = reader.text("key_sha256");
    const bool isHex = std::all_of(hash.begin(), hash.end(),
        [](char digit) { return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f'); });
    if (!hash.empty() && (hash.size() != hexDigits || !isHex))
        reader.addError("key_sha256", "must be 64 lower-case hexadecimal digits (coltsfootbendctl hash-key)");
    return hash;
}

void readCustomers(object_reader& root, configuration& read)
{
    root.each("customers", [&](const std::string& id, object_reader& reader) {
        auto& customer = read.customers[customer_id(id)];
        customer.keySha256 = readHash(reader);
        customer.priority = static_cast<priority_class>(reader.number("priority", 0, 0, 15));
        customer.weight = reader.number("weight", 1, 0.01, 1000);
    });
}

void readDeployments(object_reader& root, configuration& read)
{
    root.each("deployments", [&](const std::string& id, object_reader& reader) {
        auto& deployment = read.deployments[deployment_id(id)];
        const auto kind = reader.text("kind");
        if (kind != "engine" && kind != "plain")
            reader.addError("kind", "must be \"engine\" or \"plain\"");
        deployment.kind = kind == "plain" ? deployment_kind::Plain : deployment_kind::Engine;
        const bool isPlain = deployment.kind == deployment_kind::Plain;
        deployment.model = reader.text("model", !isPlain);
        deployment.pathPrefix = reader.text("path_prefix", isPlain);
        if (isPlain && !deployment.pathPrefix.empty() && deployment.pathPrefix.front() != '/')
            reader.addError("path_prefix", "must start with '/'");
        deployment.idempotent = reader.flag("idempotent");
        deployment.expectedService = std::chrono::microseconds(
            static_cast<std::int64_t>(reader.number("expected_service_us", 6000, 1, 600e6)));
        deployment.workers = reader.vms("workers");
    });
}

void readWorkers(object_reader& root, configuration& read)
{
    root.each("workers", [&](const std::string& id, object_reader& reader) {
        auto& worker = read.workers[vm_id(id)];
        worker.address = reader.text("address");
        if (!worker.address.empty() && !parseEndpoint(worker.address))
            reader.addError("address", "must be an IP number and a port, such as 10.0.0.7:9000");
        worker.dataCentre = data_centre_id(reader.text("data_centre"));
        worker.checksOrders = reader.flag("checks_orders");
    });
}

void readOperators(object_reader& root, configuration& read)
{
    root.each("operators", [&](const std::string& id, object_reader& reader) {
        auto& known = read.operators[id];
        known.keySha256 = readHash(reader);
        const auto role = reader.text("role");
        if (role != "viewer" && role != "editor")
            reader.addError("role", "must be \"viewer\" or \"editor\"");
        known.role = role == "editor" ? operator_role::Editor : operator_role::Viewer;
    });
}

void readEvents(object_reader& root, configuration& read)
{
    root.each("events", [&](const std::string& id, object_reader& reader) {
        auto& event = read.events[id];
        event.deployment = deployment_id(reader.text("deployment"));
        constexpr double latest = 4102444800; // The year 2100.
        const auto at = [&](const char* key) {
            return std::chrono::system_clock::time_point(
                std::chrono::seconds(static_cast<std::int64_t>(reader.number(key, 0, 0, latest))));
        };
        event.start = at("start_unix");
        event.end = at("end_unix");
        if (event.end <= event.start)
            reader.addError("end_unix", "must be after start_unix");
    });
}

// Checks that every name that one section refers to is defined in the other.
void checkReferences(object_reader& root, const configuration& read)
{
    const auto checkVms = [&](const std::string& where, const std::vector<vm_id>& vms) {
        for (const auto& vm : vms) {
            if (!read.workers.contains(vm))
                root.addError(where, "names '" + vm.text() + "', which is not in /workers");
        }
        if (std::set<vm_id>(vms.begin(), vms.end()).size() != vms.size())
            root.addError(where, "names a VM twice");
    };
    for (const auto& [id, deployment] : read.deployments)
        checkVms("deployments/" + id.text() + "/workers", deployment.workers);
    checkVms("holders", read.holders);
    for (const auto& [id, event] : read.events) {
        if (!read.deployments.contains(event.deployment))
            root.addError("events/" + id, "names '" + event.deployment.text() + "', which is not in /deployments");
    }
    std::set<std::string> hashes;
    for (const auto& [id, customer] : read.customers) {
        if (!hashes.insert(customer.keySha256).second)
            root.addError("customers/" + id.text(), "has the same key as another customer");
    }
}

json differenceOf(const json& before, const json& after)
{
    if (!before.is_object() || !after.is_object())
        return after;
    json patch = json::object();
    for (const auto& [key, value] : before.items()) {
        if (!after.contains(key))
            patch[key] = nullptr;
    }
    for (const auto& [key, value] : after.items()) {
        if (!before.contains(key))
            patch[key] = value;
        else if (before.at(key) != value)
            patch[key] = differenceOf(before.at(key), value);
    }
    return patch;
}

} // namespace

result<configuration> parseConfiguration(config_version version, std::string_view document)
{
    const auto input = parseJsonInput(document);
    if (!input || !input->is_object())
        return fail(
            error_kind::BadInput, "the configuration is no JSON object", "Send a JSON object, not nested too deep");
    const auto& parsed = *input;
    std::optional<error> problem;
    object_reader root(parsed, "", problem);
    configuration read;
    read.version = version;
    readCustomers(root, read);
    readDeployments(root, read);
    readWorkers(root, read);
    read.holders = root.vms("holders");
    readOperators(root, read);
    readEvents(root, read);
    root.rejectUnknownKeys();
    checkReferences(root, read);
    if (problem)
        return tl::unexpected(*problem);
    return read;
}

result<std::string> applyMergePatch(std::string_view document, std::string_view patch)
{
    auto target = parseJsonInput(document);
    const auto change = parseJsonInput(patch);
    if (!target || !change || !target->is_object() || !change->is_object())
        return fail(error_kind::BadInput, "the patch is no JSON object", "Send a JSON merge patch (RFC 7386)");
    target->merge_patch(*change);
    return target->dump();
}

std::string differenceBetween(std::string_view before, std::string_view after)
{
    return differenceOf(json::parse(before, nullptr, false), json::parse(after, nullptr, false)).dump();
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(digest.size() * 2);
    for (const auto byte : digest) {
        hex.push_back(digits[byte >> 4U]);
        hex.push_back(digits[byte & 0xFU]);
    }
    return hex;
}

bool equalHashes(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i)
        difference |= static_cast<unsigned>(static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]));
    return difference == 0;
}

} // namespace coltsfootbend
