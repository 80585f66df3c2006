#include "coltsfootbend/gateway/backend_directory.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

backend_server server(const std::string& id)
{
    return { backend_id(id), deployment_id("d"), { "10.0.0.1", 80 }, {}, 4, false };
}

class backend_directory_test : public testing::Test {
protected:
    backend_directory m_directory;
    time_point m_now = time_point {} + 1h;
};

TEST_F(backend_directory_test, AServerWithoutRegistrationIsRemovedAtOnce)
{
    m_directory.put(server("a"));
    m_directory.remove(backend_id("a"), m_now);
    EXPECT_FALSE(m_directory.find(backend_id("a")));
}

TEST_F(backend_directory_test, ARegistrationOfAnEarlierIncarnationIsDropped)
{
    auto restarted = server("a");
    restarted.incarnation = backend_incarnation(2);
    EXPECT_TRUE(m_directory.put(restarted));
    auto earlier = server("a");
    earlier.incarnation = backend_incarnation(1);
    earlier.isLeaving = true;
    EXPECT_FALSE(m_directory.put(earlier));
    EXPECT_FALSE(m_directory.find(backend_id("a"))->isLeaving);
}

TEST_F(backend_directory_test, AServerWhoseRegistrationCannotBeDecodedIsRemovedEvenDuringAnOutageOfTheStore)
{
    m_directory.put(server("a"));
    m_directory.storeFailed(m_now);
    m_directory.discard(backend_id("a"));
    EXPECT_FALSE(m_directory.find(backend_id("a")));
}

TEST_F(backend_directory_test, ARegistrationThatLapsedDuringAnOutageOfTheStoreMayBeRenewed)
{
    m_directory.put(server("a"));
    m_directory.put(server("b"));
    m_directory.storeFailed(m_now);
    m_now += 4s;
    m_directory.storeAnswered(m_now);
    m_directory.retainOnly({}, m_now);
    EXPECT_TRUE(m_directory.find(backend_id("a")));
    m_now += 1s;
    m_directory.put(server("a"));
    m_now += 1500ms;
    EXPECT_EQ(m_directory.expire(m_now), 1U);
    EXPECT_TRUE(m_directory.find(backend_id("a")));
    EXPECT_FALSE(m_directory.find(backend_id("b")));
}

TEST_F(backend_directory_test, NoServerIsRemovedDuringAnOutageOfTheStore)
{
    m_directory.put(server("a"));
    m_directory.storeFailed(m_now);
    m_directory.remove(backend_id("a"), m_now + 1s);
    EXPECT_EQ(m_directory.expire(m_now + 60s), 0U);
    EXPECT_TRUE(m_directory.find(backend_id("a")));
}

TEST_F(backend_directory_test, AShortOutageLetsNoRegistrationLapse)
{
    m_directory.put(server("a"));
    m_directory.storeFailed(m_now);
    m_directory.storeAnswered(m_now + 200ms);
    m_directory.remove(backend_id("a"), m_now + 300ms);
    EXPECT_FALSE(m_directory.find(backend_id("a")));
}

// Guards against sending to a server that left while this process alone was cut off from the store. Most registrations
// are still present afterwards, so the missing one did not lapse because of an outage of the store.
TEST_F(backend_directory_test, AServerThatLeftWhileThisProcessWasCutOffIsRemovedOnReconnect)
{
    for (const char* id : { "a", "b", "c" })
        m_directory.put(server(id));
    m_directory.storeFailed(m_now);
    m_now += 4s;
    m_directory.storeAnswered(m_now);
    m_directory.retainOnly({ backend_id("b"), backend_id("c") }, m_now);
    m_directory.removeIsolatedLapses(m_now);
    EXPECT_FALSE(m_directory.find(backend_id("a")));
    EXPECT_TRUE(m_directory.find(backend_id("b")));
}

