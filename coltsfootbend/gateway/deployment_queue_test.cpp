// Decisions on requests that wait at a gateway, with a real picker and without a network.

#include "coltsfootbend/gateway/deployment_queue.h"

#include <gtest/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

const deployment_id llm("llm");
constexpr std::uint32_t slots = 2;

backend_id idOf(int number) { return backend_id("b" + std::to_string(number)); }
backend_instance instanceOf(int number) { return { idOf(number), {} }; }
endpoint addressOf(int number) { return { "10.0.0." + std::to_string(number), 80 }; }

class deployment_queue_test : public testing::Test {
protected:
    deployment_queue_test()
    {
        engine_model engine;
        engine.slots = slots;
        engine.stepMs = 5;
        engine.stepsPerPass = 5;
        engine.usualAnswerTokens = 100;
        use(2, engine);
        m_picker.onPermitRequest(
            [this](const backend_server& server, std::uint64_t serial) { m_serials[server.id] = serial; });
    }

    void use(int servers, const std::optional<engine_model>& engine)
    {
        catalogue::contents contents;
        contents.deployments = { { llm, "", 0, engine } };
        std::map<backend_id, backend_server> registered;
        for (int i = 1; i <= servers; ++i)
            registered[idOf(i)] = { idOf(i), llm, addressOf(i), {}, slots, false };
        m_picker.setServers(registered, catalogue(std::move(contents)));
    }

    queued_request request(std::uint32_t priority, duration latencyTarget = 500ms) const
    {
        return { .pick
            = { .deployment = llm, .latencyTarget = latencyTarget, .deadline = m_now + 8s, .priority = priority },
            .held = { .arrivedAt = m_now, .deadline = m_now + 8s, .latencyTarget = latencyTarget },
            .priority = priority,
            .customer = customer_id("c"),
            .isOrdered = true };
    }

    // Fills all slots, and the queues of the engines as far as requests in them can still be in time. The requests are
    // sent slowly, so that few are expected at the servers before the next reports.
    void fill()
    {
        for (int i = 1; i <= 2; ++i) {
            for (std::uint32_t sent = 0; sent <= slots; ++sent) {
                m_now += 1s;
                m_picker.onRequestSent(instanceOf(i), m_now);
            }
        }
    }
    void finish(int server) { m_picker.onRequestFinished(instanceOf(server), backend_outcome::Answered, 100ms, m_now); }

    void finishAll()
    {
        for (std::uint32_t i = 0; i <= slots + 1; ++i) {
            finish(1);
            finish(2);
        }
    }

    // Joins a request when all slots are taken. Then only `changes` updates come, at these times after the arrival,
    // beside those that are due. Returns how long the request waits for its refusal.
    duration waitUntilRefused(const std::vector<duration>& changes)
    {
        const auto arrivedAt = m_now;
        auto waiting = request(0);
        waiting.isOrdered = false;
        (void)m_queue.join(waiting, m_now);
        auto change = changes.begin();
        for ((void)sent(); m_refused.empty(); (void)sent()) {
            m_now = m_queue.nextUpdateAt();
            if (change != changes.end() && arrivedAt + *change < m_now)
                m_now = arrivedAt + *change++;
        }
        return m_now - arrivedAt;
    }

    // Returns the tickets of the requests that were sent, in order.
    std::vector<wait_ticket> sent()
    {
        std::vector<wait_ticket> tickets;
        for (const auto& ended : m_queue.update(m_now)) {
            if (ended.outcome)
                tickets.push_back(ended.ticket);
            else
                m_refused.push_back(ended.ticket);
        }
        return tickets;
    }

    backend_picker m_picker { {}, 1 };
    deployment_queue m_queue { m_picker, {} };
    time_point m_now = time_point {} + 1h;
    std::map<backend_id, std::uint64_t> m_serials; // Of the last permit request to each server.
    std::vector<wait_ticket> m_refused;
};

// Guards against waits where there is capacity.
// Guards against refusals that leave after the latency target: updates that send nothing must not postpone the next
// review.
TEST_F(deployment_queue_test, ARefusalIsNotLateBecauseOfChangesThatSendNothing)
{
    fill();
    const auto undisturbed = waitUntilRefused({});
    ASSERT_GT(undisturbed, 300ms);
    // Each change comes 25 ms after a review, from different times on.
    for (duration first = 0ms; first < 55ms; first += 5ms) {
        std::vector<duration> changes;
        for (auto at = first; at < 500ms; at += 55ms)
            changes.push_back(at);
        m_refused.clear();
        m_now += 10s;
        EXPECT_LE(waitUntilRefused(changes), undisturbed + 5ms);
    }
}

