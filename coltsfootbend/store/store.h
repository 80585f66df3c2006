#pragma once

// The platform's services as the system uses them: a transactional table and an object store. Both may be down, slow,
// or lose the answer of a write that took effect; callers settle that by reading back. `store/http_platform.h`
// reaches the real ones, `store/standin.h` plays them in tests and trials.
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
    // Rises with each write; 0 means that the row does not exist.
    std::uint64_t revision = 0;
    std::string value;
};

class table_service {
public:
    virtual ~table_service() = default;

    // Reads one row; a row that does not exist has revision 0. With `known`, a row that still has that revision may
    // come back without its value, for fewer bytes. Fails with `Unavailable`, `Lost` or `TimedOut`.
    virtual result<table_row> read(const row_name&, time_point deadline, std::uint64_t known = 0) = 0;

    // Writes one row if it still has `expected` (0: does not exist), and returns its new revision. Fails with `Stale`
    // when it has not. `Lost` and `TimedOut` say nothing of whether it took effect.
    virtual result<std::uint64_t> write(
        const row_name&, const std::string& value, std::uint64_t expected, time_point deadline)
        = 0;
};

class object_store {
public:
    virtual ~object_store() = default;

    // Fails with `NotFound` when there is no such object.
    virtual result<std::string> get(const std::string& name, time_point deadline) = 0;
    // Writes a whole object; writing the same again is harmless.
    virtual result<void> put(const std::string& name, const std::string& bytes, time_point deadline) = 0;
};

} // namespace coltsfootbend
