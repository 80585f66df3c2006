#pragma once

// Accepts patches and reads the configuration that the platform keeps. Accepting is one compare-and-set of one row; the
// row holds the latest steps, and whole documents go to the object store first. A patch written against an old number
// is refused; an answer that was lost is settled by reading back the patch's id, never by writing again blindly. Any
// number of processes may accept at the same time. Not for spreading what was accepted: see `config/config_state.h`.
//
//     config_store store(table, objects);
//     auto accepted = store.accept({ .id = id, .against = version, .actor = "dilek", .mergePatch = patch }, deadline);

#include "coltsfootbend/config/config_state.h"
#include "coltsfootbend/store/store.h"

namespace coltsfootbend {

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
        // Steps kept in the row; when there are more, a whole document is written and the oldest go to the history.
        std::size_t maxSteps = 64;
        std::size_t stepsKept = 16;
        int maxTries = 4;
    };

    config_store(table_service&, object_store&);
    config_store(table_service&, object_store&, const options&);

    // Accepts one patch, and returns its version; a patch whose id was accepted before returns that version again.
    // Fails with `Stale` (and names the current version), `BadInput`, or `Lost` when it cannot be learned whether the
    // patch was accepted: sending the same id again settles that.
    result<config_version> accept(const config_patch&, time_point deadline);

    // Brings `state` to what the platform keeps. Never goes back.
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
    // What `refresh` last saw and made of it, so that an unchanged row costs few bytes.
    std::uint64_t m_seenRevision = 0;
    config_version m_seenVersion;
};

} // namespace coltsfootbend
