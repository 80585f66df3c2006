#include "coltsfootbend/limits/wait_order.h"

#include <cmath>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <rapidcheck/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

const time_point start { 100s };
const customer_id alice("alice");
const customer_id bob("bob");

waiting_request request(std::uint32_t priority, const customer_id& customer = alice, duration age = 0ms)
{
    return { .priority = priority, .customer = customer, .arrivedAt = start - age, .timelyUntil = start - age + 400ms };
}

// Guards against patient requests that get a free slot before urgent ones.
TEST(WaitOrder, UrgentRequestsGoFirst)
{
    wait_order order({});
    (void)order.join(request(2, alice, 100ms), start);
    const auto urgent = order.join(request(0), start);
    EXPECT_EQ(order.next(start), urgent);
    EXPECT_EQ(order.ahead(request(2), start), 2U);
    EXPECT_EQ(order.ahead(request(0), start), 1U);
}

// Guards against a customer whose many requests are all served before the first one of another customer.
TEST(WaitOrder, CustomersTakeTurns)
{
    wait_order order({});
    std::vector<wait_ticket> ofAlice;
    ofAlice.reserve(4);
    for (int i = 0; i < 4; ++i)
        ofAlice.push_back(order.join(request(1, alice, 10ms * (9 - i)), start));
    const auto ofBob = order.join(request(1, bob), start);
    EXPECT_EQ(order.ahead(request(1, bob), start), 3U) << "one of bob and two of alice";
    EXPECT_EQ(order.next(start), ofAlice[0]);
    order.grant(ofAlice[0], start);
    EXPECT_EQ(order.next(start), ofBob);
    order.grant(ofBob, start);
    EXPECT_EQ(order.next(start), ofAlice[1]);
}

// Guards against an idle customer that collects a claim and then takes all slots.
TEST(WaitOrder, IdleCustomersCollectNoClaim)
{
    wait_order order({});
    for (int i = 0; i < 10; ++i)
        order.grant(order.join(request(1, alice), start), start);
    const auto first = order.join(request(1, alice, 20ms), start);
    for (int i = 0; i < 3; ++i)
        (void)order.join(request(1, bob, 10ms), start);
    order.grant(*order.next(start), start);
    order.grant(*order.next(start), start);
    EXPECT_NE(order.next(start), first) << "alice had her turn";
    EXPECT_EQ(order.size(), 2U);
}

// Guards against callers that are late already and delay those of their class that can still be served in time.
TEST(WaitOrder, LateRequestsGoBehindThoseOfTheirClassThatAreInTime)
{
    wait_order order({});
    const auto first = order.join(request(1, alice, 350ms), start);
    const auto second = order.join(request(1), start);
    const auto lessUrgent = order.join(request(2), start);
    EXPECT_EQ(order.next(start), first);
    EXPECT_EQ(order.firstInOrder(start + 60ms, 3), (std::vector { second, first, lessUrgent }))
        << "the first one is late by now";
    auto returning = request(1);
    returning.isReturning = true;
    EXPECT_EQ(order.ahead(returning, start + 60ms), 2U);
}

// Guards against started streams whose callers leave because new requests take the slots.
TEST(WaitOrder, ResumedStreamsGoFirst)
{
    wait_order order({});
    (void)order.join(request(0), start);
    auto resumed = request(2);
    resumed.isResumption = true;
    const auto ticket = order.join(resumed, start);
    EXPECT_EQ(order.next(start + 10s), ticket);
}

// Guards against entries of callers that have left.
TEST(WaitOrder, RequestsThatLeaveAreForgotten)
{
    wait_order order({});
    const auto first = order.join(request(0), start);
    const auto second = order.join(request(0), start);
    order.leave(first);
    order.leave(first);
    EXPECT_EQ(order.next(start), second);
    order.grant(second, start);
    EXPECT_FALSE(order.next(start + 1s));
    EXPECT_EQ(order.size(), 0U);
    EXPECT_TRUE(order.classes().empty());
}

// Guards against a rate that is computed from too little, or from a time in which nothing waited.
TEST(WaitOrder, MeasuresGrantsWhileRequestsWait)
{
    wait_order order({});
    order.grant(order.join(request(1), start), start);
    EXPECT_FALSE(order.grantsPerSecond(start + 1s)) << "nothing waits";
    for (int i = 0; i < 30; ++i)
        (void)order.join(request(1), start + 1s);
    EXPECT_FALSE(order.grantsPerSecond(start + 1100ms));
    EXPECT_FALSE(order.grantsPerSecond(start + 1500ms)) << "no grant says nothing about the rate";
    auto now = start + 1s;
    for (int i = 0; i < 20; ++i) {
        now += 50ms;
        order.grant(*order.next(now), now);
    }
    EXPECT_NEAR(*order.grantsPerSecond(now), 20, 2);
}

// Offered load of one gateway in virtual time, with grants at a fixed rate. Requests leave when their callers would.
class order_trial {
public:
    struct options {
        double load = 1; // Arrivals divided by grants.
        double burstShare = 0; // Part of the time in which the least urgent class arrives three times as often.
        unsigned seed = 1;
    };
    struct counts {
        double arrivals = 0;
        double grants = 0;
        double servedShare() const { return grants / std::max(1.0, arrivals); }
    };

    explicit order_trial(const options& options)
        : m_options(options)
        , m_random(options.seed)
    {
    }

