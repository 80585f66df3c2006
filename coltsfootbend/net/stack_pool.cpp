#include "coltsfootbend/net/stack_pool.h"

#include <new>
#include <sys/mman.h>
#include <unistd.h>

namespace coltsfootbend {

stack_pool::stack_pool(const options& options)
    : m_options(options)
    , m_pageBytes(static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)))
{
    // A stack that is returned must not need memory.
    m_free.reserve(m_options.maxFree);
}

stack_pool::~stack_pool()
{
    for (void* mapping : m_free)
        (void)::munmap(mapping, mappedBytes());
}

std::size_t stack_pool::mappedBytes() const { return m_options.stackBytes + m_pageBytes; }

boost::context::stack_context stack_pool::allocate()
{
    void* mapping = nullptr;
    if (m_free.empty()) {
        mapping = ::mmap(
            nullptr, mappedBytes(), PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);
        if (mapping == MAP_FAILED)
            throw std::bad_alloc();
        if (::mprotect(mapping, m_pageBytes, PROT_NONE) != 0) {
            (void)::munmap(mapping, mappedBytes());
            throw std::bad_alloc();
        }
    } else {
        mapping = m_free.back();
        m_free.pop_back();
    }
    boost::context::stack_context stack;
    stack.size = mappedBytes();
    stack.sp = static_cast<char*>(mapping) + mappedBytes(); // Stacks grow downwards.
    return stack;
}

void stack_pool::deallocate(boost::context::stack_context& stack) noexcept
{
    void* mapping = static_cast<char*>(stack.sp) - mappedBytes();
    if (m_free.size() < m_options.maxFree)
        m_free.push_back(mapping);
    else
        (void)::munmap(mapping, mappedBytes());
}

} // namespace coltsfootbend