TEST_F(backend_directory_test, IfMostRegistrationsLapsedNoneIsRemovedWhileTheyAreRenewed)
{
    for (const char* id : { "a", "b", "c" })
        m_directory.put(server(id));
    m_directory.storeFailed(m_now);
    m_now += 4s;
    m_directory.storeAnswered(m_now);
    m_directory.retainOnly({ backend_id("c") }, m_now);
    m_directory.removeIsolatedLapses(m_now);
    m_now += 1s;
    m_directory.put(server("b"));
    m_directory.removeIsolatedLapses(m_now);
    EXPECT_TRUE(m_directory.find(backend_id("a")));
    m_now += 1300ms;
    EXPECT_EQ(m_directory.expire(m_now), 1U);
}

// Guards against refusing every request after an outage of the store that this process did not notice, because it was
// shorter than the interval of its checks: all registrations lapse in one page and are renewed a second later.
TEST_F(backend_directory_test, IfMostRegistrationsVanishAtOnceTheyMayBeRenewed)
{
    for (const char* id : { "a", "b", "c" })
        m_directory.put(server(id));
    for (const char* id : { "a", "b", "c" })
        m_directory.remove(backend_id(id), m_now);
    m_directory.removeIsolatedLapses(m_now);
    EXPECT_TRUE(m_directory.find(backend_id("a")));
    EXPECT_TRUE(m_directory.find(backend_id("b")));
    m_now += 1s;
    m_directory.put(server("b"));
    m_directory.removeIsolatedLapses(m_now);
    EXPECT_TRUE(m_directory.find(backend_id("a")));
    m_now += 500ms;
    EXPECT_EQ(m_directory.expire(m_now), 2U) << "a server that has left gets no requests two seconds later";
    EXPECT_TRUE(m_directory.find(backend_id("b")));
}

TEST_F(backend_directory_test, ServersThatAnnouncedTheirLeavingAreRemovedEvenIfAllVanishAtOnce)
{
    for (const char* id : { "a", "b", "c" }) {
        auto leaving = server(id);
        leaving.isLeaving = true;
        m_directory.put(leaving);
    }
    m_directory.retainOnly({}, m_now);
    m_directory.removeIsolatedLapses(m_now);
    EXPECT_TRUE(m_directory.servers().empty());
}

// Guards against a crash that is taken for a planned end: on a busy VM the removal of the registration was noticed 12
// ms before the connections of the crashed server broke.
TEST_F(backend_directory_test, AServerWhoseRegistrationHasJustBeenRemovedDoesNotLeaveAsPlanned)
{
    auto leaving = server("leaving");
    leaving.isLeaving = true;
    m_directory.put(leaving);
    m_directory.put(server("crashed"));
    EXPECT_TRUE(m_directory.leavesAsPlanned(leaving, m_now));
    EXPECT_FALSE(m_directory.leavesAsPlanned(server("crashed"), m_now));
    m_directory.retainOnly({}, m_now);
    m_now += 20ms;
    EXPECT_TRUE(m_directory.leavesAsPlanned(leaving, m_now));
    EXPECT_FALSE(m_directory.leavesAsPlanned(server("crashed"), m_now));
    m_now += 500ms;
    EXPECT_TRUE(m_directory.leavesAsPlanned(server("crashed"), m_now)) << "it served on after the removal";
    EXPECT_TRUE(m_directory.leavesAsPlanned(server("unknown"), m_now));
}

// The store comes back from an older copy, away for too short a time for an outage.
TEST_F(backend_directory_test, AServerThatRegisteredSinceTheCopyWasMadeIsKeptUntilItRegistersAgain)
{
    for (const char* id : { "a", "b", "c", "d" })
        m_directory.put(server(id));
    m_directory.storeRestored(m_now);
    m_directory.retainOnly({ backend_id("a"), backend_id("b") }, m_now);
    m_directory.removeIsolatedLapses(m_now);
    EXPECT_TRUE(m_directory.find(backend_id("c"))) << "most servers are listed, which does not mean that it left";
    m_now += 1500ms;
    m_directory.put(server("c"));
    m_directory.removeIsolatedLapses(m_now);
    EXPECT_EQ(m_directory.expire(m_now), 0U);
    m_now += 1s;
    EXPECT_EQ(m_directory.expire(m_now), 1U);
    EXPECT_TRUE(m_directory.find(backend_id("c")));
    EXPECT_FALSE(m_directory.find(backend_id("d")));
}

