#pragma once

// The platform's table service and object store over HTTP, as docs/PLATFORM.md describes them. Every call is
// bounded by a deadline. Reads are retried with jitter; writes are never retried, because their callers determine the
// outcome by reading back.
//
//     http_platform platform(runtime, address, { .seed = 1 });

#include "coltsfootbend/net/http.h"
#include "coltsfootbend/store/store.h"

#include <random>

namespace coltsfootbend {

class http_platform final : public table_service, public object_store {
public:
    struct options {
        std::uint64_t seed = 1;
        int readTries = 3;
        duration firstPause = std::chrono::milliseconds(50);
    };

    http_platform(fiber_runtime&, endpoint address, const options&);

    result<table_row> read(const row_name&, time_point deadline, std::uint64_t known) override;
    result<std::uint64_t> write(
        const row_name&, const std::string& value, std::uint64_t expected, time_point deadline) override;
    result<std::string> get(const std::string& name, time_point deadline) override;
    result<void> put(const std::string& name, const std::string& bytes, time_point deadline) override;

private:
    result<http_response> sendRead(const http_request&, time_point deadline);
    void pause(int attempt, time_point deadline);

    fiber_runtime& m_runtime;
    http_client m_client;
    const endpoint m_address;
    const options m_options;
    std::mt19937_64 m_random;
};

} // namespace coltsfootbend
