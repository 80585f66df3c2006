#pragma once

// Simulates a model engine and a plain HTTP service for tests and trials on one machine; never for production. It
// answers chat-completions requests token by token at a fixed step, as one JSON response or as server-sent events,
// pauses and resumes streams on request, echoes any other request, and counts how often it executed each request.
// docs/API.md documents the formats.

#include "coltsfootbend/kernel/kernel.h"
#include "coltsfootbend/net/http.h"
#include "coltsfootbend/settings/settings.h"

#include <map>
#include <set>

namespace coltsfootbend {

// A simulated engine that listens on one address.
class engine_standin final : public service {
public:
    engine_standin(fiber_runtime&, const engine_standin_settings&);

    std::string_view name() const override { return "engine_standin"; }
    result<void> start(kernel&) override;
    void stop() override;

private:
    void handle(const http_request&, http_responder&);
    void complete(const http_request&, http_responder&);
    void echo(const http_request&, http_responder&);
    void controlStream(const std::string& path, http_responder&);
    void waitForStep(const std::string& stream);

    fiber_runtime& m_runtime;
    const engine_standin_settings m_settings;
    std::shared_ptr<listener> m_listener;
    // Number of executions of each request, by prompt or by target and body.
    std::map<std::string, int> m_runs;
    std::set<std::string> m_paused;
};

} // namespace coltsfootbend
