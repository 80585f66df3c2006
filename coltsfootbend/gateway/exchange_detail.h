#pragma once

// Helpers that the source files of `exchange` share.

#include "coltsfootbend/gateway/header_codec.h"

#include <string>
#include <vector>

namespace coltsfootbend {

// A server stops working on a request at its deadline. The gateway waits this much longer for the server's own timeout
// response, which says more than the gateway's.
constexpr std::chrono::milliseconds deadlineGrace { 80 };

inline bool isSuccess(int status) { return status >= 200 && status < 300; }

// Returns whether a success comes from the server itself and is unchanged.
inline bool isUsableSuccess(const response_metadata& metadata) { return metadata.isSigned && !metadata.isEncoded; }

// Returns the parts of a prompt for the log, separated by commas.
inline std::string joinTexts(const std::vector<prompt_part_id>& parts)
{
    std::string text;
    for (const auto& part : parts)
        text += (text.empty() ? "" : ",") + part.text();
    return text;
}

} // namespace coltsfootbend
