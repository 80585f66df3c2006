#pragma once

// Strong types for identifiers. Use one for every name or number that identifies something, so that a customer cannot
// be passed where a VM is wanted. Not for quantities: see `base/time.h` and plain integers with a unit in the name.
//
//     vm_id worker { "vm-17" };
//     customer_id customer { "panopano" };
//     // lookUp(customer) does not compile where lookUp(vm_id) is declared.

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace coltsfootbend {

// An identifier kept as text. Two are equal when their text is. All operations cost O(length).
template <typename Tag> class text_id {
public:
    text_id() = default;
    explicit text_id(std::string text)
        : m_text(std::move(text))
    {
    }

    const std::string& text() const { return m_text; }
    bool empty() const { return m_text.empty(); }
    auto operator<=>(const text_id&) const = default;

private:
    std::string m_text;
};

// An identifier kept as a 64-bit number. Zero means "none".
template <typename Tag> class number_id {
public:
    constexpr number_id() = default;
    constexpr explicit number_id(std::uint64_t number)
        : m_number(number)
    {
    }

    constexpr std::uint64_t number() const { return m_number; }
    constexpr bool isNone() const { return m_number == 0; }
    constexpr auto operator<=>(const number_id&) const = default;

private:
    std::uint64_t m_number = 0;
};

// A VM of the system or of a backend server, by its configured name.
using vm_id = text_id<struct vm_tag>;
// A data centre: VMs in one can be cut off from those in another.
using data_centre_id = text_id<struct data_centre_tag>;
// A customer: the unit of fair shares and of authentication.
using customer_id = text_id<struct customer_tag>;
// A deployment: the backend servers that answer one kind of request.
using deployment_id = text_id<struct deployment_tag>;
// A group of ranks that advance in lock-step.
using group_id = text_id<struct group_tag>;
// The caller's own name for a request (`Idempotency-Key`), unique for one customer.
using request_key = text_id<struct request_key_tag>;
// A patch to the configuration, named by whoever wrote it.
using patch_id = text_id<struct patch_tag>;

// One life of a process. A restarted process has another, so what the former life promised is not mistaken for the
// new life's. Only equality carries meaning.
using incarnation = number_id<struct incarnation_tag>;
// The number of a configuration; rises by one with each accepted patch.
using config_version = number_id<struct config_version_tag>;

} // namespace coltsfootbend

template <typename Tag> struct std::hash<coltsfootbend::text_id<Tag>> {
    std::size_t operator()(const coltsfootbend::text_id<Tag>& id) const { return std::hash<std::string>()(id.text()); }
};

template <typename Tag> struct std::hash<coltsfootbend::number_id<Tag>> {
    std::size_t operator()(const coltsfootbend::number_id<Tag>& id) const
    {
        return std::hash<std::uint64_t>()(id.number());
    }
};