TEST_F(backend_directory_test, AServerThatAnnouncedItsLeavingSinceTheCopyWasMadeRemainsLeaving)
{
    auto leaving = server("a");
    leaving.isLeaving = true;
    m_directory.put(leaving);
    m_directory.storeRestored(m_now);
    EXPECT_TRUE(m_directory.putRestored(server("a"), m_now));
    EXPECT_TRUE(m_directory.find(backend_id("a"))->isLeaving);
    auto restarted = server("a");
    restarted.incarnation = backend_incarnation(1);
    EXPECT_TRUE(m_directory.putRestored(restarted, m_now));
    EXPECT_FALSE(m_directory.find(backend_id("a"))->isLeaving);
}

TEST_F(backend_directory_test, AServerThatLeftSinceTheCopyWasMadeGetsNoRequestsUntilItRegistersAgain)
{
    m_directory.put(server("a"));
    m_directory.put(server("b"));
    m_directory.put(server("c"));
    m_directory.remove(backend_id("a"), m_now);
    m_directory.removeIsolatedLapses(m_now);
    m_now += 5s;
    m_directory.expire(m_now);
    m_directory.storeRestored(m_now);
    EXPECT_FALSE(m_directory.putRestored(server("a"), m_now));
    EXPECT_FALSE(m_directory.find(backend_id("a")));
    EXPECT_TRUE(m_directory.put(server("a"))) << "a registration of the new era";
    EXPECT_TRUE(m_directory.find(backend_id("a")));
}

// Guards against a server that lives and is not used for good: its heartbeats renew the registration that the store has
// brought back, which changes nothing that the process is notified of.
TEST_F(backend_directory_test, AServerThatSeemedToHaveLeftIsUsedAgainWhenItsRegistrationRemains)
{
    for (const char* id : { "a", "b", "c", "d" })
        m_directory.put(server(id));
    for (const char* id : { "a", "b" }) {
        m_directory.remove(backend_id(id), m_now);
        m_directory.removeIsolatedLapses(m_now);
    }
    m_now += 1s;
    m_directory.storeRestored(m_now);
    for (const char* id : { "a", "b" })
        ASSERT_FALSE(m_directory.putRestored(server(id), m_now));
    m_now += 4s;
    EXPECT_TRUE(m_directory.admitReturned(m_now).empty()) << "three heartbeats without a renewal may not be over";
    m_directory.remove(backend_id("b"), m_now);
    m_now += 2s;
    ASSERT_EQ(m_directory.admitReturned(m_now).size(), 1U);
    EXPECT_TRUE(m_directory.find(backend_id("a")));
    EXPECT_FALSE(m_directory.find(backend_id("b"))) << "removed by the platform";
}

TEST_F(backend_directory_test, ARegistrationThatTheStoreBroughtBackIsNotShownToBeRenewedWhileTheStoreIsAway)
{
    for (const char* id : { "a", "b", "c" })
        m_directory.put(server(id));
    m_directory.remove(backend_id("a"), m_now);
    m_directory.removeIsolatedLapses(m_now);
    m_directory.storeRestored(m_now);
    ASSERT_FALSE(m_directory.putRestored(server("a"), m_now));
    m_directory.storeFailed(m_now);
    m_now += 10s;
    EXPECT_TRUE(m_directory.admitReturned(m_now).empty());
    m_directory.storeAnswered(m_now);
    EXPECT_TRUE(m_directory.admitReturned(m_now).empty());
    m_now += 5s;
    EXPECT_EQ(m_directory.admitReturned(m_now).size(), 1U);
}

TEST_F(backend_directory_test, TheEarlierIncarnationOfARestartedServerIsNotBroughtBack)
{
    auto restarted = server("a");
    restarted.incarnation = backend_incarnation(2);
    m_directory.put(restarted);
    m_directory.storeRestored(m_now);
    auto earlier = server("a");
    earlier.incarnation = backend_incarnation(1);
    EXPECT_FALSE(m_directory.putRestored(earlier, m_now));
    EXPECT_EQ(m_directory.find(backend_id("a"))->incarnation, backend_incarnation(2));
}

} // namespace
} // namespace coltsfootbend
