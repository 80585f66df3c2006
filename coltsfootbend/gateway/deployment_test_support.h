#pragma once

// Support for tests of how processes follow the deployment: runs several processes on one thread, each with a fake
// store of its own that can refuse calls or leave them unanswered, and with real connections between the processes.
//
//     onRuntime([](fiber_runtime& runtime, test_processes& processes) {
//         auto& gateway = start(runtime, processes, testAddress(27340), {});
//         ...
//     });

#include "coltsfootbend/gateway/deployment_watch.h"
#include "coltsfootbend/group/load_subscribers.h"
#include "coltsfootbend/net/test_address.h"

#include <cstdlib>
#include <gtest/gtest.h>
#include <map>
#include <set>
#include <thread>

namespace coltsfootbend {

// All tables that a process follows.
inline const std::set<watched_table> bothTables { watched_table::Configuration, watched_table::BackendServers };

// Key prefix of the rows that evacuate a data centre.
inline const std::string evacuationPrefix = "evacuate/";

// Fake store as one process sees it: one row in each table, whose value is the table's version, and the evacuations.
// Tests raise the versions and switch on faults. A row that holds a version has the version as its revision, less
// `numbersGivenAgain`.
struct fake_store {
    // Appended to the configuration, to make it as large as one with many routes.
    std::string padding;
    std::uint64_t version = 1; // Version of both tables.
    std::uint64_t serversVersion = 0; // Version of the list of servers if it is higher than `version`.
    // Evacuations that were ever in force, and whether each still is. Their rows change with the version.
    std::map<std::string, bool> evacuations;
    // Raised each time that the store has come back from an older copy.
    store_era era { 1 };
    // Polls that are pending when the store comes back from a copy remain open, instead of losing their connection.
    bool keepsPollsOpen = false;
    std::uint64_t numbersGivenAgain = 0; // Revisions that were given out again after such returns.
    std::uint64_t position = 0; // Revision of the last change in other tables, reported by polls if it is higher.
    bool isRefusing = false; // All calls fail.
    bool hasHistory = true; // Whether it can provide changes; without, each call for changes fails.
    std::uint64_t versionsBehind = 0; // By how much reads of whole tables lag behind the newest version.
    bool refusesPolls = false; // Calls that wait for changes fail, also those that wait already.
    bool stallsPolls = false; // Polls return no changes until their time is over.
    // Tables for which new calls are accepted and never answered. Polls that started earlier are not affected.
    std::set<watched_table> unansweredTables;
    int pollGeneration = 0; // Raising it makes the polls that are open remain unanswered.
    int callCount = 0; // Number of calls that the store has received.
    int readCount = 0; // Of these, the number of reads of whole tables.

    std::uint64_t versionOf(watched_table table) const
    {
        return table == watched_table::Configuration ? version : std::max(version, serversVersion);
    }
    // Returns the revision of the last change of `table`.
    store_revision revisionOf(watched_table table) const { return { era, versionOf(table) - numbersGivenAgain }; }
    // Returns the revision of the last change of any table.
    store_revision newestRevision() const
    {
        return { era, std::max(revisionOf(watched_table::BackendServers).number, position) };
    }

    // Comes back from a copy that holds `copiedVersion` in both tables, under the revision `copiedRevision`.
    void restore(std::uint64_t copiedVersion, std::uint64_t copiedRevision)
    {
        era = store_era(era.number() + 1);
        version = copiedVersion;
        serversVersion = 0;
        numbersGivenAgain = copiedVersion - copiedRevision;
    }
};

// Store client of one process, which serves all calls from its fake store.
class fake_store_client final : public watched_store {
public:
    fake_store_client(fiber_runtime& runtime, fake_store& store)
        : m_runtime(runtime)
        , m_store(store)
    {
    }

    result<row_page> readAll(watched_table table, time_point deadline) override
    {
        ++m_store.callCount;
        ++m_store.readCount;
        if (m_store.unansweredTables.contains(table))
            return waitWithoutReply(deadline);
        auto whole = page(table);
        if (whole)
            std::erase_if(whole->rows, [](const auto& row) { return row.isDeleted; });
        return whole;
    }

