#include "coltsfootbend/measure/request_trial.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace coltsfootbend {
namespace {

// Checks the guarantees to callers under any two faults and any seed.
RC_GTEST_PROP(Promises, NothingIsDoubledMispairedOrFalselyNotRun, ())
{
    const auto fault = [] { return static_cast<fault_kind>(*rc::gen::inRange<std::size_t>(0, faultKinds)); };
    const request_trial_options options { .seed = *rc::gen::arbitrary<std::uint64_t>(),
        .requests = 300,
        .faults = { fault(), fault() },
        .ticketShare = 0.4 };
    const auto report = runRequestTrial(options);
    RC_ASSERT(report.doubled == 0U);
    RC_ASSERT(report.mispaired == 0U);
    RC_ASSERT(report.falseNotRun == 0U);
    RC_ASSERT(report.answered + report.notRun + report.unknown == report.tried);
}

// Checks that the trial detects requests that run twice: without claims, these faults cause them.
TEST(Promises, WithoutClaimsTheSameFaultsDouble)
{
    std::size_t doubled = 0;
    for (const auto fault :
        { fault_kind::MessageLost, fault_kind::MessageLate, fault_kind::EngineFails, fault_kind::CallerGone })
        doubled += runRequestTrial(
            { .seed = 1, .requests = 1000, .faults = { fault }, .claimLocation = claim_location::None })
                       .doubled;
    EXPECT_GT(doubled, 10U);
}

TEST(Promises, WithoutFaultsEverythingIsAnswered)
{
    const auto report = runRequestTrial({ .seed = 1, .requests = 1000, .ticketShare = 0.5 });
    EXPECT_EQ(report.answered, 1000U);
}

TEST(Promises, AStoreOutageTouchesNoRequest)
{
    const auto report
        = runRequestTrial({ .seed = 1, .requests = 1000, .faults = { fault_kind::StoreDown }, .ticketShare = 0.5 });
    EXPECT_EQ(report.answered, 1000U);
    EXPECT_EQ(report.refusedAttempts, 0U);
}

TEST(Promises, APlannedStopCutsOffNothingAndSoonGetsNoWork)
{
    const auto report = runRequestTrial({ .seed = 1, .requests = 3000, .faults = { fault_kind::WorkerLeaves } });
    EXPECT_GE(report.drains, 5U);
    EXPECT_EQ(report.drainCut, 0U);
    EXPECT_LT(report.drainLateWork, std::chrono::seconds(2));
    EXPECT_EQ(report.unknown, 0U);
}

TEST(Promises, ACutDataCentreServesItsTickets)
{
    const auto report = runRequestTrial({ .seed = 1,
        .requests = 1000,
        .faults = { fault_kind::DataCentreCut },
        .claimLocation = claim_location::Ticket,
        .keyedShare = 1 });
    EXPECT_EQ(report.refusedAttempts, 0U);
}

} // namespace
} // namespace coltsfootbend
