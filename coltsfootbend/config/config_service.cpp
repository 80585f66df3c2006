#include "coltsfootbend/config/config_service.h"

#include "coltsfootbend/base/hash.h"
#include "coltsfootbend/base/input_file.h"
#include "coltsfootbend/base/log_event.h"

#include <algorithm>
#include <utility>

namespace coltsfootbend {

namespace {

constexpr std::chrono::seconds pollInterval { 2 };
constexpr std::chrono::seconds platformLimit { 2 };
constexpr std::chrono::seconds pullLimit { 2 };
constexpr std::chrono::seconds noticeLimit { 1 };
// Size of the file with the first configuration, at most.
constexpr std::size_t maxConfigurationBytes = std::size_t { 16 } * 1024 * 1024;

} // namespace

config_service::config_service(fiber_runtime& runtime, const daemon_settings& settings)
    : m_runtime(runtime)
    , m_settings(settings)
{
    if (settings.platform) {
        m_platform = std::make_unique<http_platform>(
            runtime, *settings.platform, http_platform::options { .seed = stableHash(settings.vm.text()) });
        m_store = std::make_unique<config_store>(*m_platform, *m_platform);
    }
}

result<void> config_service::start(kernel& kernel)
{
    auto peers = kernel.require<peer_service>("peers");
    if (!peers)
        return tl::unexpected(peers.error());
    m_peers = *peers;
    m_platformLastAnsweredAt = clock_type::now();
    m_peers->identity().version = [this] { return m_state.version(); };
    m_peers->identity().onMessage = [this](const wire::message& message) { noteVersion(message); };
    m_peers->on<wire::config_request>(
        [this](peer_stream& stream, const wire::message&, const wire::config_request& asked) {
            (void)stream.send(m_state.replyTo(asked.have), true);
        });
    m_peers->on<wire::config_notice>([](peer_stream& stream, const wire::message&, const wire::config_notice&) {
        // `noteVersion` has already started the pull, because the version is part of every message.
        (void)stream.send(wire::acknowledge {}, true);
    });
    if (m_settings.entry)
        m_runtime.spawnLoop("configuration", [this] { pollLoop(); });
    return {};
}

void config_service::changed(config_version before)
{
    if (m_state.version() == before)
        return;
    logEvent(log_event::ConfigurationInForce, "version=" + std::to_string(m_state.version().number()));
    for (const auto& listener : m_listeners)
        listener();
}

void config_service::noteVersion(const wire::message& message)
{
    if (message.version <= m_state.version() || m_pulling)
        return;
    const auto sender = std::find_if(m_settings.entries.begin(), m_settings.entries.end(),
        [&](const peer_settings& entry) { return entry.id == message.sender; });
    if (sender == m_settings.entries.end() || sender->id == m_settings.vm)
        return;
    m_runtime.spawn([this, entry = *sender] {
        (void)runLogged("configuration", [&] { pullFrom(entry); });
        m_pulling = false;
    });
    m_pulling = true;
}

void config_service::pullFrom(const peer_settings& entry)
{
    const auto before = m_state.version();
    const auto reply
        = m_peers->client().ask(entry.address, wire::config_request { before }, clock_type::now() + pullLimit);
    if (!reply)
        return; // The next message with a higher version triggers another pull.
    const auto* steps = std::get_if<wire::config_reply>(&reply->content);
    if (!steps)
        return;
    if (auto taken = m_state.take(*steps); !taken)
        logEvent(log_event::ConfigurationRejected, "from=" + entry.id.text() + " " + toString(taken.error()));
    changed(before);
}

void config_service::pollLoop()
{
    // Spreads the polls of the VMs over the interval, even if all were started at the same time.
    const auto offset = std::chrono::milliseconds(stableHash(m_settings.vm.text()) % 1000);
    bool isFirst = true;
    while (!m_stopped) {
        const auto before = m_state.version();
        const auto deadline = clock_type::now() + platformLimit;
        const auto refreshed = m_store->refresh(m_state, deadline);
        if (refreshed) {
            m_platformLastAnsweredAt = clock_type::now();
            changed(before);
            if (isFirst)
                adoptFirstConfiguration(deadline);
            isFirst = false;
        } else if (before.isNone()) {
            // Without a configuration and without the platform, the running entry VMs are the only source.
            for (const auto& entry : m_settings.entries) {
                if (entry.id != m_settings.vm)
                    pullFrom(entry);
                if (!m_state.version().isNone())
                    break;
            }
        }
        const bool isFresh = m_state.version().isNone();
        m_runtime.sleepFor(
            isFresh ? std::chrono::milliseconds(200) : pollInterval + (offset - std::chrono::milliseconds(500)) / 4);
    }
}

void config_service::adoptFirstConfiguration(time_point deadline)
{
    if (!m_state.version().isNone() || m_settings.firstConfigurationFile.empty())
        return;
    const auto text = readInputFile(m_settings.firstConfigurationFile, maxConfigurationBytes);
    if (!text) {
        logEvent(log_event::ConfigurationRejected, "from=settings " + toString(text.error()));
        return;
    }
    // Every entry VM may submit this patch; their common id ensures that it is accepted only once.
    const config_patch patch {
        .id = patch_id("first"), .against = {}, .actor = "settings", .mergePatch = *text, .acceptedAtMs = 0
    };
    if (auto accepted = accept(patch, deadline); !accepted && accepted.error().kind != error_kind::Stale)
        logEvent(log_event::ConfigurationRejected, "from=settings " + toString(accepted.error()));
}

result<config_version> config_service::accept(const config_patch& patch, time_point deadline)
{
    if (!m_store) {
        return fail(error_kind::Unavailable, "this process does not reach the platform",
            "Send the patch to an entry VM whose settings name the platform");
    }
    auto accepted = m_store->accept(patch, deadline);
    if (!accepted)
        return accepted;
    const auto before = m_state.version();
    if (auto refreshed = m_store->refresh(m_state, deadline); !refreshed)
        logEvent(log_event::ConfigurationRejected, "after accepting: " + toString(refreshed.error()));
    logEvent(log_event::ConfigurationAccepted,
        "version=" + std::to_string(accepted->number()) + " patch=" + patch.id.text() + " actor=" + patch.actor);
    changed(before);
    notifyPeers();
    return accepted;
}

result<std::vector<wire::config_step>> config_service::history(config_version first, time_point deadline)
{
    if (!m_store)
        return fail(error_kind::Unavailable, "this process does not reach the platform", "Ask an entry VM");
    return m_store->history(first, deadline);
}

void config_service::notifyPeers()
{
    for (const auto& entry : m_settings.entries) {
        if (entry.id == m_settings.vm)
            continue;
        m_runtime.spawn([this, address = entry.address] {
            // Best effort: an entry VM that misses the notice learns of the version from its poll or any other message.
            (void)m_peers->client().ask(address, wire::config_notice {}, clock_type::now() + noticeLimit);
        });
    }
}

} // namespace coltsfootbend
