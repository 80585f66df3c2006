#include "coltsfootbend/measure/request_trial.h"
#include "coltsfootbend/measure/scenario.h"

namespace coltsfootbend {

namespace {

constexpr std::size_t requestsEach = 2000;

std::vector<fault_kind> allFaults()
{
    std::vector<fault_kind> kinds;
    for (std::size_t i = 0; i < faultKinds; ++i)
        kinds.push_back(static_cast<fault_kind>(i));
    return kinds;
}

// Runs every fault alone and every pair of faults.
std::vector<std::vector<fault_kind>> singlesAndPairs()
{
    std::vector<std::vector<fault_kind>> sets;
    const auto kinds = allFaults();
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        sets.push_back({ kinds[i] });
        for (std::size_t j = i + 1; j < kinds.size(); ++j)
            sets.push_back({ kinds[i], kinds[j] });
    }
    return sets;
}

request_trial_report runAll(claim_location claimLocation)
{
    request_trial_report total;
    std::uint64_t seed = 1;
    for (const auto& faults : singlesAndPairs())
        total.add(runRequestTrial({ .seed = seed++,
            .requests = requestsEach,
            .faults = faults,
            .claimLocation = claimLocation,
            .ticketShare = 0.4 }));
    return total;
}

double share(std::size_t part, std::size_t whole) { return static_cast<double>(part) / static_cast<double>(whole); }

void measurePromises(figure_writer& out)
{
    const auto shipped = runAll(claim_location::Home);
    const auto blind = runAll(claim_location::None);
    const char* blindName = "retry without claims";
    out.write("requests.tried", static_cast<double>(shipped.tried), "requests");
    out.write("faults.kinds", faultKinds, "kinds");
    out.write("requests.doubled", static_cast<double>(shipped.doubled), "requests", blind.doubled, blindName);
    out.write("requests.mispaired", static_cast<double>(shipped.mispaired), "requests", blind.mispaired, blindName);
    out.write(
        "requests.false_not_run", static_cast<double>(shipped.falseNotRun), "requests", blind.falseNotRun, blindName);
}

void measureWays(figure_writer& out)
{
    for (std::size_t i = 0; i <= faultKinds; ++i) {
        std::vector<fault_kind> faults;
        if (i < faultKinds)
            faults.push_back(static_cast<fault_kind>(i));
        const std::string name = faults.empty() ? "none" : toString(faults.front());
        for (const auto claimLocation :
            { claim_location::Home, claim_location::Table, claim_location::Ticket, claim_location::None }) {
            const auto report = runRequestTrial({ .seed = 100 + i,
                .requests = 4000,
                .faults = faults,
                .claimLocation = claimLocation,
                .keyedShare = 1,
                .countedShare = 0.5 });
            const auto suffix = "." + name + "." + toString(claimLocation);
            out.write("requests.unknown_share" + suffix, share(report.unknown, report.tried), "share");
            out.write("requests.refused_share" + suffix, share(report.refusedAttempts, report.callerAttempts), "share");
            out.write("requests.doubled" + suffix, static_cast<double>(report.doubled), "requests");
            out.write("requests.table_writes" + suffix, share(report.tableWrites, report.tried), "writes a request");
            const auto answered = std::max<std::size_t>(report.answered, 1);
            out.write("requests.answer_ms" + suffix, toMilliseconds(report.answerTime) / static_cast<double>(answered),
                "ms mean");
        }
    }
}

void measureDrain(figure_writer& out)
{
    const auto report = runRequestTrial(
        { .seed = 7, .requests = 20'000, .faults = { fault_kind::WorkerLeaves }, .ticketShare = 0.4 });
    out.write("drain.planned_stops", static_cast<double>(report.drains), "stops");
    out.write("drain.cut", static_cast<double>(report.drainCut), "answers");
    out.write("drain.late_work_ms", toMilliseconds(report.drainLateWork), "ms");
    out.write("drain.answered_share", share(report.answered, report.tried), "share");
}

void measureStoreDown(figure_writer& out)
{
    const auto report
        = runRequestTrial({ .seed = 8, .requests = 20'000, .faults = { fault_kind::StoreDown }, .ticketShare = 0.4 });
    const auto table = runRequestTrial({ .seed = 8,
        .requests = 20'000,
        .faults = { fault_kind::StoreDown },
        .claimLocation = claim_location::Table,
        .keyedShare = 1 });
    out.write("store_down.served_share", share(report.answered, report.tried), "share",
        share(table.answered, table.tried), "claims in the table");
    out.write("store_down.refused_share", share(report.refusedAttempts, report.callerAttempts), "share",
        share(table.refusedAttempts, table.callerAttempts), "claims in the table");
}

} // namespace

std::vector<scenario> requestScenarios()
{
    return { { "requests", "promises to callers under every fault and every two", measurePromises },
        { "ways", "the ways of keeping claims, fault by fault", measureWays },
        { "drain", "planned stops of worker daemons", measureDrain },
        { "store_down", "outages of the platform", measureStoreDown } };
}

} // namespace coltsfootbend