    result<row_page> changes(watched_table table, store_revision after, time_point waitUntil, time_point deadline,
        cancellation* poll) override
    {
        ++m_store.callCount;
        if (m_store.unansweredTables.contains(table))
            return waitWithoutReply(deadline, poll);
        if (!m_store.hasHistory) {
            m_runtime.sleepFor(std::chrono::milliseconds(2));
            return historyDropped();
        }
        const int generation = m_store.pollGeneration;
        const bool isPoll = waitUntil > clock_type::now();
        const auto era = m_store.era;
        while (!m_store.isRefusing && !(isPoll && m_store.refusesPolls)
            && (m_store.stallsPolls || m_store.revisionOf(table).number <= after.number)
            && clock_type::now() < waitUntil) {
            if (generation != m_store.pollGeneration)
                return waitWithoutReply(deadline, poll);
            if (!m_store.hasHistory)
                return historyDropped();
            if (era != m_store.era && !m_store.keepsPollsOpen)
                return fail(error_kind::Lost, "the connection was reset");
            if (poll && poll->isCancelled())
                return fail(error_kind::Lost, "cancelled");
            m_runtime.sleepFor(std::chrono::milliseconds(2));
        }
        if (isPoll && m_store.refusesPolls)
            return fail(error_kind::Unavailable, "refused");
        if (!m_store.isRefusing)
            m_latestEra = m_store.era;
        if (!m_store.isRefusing && m_store.newestRevision().number < after.number)
            return fail(error_kind::Stale, "the store does not have this revision");
        return m_store.revisionOf(table).number <= after.number && !m_store.isRefusing
            ? row_page { {}, { m_store.era, std::max(after.number, m_store.position) } }
            : page(table);
    }

    store_era latestEra() const override { return m_latestEra; }

private:
    static tl::unexpected<error> historyDropped()
    {
        return fail(error_kind::Stale, "the store has dropped these changes");
    }

    result<row_page> page(watched_table table)
    {
        if (m_store.isRefusing)
            return fail(error_kind::Unavailable, "refused");
        m_latestEra = m_store.era;
        const auto behind = m_store.versionsBehind;
        const auto value = std::to_string(m_store.versionOf(table) - behind)
            + (table == watched_table::Configuration ? m_store.padding : "");
        const store_revision revision { m_store.era, m_store.revisionOf(table).number - behind };
        row_page rows { { { toString(table), value, revision, false } }, revision };
        if (table == watched_table::Configuration) {
            for (const auto& [dataCentre, isInForce] : m_store.evacuations)
                rows.rows.push_back({ evacuationPrefix + dataCentre, "", revision, !isInForce });
        }
        return rows;
    }

    // Blocks until the caller gives up or the test ends.
    result<row_page> waitWithoutReply(time_point deadline, const cancellation* poll = nullptr)
    {
        while (!m_store.isRefusing && clock_type::now() < deadline && !(poll && poll->isCancelled()))
            m_runtime.sleepFor(std::chrono::milliseconds(2));
        return fail(error_kind::Lost, "never answered");
    }

    fiber_runtime& m_runtime;
    fake_store& m_store;
    store_era m_latestEra;
};

// Decodes a configuration to a catalogue that has only its version. The fake stores list no servers to decode.
class version_decoder final : public deployment_decoder {
public:
    result<catalogue_ptr> configuration(const watched_row& row) const override
    {
        catalogue::contents contents;
        contents.version = config_version(std::stoull(row.value));
        return std::make_shared<const catalogue>(std::move(contents));
    }
    std::optional<data_centre_id> evacuated(const watched_row& row) const override
    {
        if (!row.key.starts_with(evacuationPrefix))
            return std::nullopt;
        return data_centre_id(row.key.substr(evacuationPrefix.size()));
    }
    result<backend_server> backend(const watched_row&) const override { return fail(error_kind::BadInput, "none"); }
};

// One process: a service for its peers, a fake store, and the deployment watch under test.
struct test_process {
    test_process(fiber_runtime& runtime, const endpoint& address, deployment_watch::options options)
    {
        core.add(std::make_unique<metrics_service>());
        core.add(std::make_unique<peer_service>(runtime,
            peer_identity { .vm = vm_id(toString(address)), .processIncarnation = incarnation(1) },
            peer_service::options { .address = address, .serverTls = {}, .clientTls = {} }));
        auto made = std::make_unique<deployment_watch>(runtime, std::make_unique<fake_store_client>(runtime, store),
            std::make_unique<version_decoder>(), std::move(options));
        watch = made.get();
        core.add(std::move(made));
        const auto started = core.start();
        if (!started) {
            ADD_FAILURE() << toString(address) << ": " << toString(started.error());
            // The services of this process do not exist, and the fibers of the others cannot be ended from here.
            std::_Exit(EXIT_FAILURE);
        }
    }

