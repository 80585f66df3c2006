#pragma once

// Formats numbers as text, for logs and headers.
//
//     fixedText(1.5, 2) == "1.50"

#include <string>

namespace coltsfootbend {

// Returns `value` in decimal notation with `digits` digits after the decimal point.
std::string fixedText(double value, int digits);

} // namespace coltsfootbend
