#pragma once

// Types that identify one request across processes: the caller's key, each attempt to run it, and where it runs.
// A caller's request may need several attempts; each attempt is sent once, to one incarnation of one worker daemon.

#include "coltsfootbend/base/id.h"

#include <compare>
#include <cstdint>
#include <functional>

namespace coltsfootbend {

// Identifies one attempt to run a request. Globally unique and never reused: consists of the entry VM's incarnation and
// a serial that increases within it.
struct attempt_id {
    vm_id entry;
    incarnation entryIncarnation;
    std::uint64_t serial = 0;

    auto operator<=>(const attempt_id&) const = default;
};

// Identifies one incarnation of one worker daemon: the only process that may start an attempt addressed to it.
struct run_place {
    vm_id worker;
    incarnation workerIncarnation;

    auto operator<=>(const run_place&) const = default;
};

// Identifies a caller's request by its idempotency key, which is unique within one customer only.
struct customer_key {
    customer_id customer;
    request_key key;

    auto operator<=>(const customer_key&) const = default;
};

// The final result of a request, which the caller reads from the `Coltsfootbend-Outcome` header.
enum class outcome {
    Answer, // The complete answer was delivered.
    NotRun, // Proven: no attempt ran, and none will unless the caller sends the request again.
    Unknown, // It may have run.
};

// Returns the header value for `value`.
constexpr const char* toString(outcome value)
{
    switch (value) {
    case outcome::Answer:
        return "answer";
    case outcome::NotRun:
        return "not-run";
    case outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

// The reason why a worker daemon or the flow refused a request.
enum class refusal {
    None,
    NoWorker, // No backend server can take the request.
    QueueFull,
    DeadlineTooClose,
    WorkerLeaving,
    OtherIncarnation, // The worker daemon was restarted; the addressed incarnation has ended.
    Revoked,
    EngineDown,
    HomeUnreachable,
    HomeCannotRuleOut,
    KeyClosed,
    KeyReused,
    RetryBudgetSpent,
    Lost, // The request was sent and its result cannot be determined.
    AnswerGone, // The request ran and its answer is no longer stored.
    AnswerBroken, // Part of the answer was delivered and the rest is unavailable.
    CallerGone,
    EntryLeaving, // The entry VM stops before the request's deadline.
};

// Returns the name of `reason` for bodies, logs and metrics.
constexpr const char* toString(refusal reason)
{
    switch (reason) {
    case refusal::None:
        return "none";
    case refusal::NoWorker:
        return "no_worker";
    case refusal::QueueFull:
        return "queue_full";
    case refusal::DeadlineTooClose:
        return "deadline_too_close";
    case refusal::WorkerLeaving:
        return "worker_leaving";
    case refusal::OtherIncarnation:
        return "other_life";
    case refusal::Revoked:
        return "revoked";
    case refusal::EngineDown:
        return "engine_down";
    case refusal::HomeUnreachable:
        return "home_unreachable";
    case refusal::HomeCannotRuleOut:
        return "home_cannot_rule_out";
    case refusal::KeyClosed:
        return "key_closed";
    case refusal::KeyReused:
        return "key_reused";
    case refusal::RetryBudgetSpent:
        return "retry_budget_spent";
    case refusal::Lost:
        return "lost";
    case refusal::AnswerGone:
        return "answer_gone";
    case refusal::AnswerBroken:
        return "answer_broken";
    case refusal::CallerGone:
        return "caller_gone";
    case refusal::EntryLeaving:
        return "entry_leaving";
    }
    return "none";
}

} // namespace coltsfootbend

template <> struct std::hash<coltsfootbend::attempt_id> {
    std::size_t operator()(const coltsfootbend::attempt_id& id) const
    {
        const auto mixed = id.entryIncarnation.number() * 0x9E3779B97F4A7C15ULL + id.serial;
        return std::hash<std::uint64_t>()(mixed ^ (mixed >> 29));
    }
};

template <> struct std::hash<coltsfootbend::customer_key> {
    std::size_t operator()(const coltsfootbend::customer_key& id) const
    {
        return std::hash<std::string>()(id.customer.text()) * 31 + std::hash<std::string>()(id.key.text());
    }
};
