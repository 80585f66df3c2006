#include "coltsfootbend/request/claim_ledger.h"

#include <algorithm>

namespace coltsfootbend {

const char* toString(claim_verdict verdict)
{
    switch (verdict) {
    case claim_verdict::Granted:
        return "granted";
    case claim_verdict::AlreadyClaimed:
        return "already_claimed";
    case claim_verdict::Closed:
        return "closed";
    case claim_verdict::BodyMismatch:
        return "body_mismatch";
    case claim_verdict::CannotRuleOut:
        return "cannot_rule_out";
    case claim_verdict::LedgerFull:
        return "ledger_full";
    case claim_verdict::Leaving:
        return "leaving";
    }
    return "unknown";
}

claim_ledger::claim_ledger(const options& options)
    : m_keyLifetime(options.keyLifetime)
    , m_maxKeys(options.maxKeys)
    , m_completeFrom(options.completeFrom)
    , m_incarnation(options.ownIncarnation)
    , m_granting(!options.waitForRegistration)
{
}

bool claim_ledger::isCompleteFor(time_point now, incarnation ticketIncarnation) const
{
    if (ticketIncarnation.isNone())
        return isComplete(now);
    // Only the incarnation that a ticket names can have granted it, so the age of the ledger does not matter.
    return ticketIncarnation == m_incarnation || ticketIncarnation == m_predecessor;
}

std::optional<claim_verdict> claim_ledger::findRefusal(
    time_point now, const record* known, const claim_request& request) const
{
    if (m_leaving)
        return claim_verdict::Leaving;
    if (!m_granting)
        return claim_verdict::CannotRuleOut;
    if (!known) {
        // Attempt number 1 excludes an earlier grant as reliably as a complete ledger does.
        if (!isCompleteFor(now, request.ticketIncarnation) && request.attemptNumber != 1)
            return claim_verdict::CannotRuleOut;
        if (m_records.size() >= m_maxKeys)
            return claim_verdict::LedgerFull;
        return std::nullopt;
    }
    if (known->closed)
        return claim_verdict::Closed;
    if (request.attemptNumber != 0 && request.attemptNumber <= known->closedThrough)
        return claim_verdict::Closed;
    if (known->bodyHash != 0 && known->bodyHash != request.bodyHash)
        return claim_verdict::BodyMismatch;
    if (known->holder && known->holder->attempt != request.attempt && known->holder->attempt != request.replaces)
        return claim_verdict::AlreadyClaimed;
    return std::nullopt;
}

claim_reply claim_ledger::claim(time_point now, const claim_request& request)
{
    removeExpired(now);
    const auto found = m_records.find(request.key);
    const record* known = found == m_records.end() ? nullptr : &found->second;
    if (const auto verdict = findRefusal(now, known, request)) {
        if (*verdict == claim_verdict::AlreadyClaimed)
            return { *verdict, known->holder };
        return { *verdict, std::nullopt };
    }
    auto& granted = renew(now, request.key);
    granted.holder = claim_holder { request.attempt, request.place };
    granted.bodyHash = request.bodyHash;
    return { claim_verdict::Granted, granted.holder };
}

void claim_ledger::release(const customer_key& key, const attempt_id& attempt)
{
    const auto found = m_records.find(key);
    if (found == m_records.end() || !found->second.holder || found->second.holder->attempt != attempt)
        return;
    // The record remains, because a closed attempt number must outlive the grant.
    found->second.holder.reset();
}

claim_reply claim_ledger::close(
    time_point now, const customer_key& key, std::uint32_t attemptNumber, incarnation ticketIncarnation)
{
    removeExpired(now);
    if (m_leaving)
        return { claim_verdict::Leaving, std::nullopt };
    const auto found = m_records.find(key);
    if (found == m_records.end()) {
        if (!isCompleteFor(now, ticketIncarnation) || !m_granting)
            return { claim_verdict::CannotRuleOut, std::nullopt };
        if (m_records.size() >= m_maxKeys)
            return { claim_verdict::LedgerFull, std::nullopt };
    } else if (found->second.holder) {
        return { claim_verdict::AlreadyClaimed, found->second.holder };
    }
    auto& closed = renew(now, key);
    closed.closedThrough = std::max(closed.closedThrough, attemptNumber);
    closed.closed = closed.closed || attemptNumber == 0;
    return { claim_verdict::Granted, std::nullopt };
}

std::vector<claim_snapshot_row> claim_ledger::handOver(time_point now)
{
    m_leaving = true;
    removeExpired(now);
    std::vector<claim_snapshot_row> rows;
    rows.reserve(m_records.size());
    for (const auto& [key, known] : m_records) {
        rows.push_back({ .key = key,
            .holder = known.holder,
            .closedThrough = known.closedThrough,
            .closed = known.closed,
            .bodyHash = known.bodyHash });
    }
    return rows;
}

void claim_ledger::restore(time_point now, const std::vector<claim_snapshot_row>& rows, incarnation from)
{
    m_predecessor = from;
    for (const auto& row : rows) {
        // A grant of this incarnation is newer than the snapshot.
        if (m_records.contains(row.key))
            continue;
        auto& known = m_records[row.key];
        known.holder = row.holder;
        known.closedThrough = row.closedThrough;
        known.closed = row.closed;
        known.bodyHash = row.bodyHash;
        // Uses a full lifetime instead of the remaining one, because the time between the two incarnations is unknown.
        known.expiresAt = now + m_keyLifetime;
        m_expiries.push_back({ known.expiresAt, row.key });
    }
    m_completeFrom = std::min(m_completeFrom, now);
}

claim_ledger::record& claim_ledger::renew(time_point now, const customer_key& key)
{
    auto& known = m_records[key];
    known.expiresAt = now + m_keyLifetime;
    m_expiries.push_back({ known.expiresAt, key });
    return known;
}

void claim_ledger::removeExpired(time_point now)
{
    while (!m_expiries.empty() && m_expiries.front().at <= now) {
        const auto found = m_records.find(m_expiries.front().key);
        // A renewed key has a later expiry and another entry further back in the queue.
        if (found != m_records.end() && found->second.expiresAt <= now)
            m_records.erase(found);
        m_expiries.pop_front();
    }
}

} // namespace coltsfootbend
