#include "coltsfootbend/quarantine/crash_archive.h"

#include "coltsfootbend/base/log_event.h"

#include <algorithm>
#include <utility>

namespace coltsfootbend {

namespace {

constexpr std::chrono::milliseconds pollInterval { 200 };
// Leaves a slow store time to answer. Nothing waits for the archive, so a call that is lost delays no request.
constexpr std::chrono::milliseconds storeCallTimeout { 3000 };
// Time from a call that failed to the next one, and the pause between them at least.
constexpr std::chrono::seconds retryInterval { 2 };
constexpr std::chrono::milliseconds minRetryPause { 500 };
// The store accepts at most this many rows in one call.
constexpr std::size_t maxRowsPerCall = 100;
// Bounds memory during a long outage of the store; further records are spread by gossip only.
constexpr std::size_t maxPendingRecords = 1000;

using system_time = std::chrono::system_clock;

// Returns whether a record has no row in the store.
bool isRemoved(const crash_record& record) { return record.isCleared && !isPromptPart(record.suspect); }

void logFailure(const char* call, const error& why)
{
    logEvent(log_event::StoreCallFailed, std::string("table=crashes call=") + call + " why=\"" + toString(why) + "\"");
}

stored_crash toRow(const crash_record& record)
{
    const auto age = clock_type::now() - record.at;
    return { .suspect = record.suspect,
        .server = record.server,
        .at = system_time::now() - std::chrono::duration_cast<system_time::duration>(age),
        .isCleared = record.isCleared };
}

crash_record toRecord(const stored_crash& row)
{
    const auto age = std::max(system_time::now() - row.at, system_time::duration::zero());
    return { .suspect = row.suspect, .server = row.server, .at = clock_type::now() - age, .isCleared = row.isCleared };
}

} // namespace

crash_archive::crash_archive(fiber_runtime& runtime, std::unique_ptr<crash_store> store, const options& options)
    : m_runtime(runtime)
    , m_store(std::move(store))
    , m_options(options)
{
}

result<void> crash_archive::start(kernel&)
{
    m_runtime.spawnLoop("crash archive", [this] { run(); });
    return {};
}

void crash_archive::queueWrite(const std::vector<crash_record>& records)
{
    for (const auto& record : records) {
        if (m_pending.size() < maxPendingRecords)
            m_pending.insert_or_assign({ record.suspect, record.server }, record);
    }
}

void crash_archive::run()
{
    while (!m_stopped) {
        const auto begunAt = clock_type::now();
        const bool isDone = readIfDue() && followIfDue() && writeOnce();
        const auto now = clock_type::now();
        m_runtime.sleepUntil(
            isDone ? now + pollInterval : std::max<time_point>(begunAt + retryInterval, now + minRetryPause));
    }
}

bool crash_archive::followIfDue()
{
    if (!m_mustFollow || clock_type::now() < m_nextFollowAt || !m_mustFollow())
        return true;
    m_nextFollowAt = clock_type::now() + m_options.followInterval;
    return readRows().has_value();
}

void crash_archive::onStoreRestored()
{
    const auto limit = toMilliseconds(m_options.maxComparisonDelay);
    m_readAt = clock_type::now() + fromMilliseconds(std::uniform_real_distribution<double>(0, limit)(m_random));
}

bool crash_archive::readIfDue()
{
    if (!m_readAt || clock_type::now() < *m_readAt)
        return true;
    const auto dueAt = *m_readAt;
    const auto rows = readRows();
    if (!rows)
        return false;
    queueDifference(*rows);
    // The store may have come back from another copy during the call.
    if (m_readAt == dueAt)
        m_readAt.reset();
    return true;
}

// Removes the rows that it reads after their retention has passed.
std::optional<std::vector<stored_crash>> crash_archive::readRows()
{
    auto rows = m_store->readCrashes(clock_type::now() + storeCallTimeout);
    if (!rows) {
        logFailure("read", rows.error());
        return std::nullopt;
    }
    std::vector<crash_record> valid;
    m_expired.clear();
    for (const auto& row : *rows) {
        auto record = toRecord(row);
        if (record.at + m_options.retention > clock_type::now())
            valid.push_back(std::move(record));
        else
            m_expired.push_back(row);
    }
    if (m_restored)
        m_restored(valid);
    return std::move(*rows);
}

void crash_archive::queueDifference(const std::vector<stored_crash>& rows)
{
    if (!m_source)
        return;
    std::map<row_key, bool> isClearedInStore;
    for (const auto& row : rows)
        isClearedInStore[{ row.suspect, row.server }] = row.isCleared;
    for (const auto& record : m_source()) {
        const auto row = isClearedInStore.find({ record.suspect, record.server });
        const bool isStored = row != isClearedInStore.end();
        if (isStored == isRemoved(record) || (isStored && record.isCleared && !row->second))
            queueWrite({ record });
    }
}

std::vector<crash_record> crash_archive::takeBatch()
{
    std::vector<crash_record> batch;
    while (!m_pending.empty() && batch.size() < maxRowsPerCall)
        batch.push_back(m_pending.extract(m_pending.begin()).mapped());
    return batch;
}

bool crash_archive::writeOnce()
{
    const auto batch = takeBatch();
    std::vector<stored_crash> written;
    std::vector<stored_crash> removed;
    for (const auto& record : batch)
        (isRemoved(record) ? removed : written).push_back(toRow(record));
    while (!m_expired.empty() && batch.size() + removed.size() < maxRowsPerCall) {
        removed.push_back(m_expired.back());
        m_expired.pop_back();
    }
    if (written.empty() && removed.empty())
        return true;
    const auto done = m_store->changeCrashes(written, removed, clock_type::now() + storeCallTimeout);
    if (done)
        return true;
    logFailure("write", done.error());
    for (const auto& record : batch)
        m_pending.emplace(row_key { record.suspect, record.server }, record); // Does not overwrite a newer update.
    return false;
}

} // namespace coltsfootbend
