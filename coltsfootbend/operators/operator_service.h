#pragma once

// The operators' HTTP interface of an entry VM: status, the configuration and its history, drains and metrics.
// `coltsfootbendctl` is its usual client; docs/operators/API.md lists the resources. Registered in the kernel as
// "operators".

#include "coltsfootbend/entry/entry_service.h"

#include <functional>

namespace coltsfootbend {

// Authenticates operators and answers their requests.
class operator_service final : public service {
public:
    // `onDrain` starts the drain of this process. `tls` is called for each connection; pass none for plain TCP.
    operator_service(fiber_runtime&, const daemon_settings&, incarnation ownIncarnation,
        std::function<tls_context()> tls, std::function<void()> onDrain);

    std::string_view name() const override { return "operators"; }
    result<void> start(kernel&) override;
    void stop() override;

private:
    http_response respond(const http_request&);
    http_response status() const;
    http_response showConfiguration() const;
    http_response patchConfiguration(const http_request&, const operator_identity&);
    http_response history(const http_request&);
    http_response drain(const http_request&, const operator_identity&);

    fiber_runtime& m_runtime;
    const daemon_settings& m_settings;
    const incarnation m_incarnation;
    const std::function<tls_context()> m_tls;
    const std::function<void()> m_onDrain;
    entry_service* m_entry = nullptr;
    config_service* m_configuration = nullptr;
    metrics_service* m_metrics = nullptr;
    peer_service* m_peers = nullptr;
    std::shared_ptr<listener> m_listener;
};

} // namespace coltsfootbend
