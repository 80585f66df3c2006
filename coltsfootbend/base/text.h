#pragma once

// Formats numbers as text, for logs and headers, and text as a part of a request's target.
//
//     fixedText(1.5, 2) == "1.50"
//     percentEncoded("a&b") == "a%26b"

#include <string>
#include <string_view>

namespace coltsfootbend {

// Returns `value` in decimal notation with `digits` digits after the decimal point.
std::string fixedText(double value, int digits);

// Returns `text` with each byte but unreserved characters percent-encoded, for a value or one segment of a path in the
// target of a request.
std::string percentEncoded(std::string_view text);

} // namespace coltsfootbend
