#pragma once

// Identifies the parts of a prompt by the ids that callers state. Different requests share parts, such as a system
// prompt or a document. The last part belongs to the request or its session alone and is not listed.
//
//     for (const prompt_part_id& part : metadata.promptParts) ...

#include "coltsfootbend/base/id.h"

namespace coltsfootbend {

// Identifies a part of a prompt that several requests may share: lower-case hexadecimal digits.
using prompt_part_id = text_id<struct prompt_part_tag>;

} // namespace coltsfootbend
