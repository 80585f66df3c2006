#pragma once

// Allocates the stacks of fibers. Each has a page below it that cannot be accessed, so that an overflow ends the
// process at its cause and does not change the memory of another fiber. Some free stacks are kept for reuse; the memory
// of the others goes back to the system, so that a burst of connections does not leave it in use. Not thread-safe.
//
//     boost::fibers::fiber(launch::post, std::allocator_arg, stack_allocator(pool), work).detach();

#include <boost/context/stack_context.hpp>
#include <cstddef>
#include <memory>
#include <vector>

namespace coltsfootbend {

// The free stacks of one thread.
class stack_pool {
public:
    struct options {
        std::size_t stackBytes = 0; // Without the inaccessible page; a multiple of the page size.
        std::size_t maxFree = 0; // Number of free stacks that are kept.
    };

    explicit stack_pool(const options&);
    ~stack_pool();
    stack_pool(const stack_pool&) = delete;
    stack_pool& operator=(const stack_pool&) = delete;

    // Throws std::bad_alloc if the system has no memory for another stack.
    boost::context::stack_context allocate();
    void deallocate(boost::context::stack_context&) noexcept;

    // Returns the address space that one stack takes, in bytes.
    std::size_t mappedBytes() const;
    std::size_t freeStacks() const { return m_free.size(); }

private:
    const options m_options;
    const std::size_t m_pageBytes;
    std::vector<void*> m_free; // The lowest address of each mapping.
};

// Refers to a pool, as Boost's stack allocators do. The pool lives as long as one of its stacks is in use.
class stack_allocator {
public:
    explicit stack_allocator(std::shared_ptr<stack_pool> pool)
        : m_pool(std::move(pool))
    {
    }
    boost::context::stack_context allocate() { return m_pool->allocate(); }
    void deallocate(boost::context::stack_context& stack) noexcept { m_pool->deallocate(stack); }

private:
    std::shared_ptr<stack_pool> m_pool;
};

} // namespace coltsfootbend
