#pragma once

// Persists crash records in the store, so that quarantines survive a simultaneous restart of all VMs, and so that
// gateways without any rank agent learn of each other's records. Callers pass the records that are worth a row. The
// archive is read at start, and again after the store has come back from an older copy: what was written since that
// copy was made is written again by the processes that hold it. Writes are rare and unconditional, since a row states a
// fact that does not change. No caller waits for the store: while it is unavailable, writes are queued and gossip
// continues. Registered in the kernel as "crash_archive".
//
//     archive.onRestored([](const std::vector<crash_record>& kept) { history.add(kept, now); });
//     archive.setSource([] { return history.records(); });
//     archive.queueWrite(history.recordsOf(request));

#include "coltsfootbend/kernel/kernel.h"
#include "coltsfootbend/net/fiber_runtime.h"
#include "coltsfootbend/quarantine/crash_history.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace coltsfootbend {

// One row of the store: a suspect was at a backend server when that crashed.
struct stored_crash {
    crash_suspect suspect;
    server_incarnation server;
    // Wall-clock time of the VM that recorded the crash. The clocks of VMs differ by seconds, which is far less than
    // the retention of a row.
    std::chrono::system_clock::time_point at {};
    // The suspect, a part of a prompt, has completed since. Such a row is kept, because another process may still hold
    // the record without that. Rows of requests that are cleared are removed.
    bool isCleared = false;
};

// Reads and writes the rows of crashes in a store.
class crash_store {
public:
    virtual ~crash_store() = default;
    // Both calls fail with `Unavailable`, `Lost`, `TimedOut` or `Overloaded`. A failed change may have taken effect.
    virtual result<std::vector<stored_crash>> readCrashes(time_point deadline) = 0;
    // Accepts at most 100 rows, written and removed ones together.
    virtual result<void> changeCrashes(
        const std::vector<stored_crash>& written, const std::vector<stored_crash>& removed, time_point deadline)
        = 0;
};

// Restores crash records at start and writes later ones in the background.
class crash_archive final : public service {
public:
    struct options {
        // How long a row is stored: the longest time for which a request may be quarantined.
        duration retention = crash_history::options().quarantineRetention;
        // Longest delay from the store's return from an older copy to the comparison of its rows. Random, so that the
        // rows that the first processes write are not missing for the others.
        duration maxComparisonDelay = std::chrono::seconds(5);
        // Time between two readings of the rows while they are followed.
        duration followInterval = std::chrono::milliseconds(500);
    };

    crash_archive(fiber_runtime& runtime, std::unique_ptr<crash_store> store)
        : crash_archive(runtime, std::move(store), options {})
    {
    }
    crash_archive(fiber_runtime&, std::unique_ptr<crash_store>, const options&);

    std::string_view name() const override { return "crash_archive"; }
    result<void> start(kernel&) override;
    void stop() override { m_stopped = true; }

    // Sets a callback that is called each time the store has been read, with the records that are still valid.
    void onRestored(std::function<void(const std::vector<crash_record>&)> restored)
    {
        m_restored = std::move(restored);
    }

    // Sets the source of all records that should be in the store, or that should not be in it because they are cleared.
    void setSource(std::function<std::vector<crash_record>()> source) { m_source = std::move(source); }

    // Sets a condition under which the rows are read again every `followInterval`: the processes have no other way to
    // exchange records.
    void followWhile(std::function<bool()> condition) { m_mustFollow = std::move(condition); }

    // Called when the store has come back from an older copy. Compares its rows with the records of the source later,
    // and writes what is missing and removes what was cleared.
    void onStoreRestored();

    // Queues records for the next write to the store. Records of requests that are cleared are removed from it.
    void queueWrite(const std::vector<crash_record>&);

private:
    using row_key = std::pair<crash_suspect, server_incarnation>;

    void run();
    // Reads the rows if that is due. Returns false if the call failed.
    bool readIfDue();
    bool followIfDue();
    // Reads the rows and passes them on. Returns none if the call failed.
    std::optional<std::vector<stored_crash>> readRows();
    // Queues the difference between the rows of the store and the records of the source.
    void queueDifference(const std::vector<stored_crash>& rows);
    bool writeOnce();
    std::vector<crash_record> takeBatch();

    fiber_runtime& m_runtime;
    const std::unique_ptr<crash_store> m_store;
    const options m_options;
    std::function<void(const std::vector<crash_record>&)> m_restored;
    std::function<std::vector<crash_record>()> m_source;
    std::function<bool()> m_mustFollow;
    time_point m_nextFollowAt {};
    std::map<row_key, crash_record> m_pending; // Queued to be written or removed.
    std::vector<stored_crash> m_expired; // Rows to be removed.
    std::optional<time_point> m_readAt { time_point {} }; // When the rows have to be read; none if they have been.
    std::minstd_rand m_random { std::random_device {}() };
    bool m_stopped = false;
};

} // namespace coltsfootbend
