#pragma once

// Keeps the configuration of this process up to date and distributes it. In an entry VM it also polls the platform's
// table and accepts patches. Every message carries its sender's version; a process that receives a higher one from an
// entry VM pulls the missing steps from that VM. Registered in the kernel as "configuration".
//
//     auto* configuration = kernel.find<config_service>("configuration");
//     auto current = configuration->current(); // a shared_ptr to an immutable value

#include "coltsfootbend/config/config_store.h"
#include "coltsfootbend/settings/settings.h"
#include "coltsfootbend/store/http_platform.h"
#include "coltsfootbend/wire/peer.h"

#include <functional>
#include <memory>
#include <vector>

namespace coltsfootbend {

class config_service final : public service {
public:
    config_service(fiber_runtime&, const daemon_settings&);

    std::string_view name() const override { return "configuration"; }
    result<void> start(kernel&) override;
    void stop() override { m_stopped = true; }

    std::shared_ptr<const configuration> current() const { return m_state.current(); }
    config_version version() const { return m_state.version(); }
    const config_state& state() const { return m_state; }

    // Accepts a patch, puts it in force here and notifies the other entry VMs. Fails as `config_store::accept` does.
    result<config_version> accept(const config_patch&, time_point deadline);
    result<std::vector<wire::config_step>> history(config_version first, time_point deadline);

    // Calls `listener` after each change.
    void onChange(std::function<void()> listener) { m_listeners.push_back(std::move(listener)); }

    http_platform* platform() { return m_platform.get(); }
    // Returns when the platform's table last answered, or the start of the process before its first answer.
    time_point platformLastAnsweredAt() const { return m_platformLastAnsweredAt; }

private:
    void noteVersion(const wire::message&);
    void pullFrom(const peer_settings&);
    void pollLoop();
    void adoptFirstConfiguration(time_point deadline);
    void notifyPeers();
    void changed(config_version before);

    fiber_runtime& m_runtime;
    const daemon_settings& m_settings;
    peer_service* m_peers = nullptr;
    config_state m_state;
    std::unique_ptr<http_platform> m_platform;
    std::unique_ptr<config_store> m_store;
    std::vector<std::function<void()>> m_listeners;
    bool m_pulling = false;
    bool m_stopped = false;
    time_point m_platformLastAnsweredAt {};
};

} // namespace coltsfootbend
