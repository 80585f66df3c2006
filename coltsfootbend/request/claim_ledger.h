#pragma once

// Which attempt, if any, may run a caller's key. Every key has one home: the worker daemon that `rendezvousIndex` picks
// among the configured holders, whichever of them are alive. The home keeps this ledger in memory and grants a key to
// one attempt at a time, so that a caller may retry through any entry VM and the request still runs at most once. Not
// for requests that may be repeated: those need no claim.
//
// Safety rests on memory, not on clocks: a key granted to an attempt is granted to another only when the holder of the
// first proved that it never started (`claim_request::replaces`). Time is used only to forget keys after the lifetime
// that the API promises, and to know when a young ledger has outlived what its predecessor may have granted.
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

// An entry VM asks that `attempt`, addressed to `place`, be the one that runs `key`.
struct claim_request {
    customer_key key;
    attempt_id attempt;
    run_place place;
    // The caller's own count of its attempts from 1; 0 when it does not count.
    std::uint32_t attemptNumber = 0;
    // Hash of the request, so that a key used again for another request is noticed.
    std::uint64_t bodyHash = 0;
    // The life that a ticket names; none for a caller's own key.
    incarnation ticketLife {};
    // An attempt that holds the key so far and is proven never to start.
    std::optional<attempt_id> replaces {};
};

enum class claim_verdict {
    Granted,
    AlreadyClaimed, // Another attempt holds the key; `claim_reply::holder` says which.
    Closed, // The caller was told that this attempt of its request was not run: it must never run.
    BodyMismatch, // The key was first used for another request.
    CannotRuleOut, // The ledger is too young to know whether the key was granted before.
    LedgerFull,
    Leaving, // The ledger was handed over and grants nothing more.
};

// Returns the name of `verdict` for logs and bodies.
const char* toString(claim_verdict verdict);

struct claim_holder {
    attempt_id attempt;
    run_place place;
};

struct claim_reply {
    claim_verdict verdict = claim_verdict::CannotRuleOut;
    std::optional<claim_holder> holder;
};

// One key as it travels in a snapshot. `ageLeft` is a duration because the reader has another clock.
struct claim_snapshot_row {
    customer_key key;
    std::optional<claim_holder> holder;
    std::uint32_t closedThrough = 0;
    bool closed = false;
    std::uint64_t bodyHash = 0;
    duration ageLeft {};
};

class claim_ledger {
public:
    struct options {
        duration keyLifetime {};
        std::size_t maxKeys = 0;
        // From when on every key that a former life may have granted is past its lifetime.
        time_point completeFrom {};
        // The life of the worker daemon that keeps this ledger.
        incarnation life {};
        // Grant nothing until `allowGrants`: the platform must know of this life before it grants, or a later life
        // could take an older hand-over for the latest.
        bool waitForRegistration = false;
    };

    explicit claim_ledger(const options&);

    // Decides on one claim. Idempotent for one attempt. O(1) on average.
    claim_reply claim(time_point now, const claim_request&);

    // Takes the key back from `attempt`, which is proven never to start. Does nothing when another attempt holds it.
    void release(const customer_key&, const attempt_id& attempt);

    // Closes the key for the caller's attempts up to `attemptNumber` (all of them when 0), so that the caller can be
    // told "not run". `Granted` means closed; other verdicts as for `claim`. O(1) on average.
    claim_reply close(time_point now, const customer_key&, std::uint32_t attemptNumber, incarnation ticketLife = {});

    // Returns all keys and refuses every later claim, so that a successor that restores them knows everything.
    std::vector<claim_snapshot_row> handOver(time_point now);

    // Takes over what the life `from` handed over; from now on the ledger is complete, and grants the tickets that name
    // `from` too.
    void restore(time_point now, const std::vector<claim_snapshot_row>&, incarnation from = {});

    void allowGrants() { m_granting = true; }

    // True once every key that was ever granted and is within its lifetime is known here.
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

    bool knowsAllOf(time_point now, incarnation ticketLife) const;
    std::optional<claim_verdict> objection(time_point now, const record*, const claim_request&) const;
    record& touch(time_point now, const customer_key&);
    void forgetExpired(time_point now);

    const duration m_keyLifetime;
    const std::size_t m_maxKeys;
    time_point m_completeFrom;
    const incarnation m_life;
    incarnation m_inheritedFrom;
    bool m_leaving = false;
    bool m_granting;
    std::unordered_map<customer_key, record> m_records;
    std::deque<expiry> m_expiries;
};

} // namespace coltsfootbend
