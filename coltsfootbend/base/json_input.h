#pragma once

// Parses JSON from external sources. Nesting is limited, because the library serialises and frees values recursively
// and a fiber's stack is small: a body of nested brackets would otherwise overflow it and crash the process.
//
//     const auto body = parseJsonInput(request.body);
//     if (!body) return tl::unexpected(body.error());

#include "coltsfootbend/base/error.h"

#include <nlohmann/json.hpp>
#include <string_view>

namespace coltsfootbend {

// Fails with `BadInput` when `text` is not valid JSON or is nested more than 64 levels deep. O(length).
inline result<nlohmann::json> parseJsonInput(std::string_view text)
{
    constexpr int maxDepth = 64;
    bool isTooDeep = false;
    auto parsed = nlohmann::json::parse(
        text,
        [&](int depth, nlohmann::json::parse_event_t, nlohmann::json&) {
            isTooDeep = isTooDeep || depth > maxDepth;
            return depth <= maxDepth;
        },
        false);
    if (isTooDeep)
        return fail(error_kind::BadInput, "the JSON is nested too deep", "Nest at most 64 levels");
    if (parsed.is_discarded())
        return fail(error_kind::BadInput, "the body is no JSON", "Send one JSON value");
    return parsed;
}

} // namespace coltsfootbend