TEST_F(deployment_queue_test, RequestIsSentAtOnceWhileSlotsAreFree)
{
    const auto ticket = m_queue.join(request(2), m_now);
    EXPECT_EQ(sent(), (std::vector { ticket }));
    EXPECT_EQ(m_queue.size(), 0U);
}

// Guards against a freed slot that goes to whichever request asks first.
TEST_F(deployment_queue_test, FreedSlotGoesToTheMostUrgentRequest)
{
    fill();
    const auto patient = m_queue.join(request(2), m_now);
    EXPECT_TRUE(sent().empty());
    m_now += 20ms;
    const auto urgent = m_queue.join(request(0), m_now);
    EXPECT_TRUE(sent().empty());
    finish(1);
    EXPECT_EQ(sent(), (std::vector { urgent }));
    m_now += 400ms;
    finishAll();
    EXPECT_EQ(sent(), (std::vector { patient }));
}

// Guards against a slot that a patient request takes at this gateway while urgent ones wait at others.
TEST_F(deployment_queue_test, SlotsAreReservedForMoreUrgentRequestsOfAllGateways)
{
    m_picker.setGatewayCounts(8, 8);
    for (int i = 0; i < 10; ++i) {
        const auto urgent = m_queue.join(request(0), m_now);
        ASSERT_EQ(sent(), (std::vector { urgent }));
        m_picker.onRequestFinished(instanceOf(1), backend_outcome::Answered, 100ms, m_now);
        m_picker.onRequestFinished(instanceOf(2), backend_outcome::Answered, 100ms, m_now);
        m_now += 20ms;
    }
    m_picker.onRequestSent(instanceOf(1), m_now);
    m_picker.onRequestSent(instanceOf(2), m_now);
    (void)m_queue.join(request(2, 2s), m_now);
    EXPECT_TRUE(sent().empty()) << "more urgent requests arrive within the time of a report";
    const auto urgent = m_queue.join(request(0), m_now);
    EXPECT_EQ(sent(), (std::vector { urgent }));
}

// Guards against a request that waits although those ahead of it take longer than its caller waits.
TEST_F(deployment_queue_test, RequestWithoutCapacityInTimeIsRefusedOnArrival)
{
    fill();
    for (int i = 0; i < 40; ++i)
        (void)m_queue.join(request(0), m_now);
    (void)sent();
    for (int i = 0; i < 4; ++i) { // About twelve requests are sent in a second.
        m_now += 80ms;
        finish(1 + i % 2);
        ASSERT_EQ(sent().size(), 1U);
    }
    const auto last = m_queue.join(request(1), m_now);
    m_refused.clear();
    m_now += deployment_queue::maxUpdateInterval;
    EXPECT_TRUE(sent().empty());
    EXPECT_EQ(m_refused, (std::vector { last }));
}

// Guards against a patient request that is refused although it would be served soon after its latency target.
TEST_F(deployment_queue_test, RequestThatWillBeLateIsHeldWhileItsCallerWaits)
{
    fill();
    const auto ticket = m_queue.join(request(2), m_now);
    EXPECT_TRUE(sent().empty());
    m_now += 1s;
    EXPECT_TRUE(sent().empty());
    EXPECT_TRUE(m_refused.empty());
    finishAll();
    EXPECT_EQ(sent(), (std::vector { ticket }));
}

// Guards against waits that exceed the time after which callers leave.
TEST_F(deployment_queue_test, RequestIsRefusedBeforeItsCallerLeaves)
{
    fill();
    const auto ticket = m_queue.join(request(2), m_now);
    EXPECT_TRUE(sent().empty());
    m_now += 1900ms;
    EXPECT_TRUE(sent().empty());
    EXPECT_EQ(m_refused, (std::vector { ticket }));
    EXPECT_EQ(m_queue.size(), 0U);
}

// Guards against a new order in deployments that state no priorities: requests go by arrival, returning ones last.
TEST_F(deployment_queue_test, WithoutPrioritiesRequestsGoByArrival)
{
    fill();
    auto returning = request(0);
    returning.isOrdered = false;
    returning.held.isReturning = true;
    returning.pick.isReturning = true;
    const auto last = m_queue.join(returning, m_now);
    m_now += 10ms;
    auto unordered = request(0);
    unordered.isOrdered = false;
    const auto first = m_queue.join(unordered, m_now);
    m_now += 10ms;
    unordered.customer = customer_id("another");
    const auto second = m_queue.join(unordered, m_now);
    EXPECT_TRUE(sent().empty());
    finish(1);
    finish(2);
    EXPECT_EQ(sent(), (std::vector { first, second }));
    finishAll();
    EXPECT_EQ(sent(), (std::vector { last }));
}

