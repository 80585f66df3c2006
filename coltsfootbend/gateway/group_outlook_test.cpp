#include "coltsfootbend/gateway/group_outlook.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

constexpr int ranks = 12;

// Ranks that tell their state ten times a second, as their agents do, in a group that makes a pass every 50 ms.
class group_outlook_test : public testing::Test {
protected:
    void tell(int rank, std::uint32_t running = 3)
    {
        m_outlook.hear({ "10.0.0." + std::to_string(rank), 80 },
            { .running = running, .group = "g", .epoch = m_epoch, .step = m_step, .ranks = ranks, .isOpen = m_isOpen },
            m_now);
    }

    // Plays `length` with the ranks from `first` on.
    void play(duration length, bool makesPasses = true, int first = 0, std::uint32_t running = 3)
    {
        for (const auto end = m_now + length; m_now < end; m_now += 50ms) {
            if (makesPasses)
                ++m_step;
            for (int rank = first + static_cast<int>((m_step + m_turn) % 2); rank < ranks; rank += 2)
                tell(rank, running);
            if (!makesPasses)
                ++m_turn;
        }
    }

    group_outlook m_outlook { { .formTime = 600ms } };
    time_point m_now = time_point {} + 1h;
    std::uint64_t m_epoch = 1;
    std::uint64_t m_step = 10;
    int m_turn = 0;
    bool m_isOpen = true;
};

TEST_F(group_outlook_test, AGroupThatMakesPassesIsOpenAndItsPassTimeIsMeasured)
{
    play(2s);
    EXPECT_EQ(m_outlook.condition(m_now), group_condition::Open);
    EXPECT_NEAR(m_outlook.passMs(), 50, 5);
}

// A data centre is cut off: its four ranks fall silent and no pass begins. Engines report the break 1.5 s later.
TEST_F(group_outlook_test, AGroupWhoseRanksAreCutOffIsKnownToStandAtOnceAndBrokenWhenEnginesSaySo)
{
    play(2s);
    play(450ms, false, 4);
    EXPECT_EQ(m_outlook.condition(m_now), group_condition::Standing);
    play(1s, false, 4);
    m_isOpen = false;
    play(100ms, false, 4);
    EXPECT_EQ(m_outlook.condition(m_now), group_condition::Broken);
    EXPECT_EQ(m_outlook.forecast(m_now).openBy, m_outlook.lastPassAt() + 6s);
}

// Everybody who waited has left; what is sent now would only wait as well.
TEST_F(group_outlook_test, AStandingGroupWithoutWorkStandsUntilAPassBeginsAndMayBeProbed)
{
    play(2s);
    play(500ms, false);
    EXPECT_FALSE(m_outlook.mayProbe(m_now)) << "there is work to show whether it moves";
    play(500ms, false, 0, 0);
    EXPECT_EQ(m_outlook.condition(m_now), group_condition::Standing);
    EXPECT_TRUE(m_outlook.mayProbe(m_now));
    m_outlook.noteProbe(m_now + 200ms);
    EXPECT_FALSE(m_outlook.mayProbe(m_now));
    play(100ms);
    EXPECT_EQ(m_outlook.condition(m_now), group_condition::Open);
}

TEST_F(group_outlook_test, AGroupThatIsHeldStandsAndIsNotBroken)
{
    play(2s);
    play(400ms, false);
    EXPECT_EQ(m_outlook.condition(m_now), group_condition::Standing);
    EXPECT_LT(m_outlook.forecast(m_now).openAt, m_now + 600ms);
    play(200ms);
    EXPECT_EQ(m_outlook.condition(m_now), group_condition::Open);
}

TEST_F(group_outlook_test, AnIdleGroupIsOpen)
{
    play(2s);
    play(2s, false, 0, 0);
    EXPECT_EQ(m_outlook.condition(m_now), group_condition::Open);
}

TEST_F(group_outlook_test, AgentsThatAreSilentWhilePassesGoOnSayNothingOfTheGroup)
{
    play(2s);
    play(2s, true, 4);
    EXPECT_EQ(m_outlook.condition(m_now), group_condition::Open);
}

TEST_F(group_outlook_test, AProofOfOneServerIsEnoughAndARankThatHasNotHeardOfItEndsNoOutage)
{
    play(2s);
    m_outlook.hearProof(m_now);
    tell(1);
    EXPECT_EQ(m_outlook.condition(m_now), group_condition::Broken);
    ++m_epoch;
    tell(1);
    EXPECT_EQ(m_outlook.condition(m_now), group_condition::Open);
}

TEST_F(group_outlook_test, OnceAllRanksAreThereTheGroupOpensAfterItsFormingTime)
{
    play(2s);
    m_isOpen = false;
    play(3s, false, 4);
    EXPECT_FALSE(m_outlook.forecast(m_now).isForming);
    play(200ms, false);
    const auto forecast = m_outlook.forecast(m_now);
    EXPECT_TRUE(forecast.isForming);
    EXPECT_GT(forecast.openAt, m_now + 300ms);
    EXPECT_LE(forecast.openAt, m_now + 600ms);
}

TEST_F(group_outlook_test, TheLengthOfOutagesIsLearntFromTheLastPassOn)
{
    for (int outage = 0; outage < 6; ++outage) {
        m_isOpen = true;
        ++m_epoch;
        play(2s);
        play(1500ms, false, 4);
        m_isOpen = false;
        play(500ms, false, 4);
    }
    EXPECT_NEAR(toMilliseconds(m_outlook.forecast(m_now).openAt - m_now), 500, 200);
}

TEST_F(group_outlook_test, TheFirstFormingOfAGroupIsNoOutageToLearnFrom)
{
    m_isOpen = false;
    m_step = 0;
    play(2s, false);
    m_isOpen = true;
    play(2s);
    m_isOpen = false;
    play(500ms, false, 4);
    EXPECT_EQ(m_outlook.forecast(m_now).openBy, m_outlook.lastPassAt() + 6s);
}

TEST_F(group_outlook_test, ARestartedEngineMayTellALowerEpoch)
{
    m_epoch = 7;
    play(1s);
    m_outlook.hear({ "10.0.0.1", 80 },
        { .life = backend_life(2), .group = "g", .epoch = 1, .step = 1, .ranks = ranks, .isOpen = false }, m_now);
    EXPECT_EQ(m_outlook.condition(m_now), group_condition::Broken);
}

} // namespace
} // namespace coltsfootbend
