#include "coltsfootbend/execution/ledger_registration.h"

#include "coltsfootbend/wire/codec.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfootbend {

namespace {

using json = nlohmann::json;

row_name rowOf(const vm_id& worker) { return { "claims", worker.text() }; }

// The row's content: the incarnation that wrote it last, and its hand-over.
struct registration {
    std::uint64_t revision = 0;
    incarnation workerIncarnation;
    std::string handedOver; // Name of the object with its keys; empty until a planned stop.
};

result<registration> readRegistration(table_service& table, const vm_id& worker, time_point deadline)
{
    const auto row = table.read(rowOf(worker), deadline);
    if (!row)
        return tl::unexpected(row.error());
    registration read { .revision = row->revision, .workerIncarnation = {}, .handedOver = {} };
    if (row->revision == 0)
        return read;
    const auto in = json::parse(row->value, nullptr, false);
    const bool isWhole = in.is_object() && in.contains("life") && in["life"].is_number_unsigned()
        && in.contains("handed_over") && in["handed_over"].is_string();
    if (!isWhole)
        return fail(error_kind::Internal, "the row claims/" + worker.text() + " is malformed", "Remove the row");
    read.workerIncarnation = incarnation(in["life"].get<std::uint64_t>());
    read.handedOver = in["handed_over"].get<std::string>();
    return read;
}

std::string encodeRegistration(const registration& value)
{
    return json { { "life", value.workerIncarnation.number() }, { "handed_over", value.handedOver } }.dump();
}

} // namespace

result<ledger_registered> registerLedger(
    ledger_platform platform, const ledger_identity& self, claim_ledger& ledger, time_point now, time_point deadline)
{
    const auto previous = readRegistration(platform.table, self.worker, deadline);
    if (!previous)
        return tl::unexpected(previous.error());
    if (previous->workerIncarnation == self.workerIncarnation) {
        // The reply to an earlier try was lost, so it is unknown whether the previous incarnation handed its keys over.
        ledger.allowGrants();
        return ledger_registered {};
    }
    std::vector<claim_snapshot_row> rows;
    if (!previous->handedOver.empty()) {
        const auto bytes = platform.objects.get(previous->handedOver, deadline);
        if (!bytes)
            return tl::unexpected(bytes.error());
        auto decoded = wire::decodeLedger(*bytes);
        if (!decoded)
            return tl::unexpected(decoded.error());
        rows = std::move(*decoded);
    }
    const auto written = platform.table.write(
        rowOf(self.worker), encodeRegistration({ 0, self.workerIncarnation, {} }), previous->revision, deadline);
    if (!written)
        return tl::unexpected(written.error());
    const bool isComplete = previous->revision == 0 || !previous->handedOver.empty();
    if (isComplete)
        ledger.restore(now, rows, previous->workerIncarnation);
    ledger.allowGrants();
    return ledger_registered { isComplete, rows.size() };
}

result<std::size_t> handOverLedger(
    ledger_platform platform, const ledger_identity& self, claim_ledger& ledger, time_point now, time_point deadline)
{
    // Granting must stop first, so that the keys written below are complete.
    const auto rows = ledger.handOver(now);
    const auto current = readRegistration(platform.table, self.worker, deadline);
    if (!current)
        return tl::unexpected(current.error());
    if (current->workerIncarnation != self.workerIncarnation)
        return fail(error_kind::Stale, "this incarnation is not registered", "No action is needed: it granted no key");
    // Handing over an incomplete ledger would make the successor treat it as complete.
    if (!ledger.isComplete(now))
        return fail(error_kind::Unavailable, "the claim ledger is incomplete",
            "The next incarnation waits for one key lifetime");
    const auto object = "claims/" + self.worker.text() + "-" + std::to_string(self.workerIncarnation.number());
    if (auto put = platform.objects.put(object, wire::encodeLedger(rows), deadline); !put)
        return tl::unexpected(put.error());
    const auto written = platform.table.write(
        rowOf(self.worker), encodeRegistration({ 0, self.workerIncarnation, object }), current->revision, deadline);
    if (!written)
        return tl::unexpected(written.error());
    return rows.size();
}

} // namespace coltsfootbend
