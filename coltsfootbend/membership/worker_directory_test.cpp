#include "coltsfootbend/membership/worker_directory.h"

#include <gtest/gtest.h>
#include <map>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

const time_point start = time_point {} + 1h;

wire::announce announceFrom(std::uint64_t life, bool leaving = false)
{
    wire::announce announcement;
    announcement.worker = vm_id("w");
    announcement.workerIncarnation = incarnation(life);
    announcement.dataCentre = data_centre_id("here");
    announcement.deployments = { deployment_id("d") };
    announcement.leaving = leaving;
    return announcement;
}

class WorkerDirectory : public testing::Test { // NOLINT(readability-identifier-naming)
protected:
    routing_worker only(time_point now) const { return m_directory.workersOf(deployment_id("d"), now).at(0); }
    worker_directory m_directory { { .own = data_centre_id("here") } };
};

TEST_F(WorkerDirectory, SuspectsAWorkerAfterThreeMissedAnnouncementsAndRemovesItAfterThirty)
{
    EXPECT_TRUE(m_directory.observe(start, announceFrom(1)));
    EXPECT_FALSE(only(start + 2900ms).suspected);
    EXPECT_TRUE(only(start + 3s).suspected);
    EXPECT_EQ(m_directory.expire(start + 3s).newlySuspected, std::vector<vm_id> { vm_id("w") });
    EXPECT_TRUE(m_directory.expire(start + 3s).newlySuspected.empty()) << "each suspicion is reported once";
    EXPECT_TRUE(m_directory.observe(start + 4s, announceFrom(1))) << "an announcement ends the suspicion";
    EXPECT_FALSE(only(start + 4s).suspected);
    EXPECT_TRUE(m_directory.expire(start + 34s).changed);
    EXPECT_TRUE(m_directory.workers().empty());
}

TEST_F(WorkerDirectory, IgnoresALateAnnouncementOfAnEarlierIncarnation)
{
    (void)m_directory.observe(start, announceFrom(1));
    EXPECT_TRUE(m_directory.observe(start, announceFrom(2)));
    EXPECT_FALSE(m_directory.observe(start + 1s, announceFrom(1)));
    EXPECT_EQ(only(start + 1s).place.workerIncarnation, incarnation(2));
}

TEST_F(WorkerDirectory, AnIncarnationThatLeavesNeverReturns)
{
    (void)m_directory.observe(start, announceFrom(1));
    EXPECT_TRUE(m_directory.observe(start, announceFrom(1, true)));
    (void)m_directory.observe(start + 1ms, announceFrom(1, false));
    EXPECT_TRUE(only(start + 1ms).leaving) << "an announcement that arrives out of order";
    (void)m_directory.observe(start + 1s, announceFrom(2));
    EXPECT_FALSE(only(start + 1s).leaving);
}

TEST(AnnounceTargets, AreBoundedAndSpreadAtThePlannedSize)
{
    std::vector<std::pair<vm_id, data_centre_id>> entries;
    entries.reserve(320);
    for (int i = 0; i < 320; ++i)
        entries.emplace_back(vm_id("e" + std::to_string(i)), data_centre_id("dc" + std::to_string(i % 9)));
    std::map<vm_id, int> load;
    for (int i = 0; i < 660; ++i) {
        const auto targets = chooseAnnounceTargets(vm_id("w" + std::to_string(i)), data_centre_id("dc0"), entries, 4);
        EXPECT_EQ(targets.size(), 4U + 8U);
        for (const auto& target : targets) {
            if (target.isLocal)
                ++load[target.entry];
        }
    }
    for (const auto& [entry, count] : load)
        EXPECT_LT(count, 110) << entry.text();
}

} // namespace
} // namespace coltsfootbend
