#include "coltsfootbend/gateway/evacuation_orders.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

const data_centre_id east("east");
const data_centre_id west("west");

class evacuation_orders_test : public testing::Test {
protected:
    // The store comes back from a copy that holds `written`.
    void restore(const std::set<data_centre_id>& written)
    {
        m_orders.storeRestored(written, m_now);
        m_orders.update(written);
    }

    evacuation_orders m_orders;
    time_point m_now = time_point {} + 1h;
};

TEST_F(evacuation_orders_test, AnOrderIsInForceWhileTheStoreHoldsIt)
{
    EXPECT_TRUE(m_orders.update({ east }));
    EXPECT_FALSE(m_orders.update({ east }));
    EXPECT_EQ(m_orders.inForce(), std::set { east });
    EXPECT_TRUE(m_orders.update({}));
    EXPECT_TRUE(m_orders.inForce().empty());
}

TEST_F(evacuation_orders_test, AnOrderThatTheCopyLacksEndsUnlessItIsWrittenAgainInTime)
{
    m_orders.update({ east, west });
    restore({});
    EXPECT_EQ(m_orders.inForce(), (std::set { east, west }));
    m_now += 2s;
    EXPECT_FALSE(m_orders.update({ east }));
    EXPECT_FALSE(m_orders.expire(m_now));
    m_now += 1s;
    EXPECT_TRUE(m_orders.expire(m_now));
    EXPECT_EQ(m_orders.inForce(), std::set { east });
}

TEST_F(evacuation_orders_test, AnOrderThatTheCopyLacksMayBeLifted)
{
    m_orders.update({ east });
    restore({});
    m_orders.lift(east);
    EXPECT_TRUE(m_orders.update({}));
    EXPECT_TRUE(m_orders.inForce().empty());
}

TEST_F(evacuation_orders_test, AnOrderThatTheCopyLacksSurvivesTwoRestores)
{
    m_orders.update({ east });
    restore({});
    m_now += 2s;
    restore({});
    m_now += 2s;
    EXPECT_FALSE(m_orders.expire(m_now)) << "2 s after the second one";
    EXPECT_EQ(m_orders.inForce(), std::set { east });
}

TEST_F(evacuation_orders_test, AnOrderThatWasLiftedSinceTheCopyIsObeyedUntilItIsLiftedAgain)
{
    m_orders.update({ east });
    m_orders.update({});
    restore({ east });
    EXPECT_EQ(m_orders.inForce(), std::set { east });
    m_orders.lift(east);
    EXPECT_TRUE(m_orders.update({}));
    EXPECT_TRUE(m_orders.inForce().empty());
}

} // namespace
} // namespace coltsfootbend
