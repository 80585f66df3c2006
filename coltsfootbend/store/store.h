#pragma once

// Interfaces of the platform's services: a transactional table and an object store. Both may be unavailable or slow, or
// lose the answer of a write that took effect; callers then read back. `store/http_platform.h` implements them over
// HTTP, `store/standin.h` in memory for tests and trials.
//
//     auto row = table.read({ "configuration", "current" }, deadline);
//     auto revision = table.write({ "configuration", "current" }, value, row->revision, deadline);

#include "coltsfootbend/base/error.h"
#include "coltsfootbend/base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace coltsfootbend {

struct row_name {
    std::string table;
    std::string row;

    auto operator<=>(const row_name&) const = default;
};

struct table_row {
    // Increases with each write; 0 if the row does not exist.
    std::uint64_t revision = 0;
    std::string value;
};

class table_service {
public:
    virtual ~table_service() = default;

    // Reads one row; a row that does not exist has revision 0. With `known`, a row that still has that revision may
    // be returned without its value, to save bytes. Fails with `Unavailable`, `Lost` or `TimedOut`.
    virtual result<table_row> read(const row_name&, time_point deadline, std::uint64_t known = 0) = 0;

    // Writes one row if its revision is still `expected` (0: does not exist), and returns the new revision. Fails with
    // `Stale` if it is not. After `Lost` and `TimedOut` the write may or may not have taken effect.
    virtual result<std::uint64_t> write(
        const row_name&, const std::string& value, std::uint64_t expected, time_point deadline)
        = 0;
};

class object_store {
public:
    virtual ~object_store() = default;

    // Returns an object. Fails with `NotFound` if it does not exist.
    virtual result<std::string> get(const std::string& name, time_point deadline) = 0;
    // Writes a whole object. Idempotent.
    virtual result<void> put(const std::string& name, const std::string& bytes, time_point deadline) = 0;
};

} // namespace coltsfootbend
