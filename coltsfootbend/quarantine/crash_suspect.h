#pragma once

// Identifies what may have caused a crash of a backend server: a whole request, or a part of its prompt that other
// requests hold as well. One history judges both, so that a crash is not attributed twice.
//
//     const std::set<crash_suspect> suspects { suspectOf(fingerprint), suspectOf(part) };

#include "coltsfootbend/base/id.h"
#include "coltsfootbend/quarantine/prompt_part.h"
#include "coltsfootbend/quarantine/request_fingerprint.h"

#include <string>
#include <string_view>

namespace coltsfootbend {

// The fingerprint of a request, or `part-` and the id of a part of a prompt. A part has one identity in all deployments
// and for all customers: a part that one server has completed does not crash another one.
using crash_suspect = text_id<struct crash_suspect_tag>;

constexpr std::string_view partSuspectPrefix = "part-";

inline crash_suspect suspectOf(const request_fingerprint& request) { return crash_suspect(request.text()); }
inline crash_suspect suspectOf(const prompt_part_id& part)
{
    return crash_suspect(std::string(partSuspectPrefix) + part.text());
}
inline bool isPromptPart(const crash_suspect& suspect) { return suspect.text().starts_with(partSuspectPrefix); }

// Returns the name of a suspect in logs: a whole part, or the leading digits of a fingerprint.
inline std::string shortName(const crash_suspect& suspect)
{
    return isPromptPart(suspect) ? suspect.text() : shortName(request_fingerprint(suspect.text()));
}

} // namespace coltsfootbend
