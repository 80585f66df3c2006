#pragma once

// Errors as values. A function that can fail returns `result<T>`; its error has a kind that code may branch on, a
// message that describes the problem, and a remedy that suggests what the reader can do about it. Programming errors
// are reported by assertions instead.
//
//     result<int> parsePort(std::string_view text);
//     if (auto port = parsePort(text); !port)
//         LOG(ERROR) << toString(port.error());

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace coltsfootbend {

enum class error_kind {
    BadInput, // External input is malformed or not allowed.
    NotFound, // The named resource does not exist.
    Stale, // The change is based on a version that is no longer current.
    Denied, // The presented key or token does not allow this.
    Unavailable, // The peer could not be reached; nothing was sent.
    Lost, // The request was sent but no complete response arrived, so it may have taken effect.
    TimedOut, // The deadline passed.
    Overloaded, // A limit was reached; try again later.
    Internal, // An internal invariant does not hold.
};

// Returns the name of `kind`, as used in response bodies and logs.
constexpr const char* toString(error_kind kind)
{
    switch (kind) {
    case error_kind::BadInput:
        return "bad_input";
    case error_kind::NotFound:
        return "not_found";
    case error_kind::Stale:
        return "stale";
    case error_kind::Denied:
        return "denied";
    case error_kind::Unavailable:
        return "unavailable";
    case error_kind::Lost:
        return "lost";
    case error_kind::TimedOut:
        return "timed_out";
    case error_kind::Overloaded:
        return "overloaded";
    case error_kind::Internal:
        return "internal";
    }
    return "internal";
}

// Describes one failure. `remedy` is a full sentence addressed to the reader.
struct error {
    error_kind kind = error_kind::Internal;
    std::string message;
    std::string remedy;
};

// Formats the error as "kind: message. Remedy" for logs and terminals.
inline std::string toString(const error& value)
{
    return std::string(toString(value.kind)) + ": " + value.message + (value.remedy.empty() ? "" : ". " + value.remedy);
}

template <typename T> using result = tl::expected<T, error>;

// Returns an error as a failed `result` of any type.
inline tl::unexpected<error> fail(error_kind kind, std::string message, std::string remedy = {})
{
    return tl::unexpected<error>(error { kind, std::move(message), std::move(remedy) });
}

} // namespace coltsfootbend
