#include "coltsfootbend/config/config_store.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfootbend {

namespace {

using json = nlohmann::json;

const row_name currentRow { "configuration", "current" };

json toJson(const wire::config_step& step)
{
    return { { "version", step.version.number() }, { "id", step.id.text() }, { "actor", step.actor },
        { "accepted_at_ms", step.acceptedAtMs }, { "patch", json::parse(step.mergePatch, nullptr, false) },
        { "undo", json::parse(step.undoPatch, nullptr, false) } };
}

wire::config_step stepFrom(const json& in)
{
    return { .version = config_version(in.at("version").get<std::uint64_t>()),
        .id = patch_id(in.at("id").get<std::string>()),
        .actor = in.at("actor").get<std::string>(),
        .acceptedAtMs = in.at("accepted_at_ms").get<std::uint64_t>(),
        .mergePatch = in.at("patch").dump(),
        .undoPatch = in.at("undo").dump() };
}

json toJson(const std::vector<wire::config_step>& steps)
{
    json out = json::array();
    for (const auto& step : steps)
        out.push_back(toJson(step));
    return out;
}

std::vector<wire::config_step> stepsFrom(const json& in)
{
    std::vector<wire::config_step> steps;
    for (const auto& step : in)
        steps.push_back(stepFrom(step));
    return steps;
}

std::string nameOfBase(config_version version, const patch_id& writer)
{
    // Concurrent writers write separate objects; only the one that the row names is used.
    return "configuration/document-" + std::to_string(version.number()) + "-" + sha256Hex(writer.text()).substr(0, 16);
}

tl::unexpected<error> corrupt(const std::string& what)
{
    return fail(error_kind::Internal, "the stored configuration cannot be read: " + what,
        "Restore the row configuration/current from the platform's backup");
}

} // namespace

// Contents of the row.
struct config_store::stored {
    std::uint64_t revision = 0;
    config_version version;
    config_version baseVersion;
    std::string baseObject;
    // Name of the object with the steps before `steps`, which in turn names the object before it; empty for the first.
    std::string olderSteps;
    std::vector<wire::config_step> steps;
    bool unchanged = false;
};

config_store::config_store(table_service& table, object_store& objects)
    : config_store(table, objects, options {})
{
}

config_store::config_store(table_service& table, object_store& objects, const options& options)
    : m_table(table)
    , m_objects(objects)
    , m_options(options)
{
}

result<config_store::stored> config_store::load(time_point deadline, std::uint64_t knownRevision)
{
    auto row = m_table.read(currentRow, deadline, knownRevision);
    if (!row)
        return tl::unexpected(row.error());
    stored read;
    read.revision = row->revision;
    if (row->revision == 0)
        return read;
    if (row->revision == knownRevision && row->value.empty()) {
        read.unchanged = true;
        return read;
    }
    try {
        const auto in = json::parse(row->value);
        read.version = config_version(in.at("version").get<std::uint64_t>());
        read.baseVersion = config_version(in.at("base_version").get<std::uint64_t>());
        read.baseObject = in.at("base_object").get<std::string>();
        read.olderSteps = in.at("older_steps").get<std::string>();
        read.steps = stepsFrom(in.at("steps"));
    } catch (const std::exception& exception) {
        return corrupt(exception.what());
    }
    return read;
}

result<void> config_store::fill(const stored& read, config_state& state, time_point deadline)
{
    const bool stepsReach = !read.steps.empty() && read.steps.front().version.number() <= state.version().number() + 1;
    if (!stepsReach && read.baseVersion > state.version()) {
        const auto document = m_objects.get(read.baseObject, deadline);
        if (!document)
            return tl::unexpected(document.error());
        if (auto adopted = state.adopt(read.baseVersion, *document); !adopted)
            return adopted;
    }
    return state.take({ .base = {}, .document = {}, .steps = read.steps });
}

result<void> config_store::refresh(config_state& state, time_point deadline)
{
    auto read = load(deadline, state.version() == m_seenVersion ? m_seenRevision : 0);
    if (!read)
        return tl::unexpected(read.error());
    if (read->unchanged)
        return {};
    auto filled = fill(*read, state, deadline);
    if (filled) {
        m_seenRevision = read->revision;
        m_seenVersion = state.version();
    }
    return filled;
}

