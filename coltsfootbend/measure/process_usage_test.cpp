// Tests that the use of a process is counted as the platform counts it, on which checks of memory and processor rest.

#include "coltsfootbend/measure/process_usage.h"

#include "coltsfootbend/net/test_address.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace coltsfootbend {
namespace {

sockaddr_in nameOf(const endpoint& address)
{
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    (void)::inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
    return name;
}

// Guards against a check of memory that misses what waits in the kernel: the platform counts it too.
TEST(ProcessUsage, CountsBytesThatWereReceivedAndNotRead)
{
    const auto name = nameOf(testAddress(27450));
    const int listening = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ASSERT_EQ(::bind(listening, reinterpret_cast<const sockaddr*>(&name), sizeof name), 0);
    ASSERT_EQ(::listen(listening, 1), 0);
    const int sender = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ASSERT_EQ(::connect(sender, reinterpret_cast<const sockaddr*>(&name), sizeof name), 0);
    const int receiver = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
    ASSERT_GE(receiver, 0);
    const auto before = usageOf(::getpid());
    const std::string bytes(10'000, 'x');
    ASSERT_EQ(::send(sender, bytes.data(), bytes.size(), 0), static_cast<ssize_t>(bytes.size()));
    const auto after = usageOf(::getpid());
    ASSERT_TRUE(before && after);
    EXPECT_EQ(after->unread - before->unread, bytes.size());
    EXPECT_GE(after->memory(), after->peakResident + bytes.size());
    for (const int file : { listening, sender, receiver })
        (void)::close(file);
}

TEST(ProcessUsage, CountsProcessorTimeAndDescriptors)
{
    const auto before = usageOf(::getpid());
    ASSERT_TRUE(before);
    const int file = ::dup(STDERR_FILENO);
    volatile unsigned work = 0;
    while (*processorTimeOf(::getpid()) < before->processorTime + std::chrono::milliseconds(20))
        work = work + 1;
    const auto after = usageOf(::getpid());
    ASSERT_TRUE(after);
    EXPECT_EQ(after->descriptors, before->descriptors + 1);
    EXPECT_GE(after->processorTime - before->processorTime, std::chrono::milliseconds(20));
    (void)::close(file);
}

TEST(ProcessUsage, OfAProcessThatDoesNotRunIsNone)
{
    EXPECT_FALSE(usageOf(0));
    EXPECT_FALSE(processorTimeOf(0));
    EXPECT_EQ(peakResidentOf(0), 0U);
}

} // namespace
} // namespace coltsfootbend