// Guards against requests that wait behind those that cannot use what is free, here because a customer's requests are
// restricted to a region without servers.
TEST_F(deployment_queue_test, RequestsThatCannotBeSentDoNotBlockOthers)
{
    auto restricted = request(0);
    restricted.customer = customer_id("restricted");
    restricted.pick.homeRegions = std::set { region_id("elsewhere") };
    for (int i = 0; i < 8; ++i)
        (void)m_queue.join(restricted, m_now);
    const auto other = m_queue.join(request(1), m_now);
    EXPECT_EQ(sent(), (std::vector { other }));
    EXPECT_EQ(m_refused.size(), 8U);
}

// Guards against a free slot that stays unused because the first request was sent to its server before.
TEST_F(deployment_queue_test, UnusableSlotsOfOneRequestGoToTheNext)
{
    fill();
    auto excluding = request(0);
    excluding.pick.excluded = { instanceOf(1) };
    (void)m_queue.join(excluding, m_now);
    const auto second = m_queue.join(request(0), m_now);
    EXPECT_TRUE(sent().empty());
    finish(1);
    EXPECT_EQ(sent(), (std::vector { second }));
}

// Guards against started streams whose callers leave because new requests are ahead of them.
TEST_F(deployment_queue_test, ResumedStreamTakesTheFirstServer)
{
    fill();
    (void)m_queue.join(request(0), m_now);
    auto resumed = request(2);
    resumed.pick.isResumption = true;
    resumed.resumableUntil = m_now + 1900ms;
    const auto ticket = m_queue.join(resumed, m_now);
    EXPECT_EQ(sent(), (std::vector { ticket })) << "it is not refused for load";
}

// A limited deployment of plain servers.
class limited_queue_test : public deployment_queue_test {
protected:
    limited_queue_test()
    {
        use(2, std::nullopt);
        for (int i = 1; i <= 2; ++i)
            (void)m_picker.notices().receiveAnswer(instanceOf(i), { .requestsPerSecond = 5 }, m_now, m_now);
    }
    // Joins a request and has permits requested of both servers.
    wait_ticket join(const queued_request& request)
    {
        const auto ticket = m_queue.join(request, m_now);
        for (int i = 0; i < 20; ++i)
            EXPECT_TRUE(sent().empty());
        return ticket;
    }
    void grantPermit(int server) { m_picker.notices().grant(idOf(server), m_serials.at(idOf(server)), m_now); }
};

// Guards against patient requests that get the permits of limited servers first.
TEST_F(limited_queue_test, MoreUrgentRequestsGetPermitsFirst)
{
    const auto normal = join(request(5));
    const auto urgent = join(request(1));
    grantPermit(1);
    EXPECT_EQ(sent(), (std::vector { urgent }));
    grantPermit(2);
    EXPECT_EQ(sent(), (std::vector { normal }));
}

// Guards against requests that are held until their limit although the permits will go to those ahead of them.
TEST_F(limited_queue_test, RequestWithoutAPermitInTimeIsRefusedWithATimeBehindThoseAhead)
{
    for (int i = 0; i < 3; ++i)
        (void)join(request(1));
    m_refused.clear();
    for (int i = 0; i < 100; ++i)
        (void)m_queue.join(request(1), m_now);
    m_now += deployment_queue::maxUpdateInterval;
    EXPECT_TRUE(sent().empty());
    EXPECT_GE(m_refused.size(), 90U) << "about ten permits a second are issued";
}

// Guards against a permit that is used twice when several requests are sent in one step.
TEST_F(limited_queue_test, OnePermitCoversOneRequest)
{
    const auto first = join(request(1));
    (void)join(request(1));
    grantPermit(1);
    EXPECT_EQ(sent(), (std::vector { first }));
    EXPECT_EQ(m_queue.size(), 1U);
}

// Guards against a permit that expires unused: the first request in the queue had been sent to that server before, and
// the second one was refused because of the first.
TEST_F(limited_queue_test, PermitThatTheFirstInTheQueueCannotUseGoesToTheSecond)
{
    auto excluding = request(1);
    excluding.pick.excluded = { instanceOf(1) };
    (void)join(excluding);
    const auto second = join(request(1));
    (void)join(request(1));
    grantPermit(1);
    EXPECT_EQ(sent(), (std::vector { second }));
    EXPECT_EQ(m_queue.size(), 2U);
}

} // namespace
} // namespace coltsfootbend
