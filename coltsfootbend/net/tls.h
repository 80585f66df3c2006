#pragma once

// TLS contexts from certificate files, over OpenSSL. A context is reloaded when its files change, and each connection
// keeps the context that was current when it was opened, so a new certificate does not interrupt open connections.
//
//     auto store = tls_store::open(settings, tls_role::MutualServer);
//     listener::open(runtime, { .address = address, .tls = (*store)->source() }, handler);

#include "coltsfootbend/net/byte_stream.h"
#include "coltsfootbend/settings/settings.h"

#include <filesystem>
#include <functional>
#include <memory>

namespace coltsfootbend {

// The side of a connection, and whether the peer must be authenticated.
enum class tls_role {
    Server, // Presents a certificate.
    MutualServer, // Presents a certificate, and requires a client certificate signed by the configured authority.
    MutualClient, // Presents a certificate, and requires a server certificate signed by the configured authority.
};

// Loads the certificate files of one role, and reloads them when they change.
class tls_store : public std::enable_shared_from_this<tls_store> {
public:
    // Loads the files. Fails with `BadInput` when a file cannot be read or the key does not match the certificate.
    static result<std::shared_ptr<tls_store>> open(const tls_settings&, tls_role);

    // Returns the current context. Checks the modification times of the files at most once per second, and keeps the
    // previous context when the changed files are invalid.
    tls_context current();
    // Returns a function that calls `current`, for `listener::options::tls`.
    std::function<tls_context()> source();

private:
    tls_store(tls_settings, tls_role);
    result<tls_context> load() const;
    std::filesystem::file_time_type newest() const;

    const tls_settings m_settings;
    const tls_role m_role;
    tls_context m_context;
    std::filesystem::file_time_type m_loadedModification {};
    time_point m_nextCheckAt {};
};

} // namespace coltsfootbend