result<config_version> config_store::accept(const config_patch& patch, time_point deadline)
{
    bool mayBeAccepted = false;
    for (int attempt = 0; attempt < m_options.maxTries; ++attempt) {
        const auto read = load(deadline, 0);
        if (!read) {
            if (!mayBeAccepted)
                return tl::unexpected(read.error());
            break;
        }
        const auto known = std::find_if(
            read->steps.begin(), read->steps.end(), [&](const wire::config_step& step) { return step.id == patch.id; });
        if (known != read->steps.end())
            return known->version;
        if (patch.against != read->version) {
            return fail(error_kind::Stale,
                "the patch is written against version " + std::to_string(patch.against.number())
                    + ", and the current one is " + std::to_string(read->version.number()),
                "Look at what changed since (coltsfootbendctl config history), and write it against the current one");
        }
        config_state state;
        if (auto filled = fill(*read, state, deadline); !filled)
            return tl::unexpected(filled.error());
        wire::config_step step { .version = config_version(read->version.number() + 1),
            .id = patch.id,
            .actor = patch.actor,
            .acceptedAtMs = patch.acceptedAtMs,
            .mergePatch = patch.mergePatch,
            .undoPatch = {} };
        const auto before = state.document();
        const auto holdersBefore = state.current()->holders;
        if (auto applied = state.apply(step); !applied)
            return tl::unexpected(applied.error());
        // A key whose home changed would be granted again by the new home, which has no record of the first grant.
        if (!holdersBefore.empty() && holdersBefore != state.current()->holders) {
            return fail(error_kind::BadInput, "/holders cannot be changed once it is set: keys could run twice",
                "Keep the list; a replaced VM keeps its id, and new workers need not be holders");
        }
        step.undoPatch = differenceBetween(state.document(), before);
        const auto value = encodeNext(*read, step, state, deadline);
        if (!value)
            return tl::unexpected(value.error());
        const auto written = m_table.write(currentRow, *value, read->revision, deadline);
        if (written)
            return step.version;
        // `Stale`: another writer came first. `Lost`: this write may have taken effect. Both require reading the row.
        mayBeAccepted = mayBeAccepted || written.error().kind != error_kind::Stale;
        if (written.error().kind == error_kind::Unavailable)
            return tl::unexpected(written.error());
    }
    return fail(error_kind::Lost, "whether the patch was accepted cannot be learned now",
        "Send the same patch id again: it is accepted at most once");
}

result<std::string> config_store::encodeNext(
    stored next, const wire::config_step& step, const config_state& state, time_point deadline)
{
    next.steps.push_back(step);
    if (next.steps.size() > m_options.maxSteps || next.baseObject.empty()) {
        next.baseVersion = step.version;
        next.baseObject = nameOfBase(step.version, step.id);
        if (auto put = m_objects.put(next.baseObject, state.document(), deadline); !put)
            return tl::unexpected(put.error());
    }
    if (next.steps.size() > m_options.maxSteps) {
        const auto kept = next.steps.end() - static_cast<std::ptrdiff_t>(m_options.stepsKept);
        const std::vector<wire::config_step> moved(next.steps.begin(), kept);
        const auto name = nameOfBase(step.version, step.id) + "-history";
        const json older { { "older_steps", next.olderSteps }, { "steps", toJson(moved) } };
        if (auto put = m_objects.put(name, older.dump(), deadline); !put)
            return tl::unexpected(put.error());
        next.olderSteps = name;
        next.steps.erase(next.steps.begin(), kept);
    }
    const json row { { "version", step.version.number() }, { "base_version", next.baseVersion.number() },
        { "base_object", next.baseObject }, { "older_steps", next.olderSteps }, { "steps", toJson(next.steps) } };
    return row.dump();
}

result<std::vector<wire::config_step>> config_store::history(config_version first, time_point deadline)
{
    const auto read = load(deadline, 0);
    if (!read)
        return tl::unexpected(read.error());
    auto steps = read->steps;
    auto older = read->olderSteps;
    while (!older.empty() && !steps.empty() && steps.front().version > first) {
        const auto bytes = m_objects.get(older, deadline);
        if (!bytes)
            return tl::unexpected(bytes.error());
        try {
            const auto in = json::parse(*bytes);
            auto before = stepsFrom(in.at("steps"));
            steps.insert(steps.begin(), before.begin(), before.end());
            older = in.at("older_steps").get<std::string>();
        } catch (const std::exception& exception) {
            return corrupt(exception.what());
        }
    }
    std::erase_if(steps, [&](const wire::config_step& step) { return step.version < first; });
    return steps;
}

} // namespace coltsfootbend
