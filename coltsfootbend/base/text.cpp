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

} // namespace coltsfootbend
