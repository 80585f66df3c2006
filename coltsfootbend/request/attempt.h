#pragma once

// The words in which processes speak of one request: the caller's key, each attempt to run it, and where it runs.
// A caller's request may need several attempts; each attempt is handed to one life of one worker daemon, once.

#include "coltsfootbend/base/id.h"

#include <compare>
#include <cstdint>
#include <functional>

namespace coltsfootbend {

// One attempt to run a request. Unique for all time: the entry VM's life and a serial that rises within it.
struct attempt_id {
    vm_id entry;
    incarnation entryLife;
    std::uint64_t serial = 0;

    auto operator<=>(const attempt_id&) const = default;
};

// One life of one worker daemon: the only process that may ever start an attempt addressed to it.
struct run_place {
    vm_id worker;
    incarnation life;

    auto operator<=>(const run_place&) const = default;
};

// A caller's key, which is unique for one customer only.
struct customer_key {
    customer_id customer;
    request_key key;

    auto operator<=>(const customer_key&) const = default;
};

// What a caller is told in the end. The three can be told apart by the `Coltsfootbend-Outcome` header.
enum class outcome {
    Answer, // The whole answer was delivered.
    NotRun, // Proven: no attempt ran, and none will unless the caller sends the request again.
    Unknown, // It may have run.
};

// Returns the header value that stands for `value`.
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

} // namespace coltsfootbend

template <> struct std::hash<coltsfootbend::attempt_id> {
    std::size_t operator()(const coltsfootbend::attempt_id& id) const
    {
        const auto mixed = id.entryLife.number() * 0x9E3779B97F4A7C15ULL + id.serial;
        return std::hash<std::uint64_t>()(mixed ^ (mixed >> 29));
    }
};

template <> struct std::hash<coltsfootbend::customer_key> {
    std::size_t operator()(const coltsfootbend::customer_key& id) const
    {
        return std::hash<std::string>()(id.customer.text()) * 31 + std::hash<std::string>()(id.key.text());
    }
};
