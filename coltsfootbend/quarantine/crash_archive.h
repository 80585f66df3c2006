#pragma once

// Keeps in the store what would be lost if all VMs ended at once: the crashes of requests that were at two of them or
// more. Read once at the start; written seldom, and without conditions, since each row says one thing that stays true.
// Never waited for: while the store is away, what is to be written waits, and gossip goes on. Found through the kernel
// as "crash_archive".
//
//     archive.onRestored([](const std::vector<crash_record>& kept) { history.add(kept, now); });
//     archive.keep(history.recordsOf(request));

#include "coltsfootbend/kernel/kernel.h"
#include "coltsfootbend/net/fiber_runtime.h"
#include "coltsfootbend/quarantine/crash_history.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace coltsfootbend {

// One row of the store.
struct kept_crash {
    request_fingerprint request;
    server_life server;
    // By the clocks of VMs, which may differ by seconds: far less than rows are kept for.
    std::chrono::system_clock::time_point at {};
};

class crash_store {
public:
    virtual ~crash_store() = default;
    // Both fail with `Unavailable`, `Lost`, `TimedOut` or `Overloaded`; a change that failed may have been made.
    virtual result<std::vector<kept_crash>> readCrashes(time_point deadline) = 0;
    // At most a hundred rows together.
    virtual result<void> changeCrashes(
        const std::vector<kept_crash>& written, const std::vector<kept_crash>& removed, time_point deadline)
        = 0;
};

class crash_archive final : public service {
public:
    struct options {
        // As long as a request may be quarantined.
        duration keptFor = crash_history::options().quarantineKeptFor;
    };

    crash_archive(fiber_runtime& runtime, std::unique_ptr<crash_store> store)
        : crash_archive(runtime, std::move(store), options {})
    {
    }
    crash_archive(fiber_runtime&, std::unique_ptr<crash_store>, const options&);

    std::string_view name() const override { return "crash_archive"; }
    result<void> start(kernel&) override;
    void stop() override { m_stopped = true; }

    // Called once, when the store has been read.
    void onRestored(std::function<void(const std::vector<crash_record>&)> restored)
    {
        m_restored = std::move(restored);
    }

    // Writes them soon; those that are cleared are removed.
    void keep(const std::vector<crash_record>&);

private:
    using row_key = std::pair<request_fingerprint, server_life>;

    void run();
    bool readOnce();
    bool writeOnce();
    std::vector<crash_record> takeBatch();

    fiber_runtime& m_runtime;
    const std::unique_ptr<crash_store> m_store;
    const options m_options;
    std::function<void(const std::vector<crash_record>&)> m_restored;
    std::map<row_key, crash_record> m_waiting; // To be written or removed.
    bool m_hasRead = false;
    bool m_stopped = false;
};

} // namespace coltsfootbend