    void run()
    {
        double free = 0;
        for (auto now = start; now < start + 60s; now += 5ms) {
            const bool isBurst = std::fmod(toMilliseconds(now - start) / 1000, 20) < 20 * m_options.burstShare;
            while (draw() < arrivalsPerTick() * (isBurst ? 1.5 : 1) / (1 + arrivalsPerTick() * (isBurst ? 1.5 : 1)))
                arrive(now, isBurst);
            free = std::min(free + grantsPerTick, 3.0);
            while (free >= 1 && m_order.size() > 0) {
                grant(*m_order.next(now), now);
                free -= 1;
            }
            leaveAfterLimit(now);
        }
    }

    std::map<std::uint32_t, counts> byClass;
    std::map<customer_id, counts> byCustomer;
    counts all;

private:
    static constexpr double grantsPerTick = 0.25; // 50 a second.

    double draw() { return std::uniform_real_distribution<double>()(m_random); }
    double arrivalsPerTick() const { return grantsPerTick * m_options.load; }

    void arrive(time_point now, bool isBurst)
    {
        const double kind = draw();
        const double patientShare = isBurst ? 0.5 : 0.2;
        const std::uint32_t priority = kind < patientShare ? 2 : (kind < 0.6 + 0.2 * patientShare ? 1 : 0);
        // A few customers are large.
        const auto number = static_cast<int>(8 * draw() * draw() * draw());
        const waiting_request arrived { .priority = priority,
            .customer = customer_id("c" + std::to_string(number)),
            .arrivedAt = now,
            .timelyUntil = now + 400ms };
        m_waiting.emplace(m_order.join(arrived, now), arrived);
        all.arrivals += 1;
        byClass[priority].arrivals += 1;
        byCustomer[arrived.customer].arrivals += 1;
    }

    void grant(wait_ticket ticket, time_point now)
    {
        m_order.grant(ticket, now);
        const auto& granted = m_waiting.at(ticket);
        all.grants += 1;
        byClass[granted.priority].grants += 1;
        byCustomer[granted.customer].grants += 1;
        m_waiting.erase(ticket);
    }

    void leaveAfterLimit(time_point now)
    {
        std::erase_if(m_waiting, [&](const auto& entry) {
            if (now < entry.second.arrivedAt + 1900ms)
                return false;
            m_order.leave(entry.first);
            return true;
        });
    }

    const options m_options;
    std::minstd_rand m_random;
    wait_order m_order { wait_order::options {} };
    std::map<wait_ticket, waiting_request> m_waiting;
};

// Guards against classes and customers that starve: each with demand is served at least half as often as all.
RC_GTEST_PROP(WaitOrder, EachClassAndCustomerIsServedAtLeastHalfAsOftenAsAll, ())
{
    order_trial trial({ .load = *rc::gen::inRange(5, 31) / 10.0,
        .burstShare = *rc::gen::inRange(0, 5) / 10.0,
        .seed = static_cast<unsigned>(*rc::gen::inRange(1, 1'000'000)) });
    trial.run();
    const double wanted = 0.5 * trial.all.servedShare();
    // One grant is not divisible, and neither is the first one that is owed.
    for (const auto& [priority, counted] : trial.byClass)
        RC_ASSERT(counted.grants + 2 >= wanted * counted.arrivals);
    for (const auto& [customer, counted] : trial.byCustomer)
        RC_ASSERT(counted.grants + 2 >= wanted * counted.arrivals);
}

// Guards against urgent callers that are served worse than patient ones.
RC_GTEST_PROP(WaitOrder, UrgentClassesAreServedAtLeastAsOftenAsPatientOnes, ())
{
    order_trial trial({ .load = *rc::gen::inRange(5, 31) / 10.0,
        .burstShare = *rc::gen::inRange(0, 5) / 10.0,
        .seed = static_cast<unsigned>(*rc::gen::inRange(1, 1'000'000)) });
    trial.run();
    RC_ASSERT(trial.byClass[0].servedShare() + 0.01 >= trial.byClass[1].servedShare());
    RC_ASSERT(trial.byClass[1].servedShare() + 0.01 >= trial.byClass[2].servedShare());
}

// Guards against a class that is owed grants, and is served better than a more urgent one for it.
TEST(WaitOrder, AnOwedClassGoesAfterAMoreUrgentOneThatIsServedLess)
{
    wait_order order({ .guaranteedPart = 1 });
    // Half of the patient requests are granted; the others leave.
    for (int i = 0; i < 20; ++i) {
        const auto granted = order.join(request(2), start);
        const auto unserved = order.join(request(2), start);
        order.grant(granted, start);
        order.leave(unserved);
    }
    // All others leave unserved, so both classes are owed grants, and the patient one more.
    for (int i = 0; i < 20; ++i)
        order.leave(order.join(request(2), start));
    for (int i = 0; i < 4; ++i)
        order.leave(order.join(request(1), start));
    const auto urgent = order.join(request(1), start);
    (void)order.join(request(2), start);
    EXPECT_EQ(order.guaranteed(start), urgent);
}

// Guards against an order that costs callers something while there is capacity for all.
TEST(WaitOrder, AllAreServedAtHalfLoad)
{
    order_trial trial({ .load = 0.5 });
    trial.run();
    EXPECT_GE(trial.all.servedShare(), 0.999);
}

} // namespace
} // namespace coltsfootbend
