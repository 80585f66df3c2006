#include "coltsfootbend/limits/admission_queue.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

const time_point start = time_point {} + 1h;

admission_job job(std::uint64_t serial, priority_class priority = 0, const std::string& customer = "c")
{
    return { .attempt = { vm_id("e"), incarnation(1), serial },
        .customer = customer_id(customer),
        .priority = priority,
        .deadline = start + 1h,
        .expectedService = 100ms,
        .preemptible = true };
}

std::vector<std::uint64_t> started(const std::vector<admission_decision>& decisions)
{
    std::vector<std::uint64_t> serials;
    for (const auto& decision : decisions) {
        if (decision.verb == admission_verb::Start || decision.verb == admission_verb::Resume)
            serials.push_back(decision.attempt.serial);
    }
    return serials;
}

// Checks for random sequences of jobs that no more jobs run than there are slots, and that each job ends exactly once.
RC_GTEST_PROP(AdmissionQueue, RunsNoMoreThanItsSlotsAndLosesNoJob, ())
{
    const auto slots = *rc::gen::inRange<std::size_t>(1, 5);
    admission_queue queue({ .slots = slots, .maxWaiting = 6 });
    std::map<std::uint64_t, int> running;
    std::map<std::uint64_t, bool> pending;
    auto now = start;
    std::uint64_t serial = 0;
    const auto take = [&](const std::vector<admission_decision>& decisions) {
        for (const auto& decision : decisions) {
            const auto id = decision.attempt.serial;
            RC_ASSERT(pending.contains(id));
            if (decision.verb == admission_verb::Refuse) {
                RC_ASSERT(running[id] == 0);
                pending.erase(id);
            } else {
                running[id] += decision.verb == admission_verb::Preempt ? -1 : 1;
                RC_ASSERT(running[id] == 0 || running[id] == 1);
            }
        }
        std::size_t count = 0;
        for (const auto& [id, runs] : running)
            count += static_cast<std::size_t>(runs);
        RC_ASSERT(count <= slots);
        RC_ASSERT(count == queue.running());
    };
    const auto finishOne = [&] {
        for (auto& [id, runs] : running) {
            if (runs == 0)
                continue;
            runs = 0;
            pending.erase(id);
            take(queue.complete(now, { vm_id("e"), incarnation(1), id }));
            return true;
        }
        return false;
    };
    for (int step = 0; step < 60; ++step) {
        now += 10ms;
        if (*rc::gen::inRange(0, 3) == 0) {
            (void)finishOne();
            continue;
        }
        auto next = job(++serial, static_cast<priority_class>(*rc::gen::inRange(0, 3)),
            std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 3))));
        next.deadline = now + std::chrono::milliseconds(*rc::gen::inRange(50, 2000));
        pending[serial] = true;
        take(queue.submit(now, next));
    }
    while (finishOne()) { }
    RC_ASSERT(pending.empty());
    RC_ASSERT(queue.waiting() + queue.paused() + queue.running() == 0U);
}

TEST(AdmissionQueue, AHigherClassPreemptsTheLowerOneThatStartedLast)
{
    admission_queue queue({ .slots = 2, .maxWaiting = 8 });
    (void)queue.submit(start, job(1, 1));
    (void)queue.submit(start, job(2, 1));
    const auto decisions = queue.submit(start, job(3, 0));
    ASSERT_EQ(decisions.size(), 2U);
    EXPECT_EQ(decisions[0].verb, admission_verb::Preempt);
    EXPECT_EQ(decisions[0].attempt.serial, 2U);
    EXPECT_EQ(started(decisions), std::vector<std::uint64_t> { 3 });
    (void)queue.submit(start, job(4, 1));
    const auto after = queue.complete(start + 10ms, job(3).attempt);
    ASSERT_EQ(after.size(), 1U);
    EXPECT_EQ(after[0].verb, admission_verb::Resume) << "a paused job resumes before new jobs of its class start";
    EXPECT_EQ(after[0].attempt.serial, 2U);
}

TEST(AdmissionQueue, DoesNotPreemptJobsThatCannotBePaused)
{
    admission_queue queue({ .slots = 1, .maxWaiting = 8 });
    auto plain = job(1, 5);
    plain.preemptible = false;
    (void)queue.submit(start, plain);
    EXPECT_TRUE(queue.submit(start, job(2, 0)).empty());
    EXPECT_EQ(queue.waiting(), 1U);
}

TEST(AdmissionQueue, ServesCustomersByWeight)
{
    admission_queue queue({ .slots = 1, .maxWaiting = 1000 });
    (void)queue.submit(start, job(1000));
    for (std::uint64_t i = 0; i < 60; ++i) {
        auto heavy = job(i, 0, "heavy");
        heavy.weight = 2;
        (void)queue.submit(start, heavy);
        (void)queue.submit(start, job(100 + i, 0, "light"));
    }
    int heavy = 0;
    auto last = job(1000).attempt;
    for (int i = 0; i < 30; ++i) {
        const auto next = queue.complete(start, last);
        last = next.front().attempt;
        heavy += last.serial < 100 ? 1 : 0;
    }
    EXPECT_EQ(heavy, 20);
}

TEST(AdmissionQueue, AFullQueueRefusesJobsOfTheCustomerWithTheMostWaitingWork)
{
    admission_queue queue({ .slots = 1, .maxWaiting = 4 });
    for (std::uint64_t i = 1; i <= 5; ++i)
        (void)queue.submit(start, job(i, 0, "flooder"));
    const auto decisions = queue.submit(start, job(9, 0, "small"));
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].verb, admission_verb::Refuse);
    EXPECT_NE(decisions[0].attempt.serial, 9U);
    EXPECT_GT(decisions[0].retryAfter.count(), 0);
    const auto own = queue.submit(start, job(10, 0, "flooder"));
    EXPECT_EQ(own.front().attempt.serial, 10U);
}

TEST(AdmissionQueue, RefusesAJobThatCannotMeetItsDeadline)
{
    admission_queue queue({ .slots = 1, .maxWaiting = 100 });
    for (std::uint64_t i = 1; i <= 10; ++i)
        (void)queue.submit(start, job(i));
    auto hurried = job(11);
    hurried.deadline = start + 300ms;
    const auto decisions = queue.submit(start, hurried);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].reason, refusal::DeadlineTooClose);
}

TEST(AdmissionQueue, AFloodDoesNotMakeASmallCustomersRequestLookLate)
{
    admission_queue queue({ .slots = 4, .maxWaiting = 1000 });
    for (std::uint64_t i = 1; i <= 400; ++i)
        (void)queue.submit(start, job(i, 0, "flooder"));
    auto small = job(999, 0, "small");
    small.deadline = start + 500ms;
    EXPECT_TRUE(queue.submit(start, small).empty()) << "the customer receives its share in time";
}

TEST(AdmissionQueue, LeavingRefusesWaitingJobsAndLetsRunningOnesEnd)
{
    admission_queue queue({ .slots = 1, .maxWaiting = 8 });
    (void)queue.submit(start, job(1));
    (void)queue.submit(start, job(2));
    const auto decisions = queue.leave();
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].attempt.serial, 2U);
    EXPECT_EQ(queue.running(), 1U);
    EXPECT_EQ(queue.submit(start, job(3)).front().reason, refusal::WorkerLeaving);
}

} // namespace
} // namespace coltsfootbend
