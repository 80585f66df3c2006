#pragma once

// Names states of the platform's store. The store counts its changes. It may come back from an older copy of its data
// and then gives out numbers again, under the next era. So a number names a state only together with its era, and
// everything that is ordered, confirmed or kept by states of the store uses this type.
//
//     if (page.revision < copy.revision()) return; // An earlier era, or an earlier change of the same era.
//     const bool isConfirmed = reported.isInEraOf(known) && reported >= known;

#include "coltsfootbend/base/id.h"

#include <cstdint>
#include <string>

namespace coltsfootbend {

// Era of the store, which rises by one each time the store comes back from an older copy of its data; none if the store
// reports no eras.
using store_era = number_id<struct store_era_tag>;

// Position in the sequence of all changes of the store, ordered by era first; comparable between processes.
struct store_revision {
    store_era era {};
    std::uint64_t number = 0; // Number of changes in the history of this era.

    // Returns whether this names no state: no change was made yet, or none is known.
    bool isNone() const { return number == 0; }
    // Returns whether both numbers count the changes of the same history.
    bool isInEraOf(const store_revision& other) const { return era == other.era; }

    auto operator<=>(const store_revision&) const = default;
};

// Returns the fields of a log line that name a state.
inline std::string toString(const store_revision& revision)
{
    return "revision=" + std::to_string(revision.number) + " era=" + std::to_string(revision.era.number());
}

} // namespace coltsfootbend
