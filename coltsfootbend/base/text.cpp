#include "coltsfootbend/base/text.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace coltsfootbend {

std::string fixedText(double value, int digits)
{
    std::array<char, 64> text {};
    const auto size = std::snprintf(text.data(), text.size(), "%.*f", digits, value);
    return size < 0 ? std::string() : std::string(text.data(), std::min<std::size_t>(size, text.size() - 1));
}

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        if (unreserved.find(character) != std::string_view::npos) {
            encoded += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        encoded += '%';
        encoded += digits[byte / digits.size()];
        encoded += digits[byte % digits.size()];
    }
    return encoded;
}

} // namespace coltsfootbend
