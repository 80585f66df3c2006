// Measures the cost of decisions and state in nanoseconds and bytes at several sizes, so that the cost at the planned
// size can be extrapolated from the slopes. Wall-clock figures are noisy; docs/CAPACITY.md uses the ratios and rounds
// up.

#include "coltsfootbend/base/hash.h"
#include "coltsfootbend/config/config_state.h"
#include "coltsfootbend/execution/attempt_executor.h"
#include "coltsfootbend/measure/scenario.h"
#include "coltsfootbend/membership/worker_directory.h"
#include "coltsfootbend/request/ticket.h"
#include "coltsfootbend/wire/codec.h"

#include <chrono>
#include <fstream>
#include <memory>
#include <unistd.h>

namespace coltsfootbend {

using namespace std::chrono_literals;

namespace {

const time_point start = time_point {} + 1h;

// Returns the nanoseconds per call over `count` calls, the minimum of three rounds.
template <typename Work> double nanosecondsEach(std::size_t count, const Work& work)
{
    double best = 0;
    for (int round = 0; round < 3; ++round) {
        const auto startedAt = clock_type::now();
        for (std::size_t i = 0; i < count; ++i)
            work(i);
        const auto took = std::chrono::duration<double, std::nano>(clock_type::now() - startedAt).count();
        const double each = took / static_cast<double>(count);
        best = round == 0 ? each : std::min(best, each);
    }
    return best;
}

double residentBytes()
{
    std::ifstream file("/proc/self/statm");
    double pages = 0;
    file >> pages >> pages;
    return pages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

// Returns the bytes by which each of `count` items enlarges the process.
template <typename Fill> double bytesEach(std::size_t count, const Fill& fill)
{
    const double before = residentBytes();
    const auto kept = fill(count);
    return (residentBytes() - before) / static_cast<double>(count);
}

std::vector<routing_worker> routingWorkers(std::size_t count)
{
    std::vector<routing_worker> made;
    made.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        made.push_back({ .place = { vm_id("worker-" + std::to_string(i)), incarnation(1) } });
    return made;
}

void measureRoute(figure_writer& out)
{
    for (const std::size_t workers : { 12U, 73U, 165U, 330U, 660U }) {
        router router({ .seed = 1 });
        router.setWorkers(routingWorkers(workers));
        routing_request request { .prefixes = { 1, 2, 3 }, .prefillTime = 30ms, .serviceTime = 100ms };
        const double plain = nanosecondsEach(20'000, [&](std::size_t i) {
            request.prefixes.clear();
            (void)router.choose(start + std::chrono::microseconds(i), request, {});
        });
        const double prefix = nanosecondsEach(20'000, [&](std::size_t i) {
            request.prefixes = { i, i + 1, i + 2 };
            (void)router.choose(start + std::chrono::microseconds(i), request, {});
        });
        const auto suffix = workers == 660 ? std::string() : "." + std::to_string(workers) + "_workers";
        out.write("route.decision_ns" + suffix, prefix, "ns", plain, "without a prefix");
    }
}

claim_request claimOf(std::size_t i)
{
    return { .key = { customer_id("customer"), request_key("key-" + std::to_string(i)) },
        .attempt = { vm_id("entry-1"), incarnation(1), i },
        .place = { vm_id("worker-1"), incarnation(1) },
        .bodyHash = 1 };
}

void measureState(figure_writer& out)
{
    const auto ledgerOf = [](std::size_t count) {
        auto ledger = std::make_unique<claim_ledger>(
            claim_ledger::options { .keyLifetime = 10min, .maxKeys = count, .completeFrom = start });
        for (std::size_t i = 0; i < count; ++i)
            (void)ledger->claim(start, claimOf(i));
        return ledger;
    };
    const auto directoryOf = [](std::size_t count) {
        auto directory = std::make_unique<worker_directory>(worker_directory::options {});
        for (std::size_t i = 0; i < count; ++i) {
            wire::announce announcement;
            announcement.worker = vm_id("worker-" + std::to_string(i));
            announcement.workerIncarnation = incarnation(i + 1);
            announcement.address = "10.0.0.1:9000";
            announcement.deployments = { deployment_id("drafts") };
            (void)directory->observe(start, announcement);
        }
        return directory;
    };
    for (const std::size_t count : { 20'000U, 40'000U }) {
        const auto suffix = "." + std::to_string(count);
        out.write("state.claim_bytes" + suffix, bytesEach(count, ledgerOf), "bytes a key");
        out.write("state.worker_bytes" + suffix, bytesEach(count, directoryOf), "bytes a worker known");
    }
}

void measureMessages(figure_writer& out)
{
    wire::announce announcement;
    announcement.worker = vm_id("worker-1234");
    announcement.workerIncarnation = incarnation(~0ULL);
    announcement.dataCentre = data_centre_id("ist-1");
    announcement.address = "10.20.30.40:9000";
    announcement.deployments = { deployment_id("drafts") };
    announcement.current.pendingServiceUs = { 100'000, 200'000 };
    const wire::message message { vm_id("worker-1234"), incarnation(~0ULL), config_version(9400), announcement };
    const auto bytes = wire::encode(message);
    out.write("message.announce_bytes", static_cast<double>(bytes.size()), "bytes");
    out.write("message.encode_ns", nanosecondsEach(50'000, [&](std::size_t) { (void)wire::encode(message); }), "ns");
    out.write("message.decode_ns",
        nanosecondsEach(50'000,
            [&](std::size_t) {
                wire::message_decoder decoder(1'000'000);
                decoder.feed(bytes);
                (void)decoder.next();
            }),
        "ns");
    const wire::message claim { vm_id("entry-12"), incarnation(~0ULL), config_version(9400),
        wire::claim { claimOf(1) } };
    out.write("message.claim_bytes", static_cast<double>(wire::encode(claim).size()), "bytes");
}

std::string documentOf(std::size_t workers)
{
    std::string list;
    std::string book;
    for (std::size_t i = 0; i < workers; ++i) {
        const auto name = "\"worker-" + std::to_string(i) + "\"";
        list += (i == 0 ? "" : ",") + name;
        book += (i == 0 ? "" : ",") + name + R"(:{"address":"10.0.0.1:9000","data_centre":"ist-1"})";
    }
    return R"({"deployments":{"d":{"kind":"engine","model":"m","workers":[)" + list + R"(]}},"workers":{)" + book
        + R"(},"holders":[)" + list + "]}";
}

void measureConfiguration(figure_writer& out)
{
    for (const std::size_t workers : { 100U, 1000U, 2000U, 5900U }) {
        config_state state;
        (void)state.adopt(config_version(1), documentOf(workers));
        const double apply = nanosecondsEach(8, [&](std::size_t) {
            (void)state.apply({ .version = config_version(state.version().number() + 1),
                .id = patch_id("p"),
                .actor = "a",
                .mergePatch = R"({"workers":{"worker-1":{"address":"10.0.0.2:9000"}}})" });
        });
        const auto suffix = "." + std::to_string(workers) + "_workers";
        out.write("config.apply_ms" + suffix, apply / 1e6, "ms");
        out.write("config.document_bytes" + suffix, static_cast<double>(state.document().size()), "bytes");
    }
}

void measureExecutor(figure_writer& out)
{
    attempt_executor executor({ .ownIncarnation = incarnation(1),
        .table = { .maxAttempts = 8192, .maxAnswerBytes = 1'000'000 },
        .queue = { .slots = 16, .maxWaiting = 256 },
        .ledger = { .keyLifetime = 10min, .maxKeys = 100'000, .completeFrom = start } });
    std::uint64_t serial = 0;
    const std::string token(40, 't');
    out.write("executor.request_ns",
        nanosecondsEach(20'000,
            [&](std::size_t) {
                const admission_job job { .attempt = { vm_id("entry-1"), incarnation(1), ++serial },
                    .customer = customer_id("c"),
                    .deadline = start + 1h,
                    .expectedService = 100ms };
                (void)executor.dispatch(start, job, incarnation(1));
                executor.backendHead(job.attempt, 200, "text/plain");
                executor.backendEnd(start, job.attempt);
                (void)executor.takeActions();
            }),
        "ns a request");
    const admission_job job { .attempt = { vm_id("entry-1"), incarnation(1), ++serial },
        .customer = customer_id("c"),
        .deadline = start + 1h,
        .expectedService = 100ms };
    (void)executor.dispatch(start, job, incarnation(1));
    answer_position position;
    out.write("executor.token_ns",
        nanosecondsEach(20'000,
            [&](std::size_t) {
                executor.backendBytes(job.attempt, token);
                (void)executor.nextPiece(job.attempt, position);
                (void)executor.takeActions();
            }),
        "ns a token");
}

} // namespace

std::vector<scenario> costScenarios()
{
    return { { "cost.route", "nanoseconds a routing decision", measureRoute },
        { "cost.state", "bytes of state", measureState },
        { "cost.messages", "bytes and nanoseconds a message", measureMessages },
        { "cost.configuration", "applying a patch at several sizes", measureConfiguration },
        { "cost.executor", "nanoseconds a request and a token in a worker daemon", measureExecutor } };
}

} // namespace coltsfootbend
