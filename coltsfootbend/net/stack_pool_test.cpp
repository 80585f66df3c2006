// Tests the stacks of fibers.

#include "coltsfootbend/net/stack_pool.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <new>
#include <sys/resource.h>

namespace coltsfootbend {
namespace {

constexpr std::size_t stackBytes = std::size_t { 128 } * 1024;

TEST(StackPool, AFreedStackIsUsedAgainAndOthersAreReturnedToTheSystem)
{
    stack_pool pool({ .stackBytes = stackBytes, .maxFree = 1 });
    auto first = pool.allocate();
    auto second = pool.allocate();
    const auto* const firstTop = first.sp;
    pool.deallocate(first);
    pool.deallocate(second);
    EXPECT_EQ(pool.freeStacks(), 1U);
    auto again = pool.allocate();
    EXPECT_EQ(again.sp, firstTop);
    pool.deallocate(again);
}

TEST(StackPool, TheWholeStackCanBeUsed)
{
    stack_pool pool({ .stackBytes = stackBytes, .maxFree = 0 });
    auto stack = pool.allocate();
    auto* const top = static_cast<char*>(stack.sp);
    std::fill(top - stackBytes, top, 'x');
    EXPECT_EQ(top[-1], 'x');
    pool.deallocate(stack);
}

// Guards against a fiber whose stack overflows and silently changes the memory of another one.
TEST(StackPoolDeathTest, AnOverflowEndsTheProcessAtItsCause)
{
    testing::FLAGS_gtest_death_test_style = "threadsafe";
    stack_pool pool({ .stackBytes = stackBytes, .maxFree = 0 });
    auto stack = pool.allocate();
    EXPECT_DEATH(static_cast<volatile char*>(stack.sp)[-static_cast<std::ptrdiff_t>(stackBytes) - 1] = 'x', "");
    pool.deallocate(stack);
}

// Guards against a crowd of connections that ends the process: the exception reaches whoever starts the fiber.
TEST(StackPool, WithoutMemoryForAStackAnExceptionIsThrownAndTheNextStacksWork)
{
    stack_pool pool({ .stackBytes = std::size_t { 1 } << 50U, .maxFree = 0 });
    EXPECT_THROW((void)pool.allocate(), std::bad_alloc);
    stack_pool small({ .stackBytes = stackBytes, .maxFree = 0 });
    auto stack = small.allocate();
    small.deallocate(stack);
}

} // namespace
} // namespace coltsfootbend
