#pragma once

// In-memory stand-in for the platform's table service and object store with configurable faults, for tests and trials
// on one machine and never for production. `memory_platform` holds the state; `platform_standin` serves it over HTTP as
// docs/PLATFORM.md describes.
//
//     memory_platform platform;
//     platform.setFaults({ .loseNextAnswers = 1 });

#include "coltsfootbend/kernel/kernel.h"
#include "coltsfootbend/net/http.h"
#include "coltsfootbend/store/store.h"

#include <map>

namespace coltsfootbend {

// Faults that the stand-in injects.
struct platform_faults {
    bool down = false;
    // Number of coming writes that take effect although their answers are lost.
    int loseNextAnswers = 0;
    // Delay of every answer (over HTTP only).
    duration delay {};
};

class memory_platform final : public table_service, public object_store {
public:
    result<table_row> read(const row_name&, time_point deadline, std::uint64_t known) override;
    result<std::uint64_t> write(
        const row_name&, const std::string& value, std::uint64_t expected, time_point deadline) override;
    result<std::string> get(const std::string& name, time_point deadline) override;
    result<void> put(const std::string& name, const std::string& bytes, time_point deadline) override;

    void setFaults(const platform_faults& faults) { m_faults = faults; }
    const platform_faults& faults() const { return m_faults; }
    std::uint64_t reads() const { return m_reads; }
    std::uint64_t writes() const { return m_writes; }

private:
    bool loseAnswer();

    platform_faults m_faults;
    std::map<row_name, table_row> m_rows;
    std::map<std::string, std::string> m_objects;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
};

class platform_standin final : public service {
public:
    platform_standin(fiber_runtime&, endpoint address);

    std::string_view name() const override { return "platform_standin"; }
    result<void> start(kernel&) override;
    void stop() override;

private:
    void handle(const http_request&, http_responder&);
    http_response respond(const http_request&);
    http_response setFaults(const http_request&);

    fiber_runtime& m_runtime;
    const endpoint m_address;
    memory_platform m_platform;
    std::shared_ptr<listener> m_listener;
};

} // namespace coltsfootbend
