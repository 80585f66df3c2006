#include "coltsfootbend/quarantine/request_fingerprint.h"

#include <array>
#include <cstdint>
#include <openssl/sha.h>

namespace coltsfootbend {

namespace {

constexpr std::size_t fingerprintBytes = 16;
constexpr std::size_t shortDigits = 12;

// Appends `part` prefixed by its length, so that different parts never concatenate to the same text.
void append(std::string& text, std::string_view part)
{
    text += std::to_string(part.size());
    text += ':';
    text += part;
}

std::string hexadecimal(const unsigned char* bytes, std::size_t count)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * count);
    for (std::size_t i = 0; i < count; ++i) {
        text += digits[bytes[i] >> 4U];
        text += digits[bytes[i] & 0xfU];
    }
    return text;
}

} // namespace

// Uses a cryptographic hash, so that no caller can forge a request with the fingerprint of another caller's request.
request_fingerprint fingerprintOf(const fingerprint_source& source)
{
    std::string text;
    text.reserve(source.target.size() + source.body.size() + 128);
    for (const auto part : { source.method, source.host, source.target, source.caller, source.body })
        append(text, part);
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    return request_fingerprint(hexadecimal(digest.data(), fingerprintBytes));
}

std::string shortName(const request_fingerprint& fingerprint) { return fingerprint.text().substr(0, shortDigits); }

} // namespace coltsfootbend
