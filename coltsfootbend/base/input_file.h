#pragma once

// Reads files that operators provide. Their paths may name anything: a pipe would make an `open` stand still, and a
// device may provide bytes without end.
//
//     if (const auto text = readInputFile(path, maxSettingsBytes)) ...

#include "coltsfootbend/base/error.h"

#include <cstddef>
#include <string>

namespace coltsfootbend {

// Size of a settings file, or of a file of certificates or keys, at most. What is made of one fits the smallest VM.
constexpr std::size_t maxSettingsBytes = std::size_t { 1024 } * 1024;

// Returns whether `path` names a regular file of at most `maxBytes`. Fails with `NotFound` if it names nothing that
// this process can find, and with `BadInput` if it names something else. Does not open it.
result<void> checkInputFile(const std::string& path, std::size_t maxBytes);

// Returns the content of such a file, with the same errors. Does not read more than `maxBytes` and one more.
result<std::string> readInputFile(const std::string& path, std::size_t maxBytes);

} // namespace coltsfootbend
