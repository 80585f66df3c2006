#pragma once

// Accepts patches and reads the configuration that the platform stores. A patch is accepted by one compare-and-set of
// one row, which holds the latest steps; whole documents are written to the object store before. A patch against an
// old version is refused. If the answer to a write is lost, the patch's id is read back instead of writing again. Any
// number of processes may accept concurrently. Distribution is the task of `config/config_state.h`.
//
//     config_store store(table, objects);
//     auto accepted = store.accept({ .id = id, .against = version, .actor = "dilek", .mergePatch = patch }, deadline);

#include "coltsfootbend/config/config_state.h"
#include "coltsfootbend/store/store.h"

namespace coltsfootbend {

// A merge patch that an operator submits.
struct config_patch {
    patch_id id;
    // The version that the patch was written against.
    config_version against;
    std::string actor;
    std::string mergePatch;
    std::uint64_t acceptedAtMs = 0;
};

class config_store {
public:
    struct options {
        // Most steps in the row. Beyond that, a whole document is written, the row keeps the last `stepsKept` steps,
        // and the earlier ones move to the history.
        std::size_t maxSteps = 64;
        std::size_t stepsKept = 16;
        int maxTries = 4;
    };

    config_store(table_service&, object_store&);
    config_store(table_service&, object_store&, const options&);

    // Accepts one patch, and returns its version; a patch whose id was accepted before returns that version again.
    // Fails with `Stale` (and names the current version), `BadInput`, or `Lost` when it is unknown whether the
    // patch was accepted; submitting the same id again determines that.
    result<config_version> accept(const config_patch&, time_point deadline);

    // Advances `state` to the version that the platform stores. Never decreases the version.
    result<void> refresh(config_state& state, time_point deadline);

    // Returns the steps of the versions from `first` to the latest that are still kept, from the row and the history.
    result<std::vector<wire::config_step>> history(config_version first, time_point deadline);

private:
    struct stored;

    result<stored> load(time_point deadline, std::uint64_t knownRevision);
    result<void> fill(const stored&, config_state&, time_point deadline);
    result<std::string> encodeNext(stored, const wire::config_step&, const config_state&, time_point deadline);

    table_service& m_table;
    object_store& m_objects;
    const options m_options;
    // Revision that `refresh` last read and the resulting version, so that an unchanged row is not transferred again.
    std::uint64_t m_seenRevision = 0;
    config_version m_seenVersion;
};

} // namespace coltsfootbend
