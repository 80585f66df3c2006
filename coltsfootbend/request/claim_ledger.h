#pragma once

// Records which attempt, if any, may run a caller's key. Every key has one home: the worker daemon that
// `rendezvousIndex` picks among the configured holders, whether or not it is reachable. The home stores this ledger in
// memory and grants a key to one attempt at a time, so that a caller may retry through any entry VM and the request
// still runs at most once. Requests that may be repeated need no claim.
//
// Safety depends on the stored grants, not on clocks: a key granted to one attempt is granted to another only when the
// worker daemon of the first proved that it never started (`claim_request::replaces`). Time is used only to expire keys
// after the lifetime that the API promises, and to determine when all keys that a predecessor may have granted have
// expired.
//
//     claim_ledger ledger({ .keyLifetime = 10min, .maxKeys = 100'000, .completeFrom = now + 10min });
//     if (ledger.claim(now, request).verdict == claim_verdict::Granted)
//         dispatch();

#include "coltsfootbend/base/time.h"
#include "coltsfootbend/request/attempt.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace coltsfootbend {

// A request of an entry VM to grant `key` to `attempt`, which is addressed to `place`.
struct claim_request {
    customer_key key;
    attempt_id attempt;
    run_place place;
    // The caller's attempt number, from 1; 0 when the caller does not number its attempts.
    std::uint32_t attemptNumber = 0;
    // Hash of the request, which detects a key that is used for a second request; 0 means no hash.
    std::uint64_t bodyHash = 0;
    // The incarnation that a ticket names; none for a key that the caller chose.
    incarnation ticketIncarnation {};
    // The attempt that holds the key and is proven never to start, if any.
    std::optional<attempt_id> replaces {};
};

// The result of a claim or a close.
enum class claim_verdict {
    Granted,
    AlreadyClaimed, // Another attempt holds the key; `claim_reply::holder` says which.
    Closed, // This attempt was reported to the caller as not run, so it must never run.
    BodyMismatch, // The key was first used for another request.
    CannotRuleOut, // The ledger is incomplete, so an earlier incarnation may have granted the key.
    LedgerFull,
    Leaving, // The ledger was handed over and grants nothing more.
};

// Returns the name of `verdict` for logs and bodies.
const char* toString(claim_verdict verdict);

// The attempt that holds a key, and where it runs.
struct claim_holder {
    attempt_id attempt;
    run_place place;
};

// The reply to a claim or a close.
struct claim_reply {
    claim_verdict verdict = claim_verdict::CannotRuleOut;
    std::optional<claim_holder> holder;
};

// One key in a snapshot. States no expiry: the time between the two incarnations is unknown, so each key has a full
// lifetime after it is restored.
struct claim_snapshot_row {
    customer_key key;
    std::optional<claim_holder> holder;
    std::uint32_t closedThrough = 0;
    bool closed = false;
    std::uint64_t bodyHash = 0;
};

// Represents the claims of the keys whose home is one worker daemon.
class claim_ledger {
public:
    struct options {
        duration keyLifetime {};
        std::size_t maxKeys = 0;
        // When every key that an earlier incarnation may have granted has expired.
        time_point completeFrom {};
        // The incarnation of the worker daemon that owns this ledger.
        incarnation ownIncarnation {};
        // Grants nothing until `allowGrants`. An incarnation must be registered with the platform before it grants;
        // otherwise a later incarnation could mistake an older hand-over for the latest one.
        bool waitForRegistration = false;
    };

    explicit claim_ledger(const options&);

    // Decides one claim. Idempotent for the same attempt. O(1) on average.
    claim_reply claim(time_point now, const claim_request&);

    // Takes the key back from `attempt`, which is proven never to start. Does nothing when another attempt holds it.
    void release(const customer_key&, const attempt_id& attempt);

    // Closes the key for the caller's attempts up to `attemptNumber` (all of them when 0), so that "not run" can be
    // reported to the caller. `Granted` means closed; other verdicts as for `claim`. O(1) on average.
    claim_reply close(
        time_point now, const customer_key&, std::uint32_t attemptNumber, incarnation ticketIncarnation = {});

    // Returns all keys and refuses every later claim, so that the ledger of a successor that restores them is complete.
    std::vector<claim_snapshot_row> handOver(time_point now);

    // Takes over the keys that the incarnation `from` handed over. From then on the ledger is complete, and also grants
    // the tickets that name `from`.
    void restore(time_point now, const std::vector<claim_snapshot_row>&, incarnation from = {});

    // Enables granting, see `options::waitForRegistration`.
    void allowGrants() { m_granting = true; }

    // Returns whether the ledger contains every granted key that has not expired.
    bool isComplete(time_point now) const { return now >= m_completeFrom; }
    std::size_t size() const { return m_records.size(); }

private:
    struct record {
        std::optional<claim_holder> holder;
        std::uint32_t closedThrough = 0;
        bool closed = false;
        std::uint64_t bodyHash = 0;
        time_point expiresAt {};
    };
    struct expiry {
        time_point at;
        customer_key key;
    };

    bool isCompleteFor(time_point now, incarnation ticketIncarnation) const;
    std::optional<claim_verdict> findRefusal(time_point now, const record*, const claim_request&) const;
    record& renew(time_point now, const customer_key&);
    void removeExpired(time_point now);

    const duration m_keyLifetime;
    const std::size_t m_maxKeys;
    time_point m_completeFrom;
    const incarnation m_incarnation;
    incarnation m_predecessor;
    bool m_leaving = false;
    bool m_granting;
    std::unordered_map<customer_key, record> m_records;
    std::deque<expiry> m_expiries;
};

} // namespace coltsfootbend
