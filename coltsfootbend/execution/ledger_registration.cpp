#include "coltsfootbend/execution/ledger_registration.h"

#include "coltsfootbend/wire/codec.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfootbend {

namespace {

using json = nlohmann::json;

row_name rowOf(const vm_id& worker) { return { "claims", worker.text() }; }

// What the row says of the life that wrote it last.
struct registration {
    std::uint64_t revision = 0;
    incarnation life;
    std::string handedOver; // The object with its keys; empty while it serves.
};

result<registration> readRegistration(table_service& table, const vm_id& worker, time_point deadline)
{
    const auto row = table.read(rowOf(worker), deadline);
    if (!row)
        return tl::unexpected(row.error());
    registration read { .revision = row->revision, .life = {}, .handedOver = {} };
    if (row->revision == 0)
        return read;
    const auto in = json::parse(row->value, nullptr, false);
    const bool isWhole = in.is_object() && in.contains("life") && in["life"].is_number_unsigned()
        && in.contains("handed_over") && in["handed_over"].is_string();
    if (!isWhole)
        return fail(error_kind::Internal, "the row claims/" + worker.text() + " cannot be read", "Remove the row");
    read.life = incarnation(in["life"].get<std::uint64_t>());
    read.handedOver = in["handed_over"].get<std::string>();
    return read;
}

std::string encodeRegistration(const registration& value)
{
    return json { { "life", value.life.number() }, { "handed_over", value.handedOver } }.dump();
}

} // namespace

result<ledger_registered> registerLedger(
    ledger_platform platform, const ledger_identity& self, claim_ledger& ledger, time_point now, time_point deadline)
{
    const auto former = readRegistration(platform.table, self.worker, deadline);
    if (!former)
        return tl::unexpected(former.error());
    if (former->life == self.life) {
        // The answer to an earlier try was lost, and with it whether there was a hand-over.
        ledger.allowGrants();
        return ledger_registered {};
    }
    std::vector<claim_snapshot_row> rows;
    if (!former->handedOver.empty()) {
        const auto bytes = platform.objects.get(former->handedOver, deadline);
        if (!bytes)
            return tl::unexpected(bytes.error());
        auto decoded = wire::decodeLedger(*bytes);
        if (!decoded)
            return tl::unexpected(decoded.error());
        rows = std::move(*decoded);
    }
    const auto written = platform.table.write(
        rowOf(self.worker), encodeRegistration({ 0, self.life, {} }), former->revision, deadline);
    if (!written)
        return tl::unexpected(written.error());
    const bool isComplete = former->revision == 0 || !former->handedOver.empty();
    if (isComplete)
        ledger.restore(now, rows, former->life);
    ledger.allowGrants();
    return ledger_registered { isComplete, rows.size() };
}

result<std::size_t> handOverLedger(
    ledger_platform platform, const ledger_identity& self, claim_ledger& ledger, time_point now, time_point deadline)
{
    // First of all nothing more may be granted: what is written below must be everything.
    const auto rows = ledger.handOver(now);
    const auto current = readRegistration(platform.table, self.worker, deadline);
    if (!current)
        return tl::unexpected(current.error());
    if (current->life != self.life)
        return fail(error_kind::Stale, "this life is not registered", "Nothing is to be done: it granted no key");
    // A ledger that does not know everything itself must not make its successor believe that it does.
    if (!ledger.isComplete(now))
        return fail(error_kind::Unavailable, "the ledger is not complete", "The next life waits for one key lifetime");
    const auto object = "claims/" + self.worker.text() + "-" + std::to_string(self.life.number());
    if (auto put = platform.objects.put(object, wire::encodeLedger(rows), deadline); !put)
        return tl::unexpected(put.error());
    const auto written = platform.table.write(
        rowOf(self.worker), encodeRegistration({ 0, self.life, object }), current->revision, deadline);
    if (!written)
        return tl::unexpected(written.error());
    return rows.size();
}

} // namespace coltsfootbend
