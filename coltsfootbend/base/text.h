#pragma once

// Numbers as text, for logs and headers.
//
//     fixedText(1.5, 2) == "1.50"

#include <string>

namespace coltsfootbend {

// Returns `value` with `digits` places after the point.
std::string fixedText(double value, int digits);

} // namespace coltsfootbend
