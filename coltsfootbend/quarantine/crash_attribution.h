#pragma once

// Attributes crashes of backend servers to as few suspects as explain them, and decides which requests are refused for
// it. Pure functions: the same crashes lead to the same verdicts on every VM, without consensus. Does not keep records:
// see `quarantine/crash_history.h`.
//
//     const auto attributed = attributeCrashes(unexplainedCrashes, {});
//     for (const crash_verdict& verdict : attributed.verdicts) ...

#include "coltsfootbend/quarantine/crash_suspect.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace coltsfootbend {

// Identifies one incarnation of a backend server: its registered name, followed by its incarnation where a restarted
// server may keep its name.
using server_incarnation = text_id<struct server_incarnation_tag>;

using crash_set = std::set<server_incarnation>;
// The crashes at which each suspect was present.
using suspected_crashes = std::map<crash_suspect, crash_set>;

// Numbers of unexplained crashes from which on verdicts are reached.
struct attribution_options {
    // A suspect is quarantined.
    std::size_t crashesToQuarantine = 3;
    // A suspect is suspended.
    std::size_t crashesToSuspend = 2;
    // Suspects that were at the same crashes cannot be distinguished. From this number of crashes on they are
    // quarantined all the same, since coincidence is ruled out.
    std::size_t crashesToQuarantineAmbiguous = 5;
};

// The decision to refuse the requests that hold certain suspects.
struct crash_verdict {
    bool isQuarantine = false; // False for a suspension.
    // One request, or parts of prompts that were at exactly the same crashes. A request is refused if it holds all of
    // them, because it is not known which of the parts crashes servers, and a request with fewer may be harmless.
    std::set<crash_suspect> suspects;
    crash_set crashes;
};

// The result of an attribution.
struct attributed_crashes {
    std::vector<crash_verdict> verdicts;
    // Number of crashes of each suspect that no other suspect explains.
    std::map<crash_suspect, std::size_t> unexplained;
};

// Attributes `crashes`. Of suspects that explain the same crashes, a request is blamed before the parts of its prompt,
// since it is the narrower explanation. O(suspects^2 * crashes) in the worst case.
attributed_crashes attributeCrashes(suspected_crashes crashes, const attribution_options&);

} // namespace coltsfootbend
