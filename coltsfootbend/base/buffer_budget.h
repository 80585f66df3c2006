#pragma once

// Bounds what a process buffers for all requests together: their bodies, bodies of responses that wait for their end or
// for a slow caller, and incomplete events. Servers and callers can make a process hold data by sending without end, by
// sending at the same time or by reading slowly, and a process that exceeds the memory of its VM ends with all its
// requests. Deterministic.
//
//     buffer_budget budget(48 * mebibyte);
//     buffer_share share(budget);
//     if (!share.resize(buffered.size())) // stop buffering

#include "coltsfootbend/base/error.h"

#include <cstddef>

namespace coltsfootbend {

class buffer_budget {
public:
    explicit buffer_budget(std::size_t total)
        : m_total(total)
    {
    }

    // Changes the total. What is buffered already stays.
    void setTotal(std::size_t total) { m_total = total; }
    std::size_t total() const { return m_total; }
    std::size_t used() const { return m_used; }

private:
    friend class buffer_share;

    std::size_t m_total;
    std::size_t m_used = 0;
};

// What one request, or the response to it, buffers. Returns it to the budget when it is destroyed.
class buffer_share {
public:
    // Every request may buffer this much, so that those that buffer little go on while others use up the budget.
    static constexpr std::size_t alwaysGranted = std::size_t { 16 } * 1024;

    // `budget` must outlive the share.
    explicit buffer_share(buffer_budget& budget)
        : m_budget(budget)
    {
    }
    ~buffer_share() { m_budget.m_used -= m_size; }
    buffer_share(const buffer_share&) = delete;
    buffer_share& operator=(const buffer_share&) = delete;

    // Changes the size to `size` bytes. Returns false and changes nothing if the budget does not permit it.
    bool resize(std::size_t size)
    {
        const std::size_t others = m_budget.m_used - m_size;
        const bool isGranted = size <= m_size || size <= alwaysGranted || others + size <= m_budget.m_total;
        if (!isGranted)
            return false;
        m_budget.m_used = others + size;
        m_size = size;
        return true;
    }
    std::size_t size() const { return m_size; }

private:
    buffer_budget& m_budget;
    std::size_t m_size = 0;
};

// Returns the error of a response for which no buffer is left.
inline error buffersUsedUp()
{
    return { error_kind::Overloaded, "the buffers for responses are used up", "Raise gateway.buffer_bytes" };
}

} // namespace coltsfootbend
