#include "coltsfootbend/net/tls.h"

#include "coltsfootbend/base/input_file.h"

#include <algorithm>
#include <boost/asio/ssl.hpp>
#include <utility>

namespace coltsfootbend {

namespace ssl = boost::asio::ssl;

namespace {

constexpr std::chrono::seconds modificationCheckInterval { 1 };

} // namespace

tls_store::tls_store(tls_settings settings, tls_role role)
    : m_settings(std::move(settings))
    , m_role(role)
{
}

result<std::shared_ptr<tls_store>> tls_store::open(const tls_settings& settings, tls_role role)
{
    std::shared_ptr<tls_store> store(new tls_store(settings, role));
    auto loaded = store->load();
    if (!loaded)
        return tl::unexpected(loaded.error());
    store->m_context = std::move(*loaded);
    store->m_loadedModification = store->newest();
    return store;
}

result<tls_context> tls_store::load() const
{
    auto context = std::make_shared<ssl::context>(
        m_role == tls_role::MutualClient ? ssl::context::tls_client : ssl::context::tls_server);
    boost::system::error_code code;
    std::string file;
    result<void> readable;
    const auto use = [&](const std::string& name, auto apply) {
        if (code || !readable)
            return;
        file = name;
        readable = checkInputFile(name, maxSettingsBytes);
        if (readable)
            apply(name);
    };
    context->set_options(ssl::context::default_workarounds | ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1, code);
    use(m_settings.certificateFile, [&](const auto& name) { context->use_certificate_chain_file(name, code); });
    use(m_settings.keyFile, [&](const auto& name) { context->use_private_key_file(name, ssl::context::pem, code); });
    if (m_role != tls_role::Server) {
        use(m_settings.authorityFile, [&](const auto& name) { context->load_verify_file(name, code); });
        if (!code)
            context->set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert, code);
    }
    if (!readable)
        return fail(readable.error().kind, "the TLS file: " + readable.error().message, readable.error().remedy);
    if (code) {
        return fail(error_kind::BadInput, "the TLS file '" + file + "': " + code.message(),
            "Check that it exists, is PEM, and that the key belongs to the certificate");
    }
    return context;
}

std::filesystem::file_time_type tls_store::newest() const
{
    auto newest = std::filesystem::file_time_type::min();
    for (const auto& file : { m_settings.certificateFile, m_settings.keyFile, m_settings.authorityFile }) {
        std::error_code code;
        const auto time = std::filesystem::last_write_time(file, code);
        if (!code)
            newest = std::max(newest, time);
    }
    return newest;
}

tls_context tls_store::current()
{
    const auto now = clock_type::now();
    if (now < m_nextCheckAt)
        return m_context;
    m_nextCheckAt = now + modificationCheckInterval;
    const auto newestNow = newest();
    if (newestNow == m_loadedModification)
        return m_context;
    if (auto loaded = load()) {
        m_context = std::move(*loaded);
        m_loadedModification = newestNow;
    }
    return m_context;
}

std::function<tls_context()> tls_store::source()
{
    return [self = shared_from_this()] { return self->current(); };
}

} // namespace coltsfootbend
