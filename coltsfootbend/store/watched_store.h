#pragma once

// Interface to tables that the platform writes and a process follows: all rows once, then each change in order. The
// store may refuse this VM while it serves others, be unresponsive, have discarded the requested changes, or have come
// back from an older copy of its data. Tables that the system itself writes use `store/store.h`.
//
//     auto page = store.readAll(watched_table::BackendServers, deadline);
//     auto next = store.changes(watched_table::BackendServers, page->revision, waitUntil, deadline, nullptr);

#include "coltsfootbend/base/error.h"
#include "coltsfootbend/base/time.h"
#include "coltsfootbend/net/cancellation.h"
#include "coltsfootbend/store/store_revision.h"

#include <string>
#include <vector>

namespace coltsfootbend {

enum class watched_table {
    Configuration, // What the operator writes: the newest configuration, and a row for each evacuated data centre.
    BackendServers, // One row for each registered backend server.
};

constexpr const char* toString(watched_table table)
{
    return table == watched_table::Configuration ? "configuration" : "backend_servers";
}

struct watched_row {
    std::string key;
    std::string value;
    store_revision revision {};
    bool isDeleted = false;
};

struct row_page {
    std::vector<watched_row> rows;
    // Includes all changes up to this revision, and those of no other era.
    store_revision revision {};
};

class watched_store {
public:
    virtual ~watched_store() = default;

    // Returns every row of `table`, all as of one era. Fails with `Unavailable`, `Lost`, `TimedOut` or `Overloaded`.
    virtual result<row_page> readAll(watched_table table, time_point deadline) = 0;

    // Returns the changes after `after` as soon as there is one, or an empty page if there is none by `waitUntil`.
    // Waits for the answer until `deadline` or until `poll`, which may be null, is cancelled. Fails with `Stale` if the
    // store has discarded the changes, after which `readAll` is needed; otherwise fails as `readAll` does. The store
    // does not check the era of `after`: if the page is of another era, changes may be missing in it, and `readAll` is
    // needed as well.
    virtual result<row_page> changes(
        watched_table table, store_revision after, time_point waitUntil, time_point deadline, cancellation* poll)
        = 0;

    // Returns the latest era in which the store has answered any call of this process, with success or not.
    virtual store_era latestEra() const = 0;
};

} // namespace coltsfootbend
