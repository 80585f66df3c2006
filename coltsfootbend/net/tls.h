#pragma once

// TLS contexts from certificate files, over OpenSSL. A context is made anew when its files change, and each connection
// takes the one that is current when it begins, so a new certificate cuts off nobody.
//
//     auto store = tls_store::open(settings, tls_role::MutualServer);
//     listener::open(runtime, { .address = address, .tls = (*store)->source() }, handler);

#include "coltsfootbend/net/byte_stream.h"
#include "coltsfootbend/settings/settings.h"

#include <filesystem>
#include <functional>
#include <memory>

namespace coltsfootbend {

enum class tls_role {
    Server, // Shows a certificate.
    MutualServer, // Shows one, and wants one from the other side that the authority signed.
    MutualClient,
};

class tls_store : public std::enable_shared_from_this<tls_store> {
public:
    // Fails with `BadInput` when a file cannot be read or does not fit the others.
    static result<std::shared_ptr<tls_store>> open(const tls_settings&, tls_role);

    // Returns the current context. Looks at the files' times at most once a second; files that cannot be used leave
    // the former context in place.
    tls_context current();
    std::function<tls_context()> source();

private:
    tls_store(tls_settings, tls_role);
    result<tls_context> load() const;
    std::filesystem::file_time_type newest() const;

    const tls_settings m_settings;
    const tls_role m_role;
    tls_context m_context;
    std::filesystem::file_time_type m_loaded {};
    time_point m_lookAgainAt {};
};

} // namespace coltsfootbend