    // Returns the version of the configuration that the process knows; 0 without one.
    std::uint64_t version() const { return watch->catalogue() ? watch->catalogue()->version().number() : 0; }

    fake_store store;
    kernel core;
    deployment_watch* watch = nullptr;
};

// The processes must outlive all of their fibers, so they are destroyed only after the runtime has stopped.
using test_processes = std::vector<std::unique_ptr<test_process>>;

// Stops the processes and waits until all of their fibers have ended.
inline void finish(fiber_runtime& runtime, const test_processes& processes)
{
    for (const auto& process : processes) {
        process->store.isRefusing = true;
        process->core.stop();
    }
    runtime.sleepFor(std::chrono::milliseconds(1500));
    for (const auto& process : processes) {
        for (const auto& peer : process->watch->peers())
            process->core.find<peer_service>("peers")->client().drop(peer);
    }
    const auto limit = clock_type::now() + std::chrono::seconds(5);
    while (runtime.fibers() > 1 && clock_type::now() < limit)
        runtime.sleepFor(std::chrono::milliseconds(5));
    EXPECT_EQ(runtime.fibers(), 1U);
}

// Runs `test` on a fiber of a new runtime and stops the processes that it started.
inline void onRuntime(const std::function<void(fiber_runtime&, test_processes&)>& test)
{
    std::thread([&] {
        fiber_runtime runtime;
        test_processes processes;
        runtime.spawn([&] {
            test(runtime, processes);
            finish(runtime, processes);
            runtime.stop();
        });
        runtime.run();
    }).join();
}

// Starts a process whose peer service listens on `address`.
inline test_process& start(
    fiber_runtime& runtime, test_processes& processes, const endpoint& address, deployment_watch::options options)
{
    processes.push_back(std::make_unique<test_process>(runtime, address, std::move(options)));
    return *processes.back();
}

// Passes on to `agent` every 100 ms what `gateway` knows, as the gateway's datagrams do, until `until`.
inline void sendKnowledgeToAgent(
    fiber_runtime& runtime, test_process& gateway, const endpoint& address, test_process& agent, time_point until)
{
    while (clock_type::now() < until) {
        agent.watch->receiveGatewayReport(address, gateway.watch->knowledge());
        runtime.sleepFor(std::chrono::milliseconds(100));
    }
}

// Returns the version that `process` knows as soon as it is at least `version`, or after `limit`.
inline std::uint64_t waitForVersion(
    fiber_runtime& runtime, const test_process& process, std::uint64_t version, duration limit)
{
    const auto until = clock_type::now() + limit;
    while (process.version() < version && clock_type::now() < until)
        runtime.sleepFor(std::chrono::milliseconds(5));
    return process.version();
}

// Exchanges through `agent` what the gateways know, ten times a second, until `until`. The first `pausedCount` gateways
// are paused: they neither send nor receive.
inline void exchangeKnowledgeThrough(load_subscribers& agent, fiber_runtime& runtime, const test_processes& gateways,
    const std::vector<endpoint>& addresses, time_point until, std::size_t pausedCount = 0)
{
    while (clock_type::now() < until) {
        const auto now = clock_type::now();
        for (std::size_t i = pausedCount; i < gateways.size(); ++i)
            agent.subscribe(addresses[i], gateways[i]->watch->knowledge(), now + std::chrono::seconds(3), now);
        const auto duties = agent.duties();
        for (std::size_t i = pausedCount; i < gateways.size(); ++i) {
            auto& watch = *gateways[i]->watch;
            watch.receiveConfirmations(agent.configuration(now), agent.servers(now), duties.at(addresses[i]));
            if (const auto* informed = agent.findNewerSource(agent.all().at(addresses[i])))
                watch.receiveUpdateHint(*informed);
        }
        runtime.sleepFor(std::chrono::milliseconds(100));
    }
}

// Exchanges through a new agent what the gateways know, ten times a second, until `until`.
inline void exchangeKnowledge(
    fiber_runtime& runtime, const test_processes& gateways, const std::vector<endpoint>& addresses, time_point until)
{
    load_subscribers agent(1);
    exchangeKnowledgeThrough(agent, runtime, gateways, addresses, until);
}

} // namespace coltsfootbend
