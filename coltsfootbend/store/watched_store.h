#pragma once

// Tables that somebody else writes and that a process follows: all rows once, then each change in order. The store may
// refuse this VM and serve others, be silent, or have forgotten the changes asked for. Not for what the system writes
// itself: see `store/store.h`.
//
//     auto page = store.readAll(watched_table::BackendServers, deadline);
//     auto next = store.changes(watched_table::BackendServers, page->revision, waitUntil, deadline, nullptr);

#include "coltsfootbend/base/error.h"
#include "coltsfootbend/base/time.h"
#include "coltsfootbend/net/cancellation.h"

#include <cstdint>
#include <string>
#include <vector>

namespace coltsfootbend {

enum class watched_table {
    Configuration, // One row: the operator's newest configuration.
    BackendServers, // One row for each backend server that is registered.
};

constexpr const char* toString(watched_table table)
{
    return table == watched_table::Configuration ? "configuration" : "backend_servers";
}

// Position in the order of all changes of the store; comparable between processes.
using store_revision = std::uint64_t;

struct watched_row {
    std::string key;
    std::string value;
    store_revision revision = 0;
    bool isDeleted = false;
};

struct row_page {
    std::vector<watched_row> rows;
    // All changes up to this one are included.
    store_revision revision = 0;
};

class watched_store {
public:
    virtual ~watched_store() = default;

    // Returns every row of `table`. Fails with `Unavailable`, `Lost`, `TimedOut` or `Overloaded`.
    virtual result<row_page> readAll(watched_table table, time_point deadline) = 0;

    // Returns the changes after `after`, as soon as there is one; an empty page when there was none by `waitUntil`. Its
    // answer is waited for until `deadline`, or until `poll` is cancelled, which may be null. Fails with `Stale` when
    // the store has forgotten them: read all again. Otherwise as `readAll`.
    virtual result<row_page> changes(
        watched_table table, store_revision after, time_point waitUntil, time_point deadline, cancellation* poll)
        = 0;
};

} // namespace coltsfootbend
