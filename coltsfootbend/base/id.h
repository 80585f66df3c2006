#pragma once

// Strong types for identifiers. Use one for every name or number that identifies something, so that a customer cannot
// be passed where a VM is expected. Not for quantities: see `base/time.h` and plain integers with a unit in the name.
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

// An identifier stored as text. Two identifiers are equal when their texts are equal. All operations are O(length).
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

// An identifier stored as a 64-bit number. Zero means "none".
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

// Identifies a VM of the system or of a backend server by its configured name.
using vm_id = text_id<struct vm_tag>;
// Identifies a data centre. A network partition can separate the VMs of two data centres.
using data_centre_id = text_id<struct data_centre_tag>;
// Identifies a region, which contains one or more data centres.
using region_id = text_id<struct region_tag>;
// Identifies a customer, the unit of fair sharing and of authentication.
using customer_id = text_id<struct customer_tag>;
// Identifies a deployment: the backend servers that answer one kind of request.
using deployment_id = text_id<struct deployment_tag>;
// Identifies a group of ranks that advance in lock-step.
using group_id = text_id<struct group_tag>;
// The caller's identifier of a request (`Idempotency-Key`), unique per customer.
using request_key = text_id<struct request_key_tag>;
// Identifies a configuration patch. The author of the patch chooses it.
using patch_id = text_id<struct patch_tag>;

// Identifies one incarnation of a process. A restarted process has a new one, so that commitments of the previous
// incarnation are not attributed to the current one. Only equality is meaningful.
using incarnation = number_id<struct incarnation_tag>;
// The version of a configuration; increases by one with each accepted patch.
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
