#include "coltsfootbend/base/input_file.h"

#include <filesystem>
#include <fstream>
#include <system_error>

namespace coltsfootbend {

namespace {

tl::unexpected<error> notReadable(const std::string& path)
{
    return fail(
        error_kind::NotFound, "cannot read '" + path + "'", "Give the path of a file that this process may read");
}

tl::unexpected<error> tooLarge(const std::string& path, std::size_t maxBytes)
{
    return fail(error_kind::BadInput, "'" + path + "' is larger than " + std::to_string(maxBytes) + " bytes",
        "Give the path of the intended file, or make it smaller");
}

} // namespace

result<void> checkInputFile(const std::string& path, std::size_t maxBytes)
{
    std::error_code code;
    const auto type = std::filesystem::status(path, code).type();
    if (code || type == std::filesystem::file_type::not_found)
        return notReadable(path);
    if (type != std::filesystem::file_type::regular)
        return fail(error_kind::BadInput, "'" + path + "' is not a regular file",
            "Give the path of a regular file, not of a pipe, a device or a directory");
    const auto size = std::filesystem::file_size(path, code);
    if (code)
        return notReadable(path);
    if (size > maxBytes)
        return tooLarge(path, maxBytes);
    return {};
}

// The file may be replaced or grow after the check.
result<std::string> readInputFile(const std::string& path, std::size_t maxBytes)
{
    if (auto checked = checkInputFile(path, maxBytes); !checked)
        return tl::unexpected(checked.error());
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return notReadable(path);
    std::string text(maxBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > maxBytes)
        return tooLarge(path, maxBytes);
    return text;
}

} // namespace coltsfootbend
