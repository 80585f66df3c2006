#pragma once

// A process's copy of one table of the store. It is brought up to date by snapshots and by changes, and tells another
// process what changed since the revision that the other one has. Never goes back to an older revision; a later era of
// the store may bring back older rows. Deterministic. Doesn't interpret rows and sends nothing: see
// `gateway/deployment_watch.h`.
//
//     table_copy copy;
//     copy.replace(snapshot);
//     copy.apply(changes);
//     if (const auto difference = copy.changesSince(revision)) send(*difference);

#include "coltsfootbend/store/watched_store.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coltsfootbend {

// The rows of one table as stored, and the rows that were removed recently.
class table_copy {
public:
    struct options {
        // Number of removed rows that are kept for `changesSince`; the oldest are discarded first.
        std::size_t maxRemovedRows = 1000;
        // Number of series of known states that are kept for `changesSince`, of which each snapshot and each era begins
        // one; the oldest are discarded first.
        std::size_t maxKnownSeries = 8;
    };

    table_copy()
        : table_copy(options {})
    {
    }
    explicit table_copy(const options& options)
        : m_options(options)
    {
    }

    // Returns the revision of the last change of this table.
    store_revision revision() const { return m_revision; }
    // Returns the revision after which the store is asked for changes. It counts the changes of all tables, so it
    // advances while `revision` does not, and differs between processes with the same rows.
    store_revision position() const { return m_position; }
    const std::map<std::string, watched_row>& rows() const { return m_rows; }

    // Replaces all rows by a snapshot. Returns the rows that are new or changed; none, and without effect, if the
    // snapshot is older than the copy. A row that has the same value in a later era is not changed and keeps its
    // revision. O(rows log rows).
    std::optional<std::vector<watched_row>> replace(row_page snapshot);
    // Applies changes of the copy's era in the order given; a row older than the known one is left out.
    // `changes.revision` advances the position only. O(changes log rows).
    void apply(const row_page& changes);
    // Applies what another process's `changesSince` returned for this copy's revision, or for an earlier one of its
    // era.
    void applyDifference(const row_page& difference);

    // Returns all rows.
    row_page snapshot() const;
    // Returns whether all changes and removals since `since` are known. O(1).
    bool knowsChangesSince(store_revision since) const;
    // Returns the rows changed or removed since `since`. None if rows may have been removed that are not known any
    // more, so that the other process needs a snapshot. O(rows).
    std::optional<row_page> changesSince(store_revision since) const;

private:
    // Consecutive states of one era. Which rows changed after each of them is known.
    struct known_states {
        store_revision first;
        store_revision last;
    };

    // Moves the copy to `revision`, in its era or in a later one.
    void advance(store_revision);
    void remove(const std::string& key, store_revision);
    void discardOldRemovals();

    const options m_options;
    store_revision m_revision {};
    store_revision m_position {};
    std::map<std::string, watched_row> m_rows;
    // Removed rows, and the revision at which each was known to be gone.
    std::map<std::string, store_revision> m_removed;
    // All removals since this revision are in `m_removed`.
    store_revision m_removalsKnownSince {};
    std::vector<known_states> m_knownStates; // The latest ones last.
};

} // namespace coltsfootbend
