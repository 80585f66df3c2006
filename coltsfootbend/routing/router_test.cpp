#include "coltsfootbend/routing/router.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace coltsfootbend {
namespace {

using namespace std::chrono_literals;

const time_point start = time_point {} + 1h;
const routing_request request { .prefixes = {}, .prefillTime = {}, .serviceTime = 100ms };

std::vector<routing_worker> workers(int count)
{
    std::vector<routing_worker> made;
    made.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        made.push_back({ .place = { vm_id("w" + std::to_string(i)), incarnation(1) } });
    return made;
}

attempt_id attempt(std::uint64_t serial) { return { vm_id("e"), incarnation(1), serial }; }

RC_GTEST_PROP(Router, ChoosesAUsableWorkerWheneverThereIsOne, ())
{
    auto known = workers(*rc::gen::inRange(1, 12));
    std::vector<vm_id> tried;
    std::set<vm_id> usable;
    for (auto& worker : known) {
        worker.leaving = *rc::gen::arbitrary<bool>();
        worker.suspected = *rc::gen::arbitrary<bool>();
        worker.remote = *rc::gen::arbitrary<bool>();
        if (*rc::gen::arbitrary<bool>())
            tried.push_back(worker.place.worker);
        else if (!worker.leaving)
            usable.insert(worker.place.worker);
    }
    router router({ .seed = 3 });
    router.setWorkers(known);
    const auto chosen = router.choose(start, request, tried);
    RC_ASSERT(chosen.has_value() == !usable.empty());
    if (chosen)
        RC_ASSERT(usable.contains(chosen->worker));
}

TEST(Router, PrefersThisDataCentreAndWorkersNotSuspected)
{
    auto known = workers(3);
    known[0].remote = true;
    known[1].suspected = true;
    router router({ .seed = 1 });
    router.setWorkers(known);
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(router.choose(start, request, {})->worker, vm_id("w2"));
    EXPECT_EQ(router.choose(start, request, { vm_id("w2") })->worker, vm_id("w0"));
    EXPECT_EQ(router.choose(start, request, { vm_id("w2"), vm_id("w0") })->worker, vm_id("w1"));
}

TEST(Router, CountsItsOwnRequestsBeforeAnyReport)
{
    router router({ .seed = 1, .randomCandidates = 4 });
    router.setWorkers(workers(4));
    std::map<vm_id, int> counts;
    for (std::uint64_t i = 1; i <= 40; ++i) {
        const auto chosen = router.choose(start, request, {});
        router.recordDispatch(start, chosen->worker, attempt(i), request);
        ++counts[chosen->worker];
    }
    for (const auto& [worker, count] : counts)
        EXPECT_EQ(count, 10) << worker.text();
}

TEST(Router, DoesNotCountAReportedRequestTwice)
{
    router router({ .seed = 1 });
    router.setWorkers(workers(1));
    router.recordDispatch(start, vm_id("w0"), attempt(1), request);
    router.observe(start + 20ms, vm_id("w0"), { .pendingService = { 80ms }, .slots = 1, .age = 10ms });
    EXPECT_NEAR(toMilliseconds(router.expectedWait(start + 20ms, vm_id("w0"))), 70, 1);
    router.recordEnd(start + 100ms, vm_id("w0"), attempt(1), 100ms);
    EXPECT_NEAR(toMilliseconds(router.expectedWait(start + 200ms, vm_id("w0"))), 0, 1);
}

TEST(Router, PendingWorkOfLowerClassesDoesNotDelayHigherOnes)
{
    router router({ .seed = 1, .randomCandidates = 2 });
    router.setWorkers(workers(2));
    router.observe(start, vm_id("w0"), { .pendingService = { 0ms, 9000ms }, .slots = 1, .age = 0ms });
    router.observe(start, vm_id("w1"), { .pendingService = { 500ms, 500ms }, .slots = 1, .age = 0ms });
    auto viewer = request;
    viewer.priority = 1;
    EXPECT_EQ(router.choose(start, request, {})->worker, vm_id("w0"));
    EXPECT_EQ(router.choose(start, viewer, {})->worker, vm_id("w1"));
}

TEST(Router, EjectsAFailingWorkerForAWhileButNeverMostOfThem)
{
    router router({ .seed = 1 });
    router.setWorkers(workers(4));
    for (int i = 0; i < 3; ++i)
        router.recordFailure(start, vm_id("w0"));
    for (int i = 0; i < 50; ++i)
        EXPECT_NE(router.choose(start, request, {})->worker, vm_id("w0"));
    for (int i = 0; i < 3; ++i) {
        for (const char* name : { "w1", "w2", "w3" })
            router.recordFailure(start, vm_id(name));
    }
    std::set<vm_id> chosenAfterFailures;
    for (int i = 0; i < 200; ++i)
        chosenAfterFailures.insert(router.choose(start, request, {})->worker);
    EXPECT_EQ(chosenAfterFailures.size(), 2U);
    std::set<vm_id> chosenAfterEjection;
    for (int i = 0; i < 200; ++i)
        chosenAfterEjection.insert(router.choose(start + 5s, request, {})->worker);
    EXPECT_EQ(chosenAfterEjection.size(), 4U);
}

TEST(Router, KeepsAPrefixAtOneWorkerUntilThatIsOverloaded)
{
    router router({ .seed = 1 });
    router.setWorkers(workers(8));
    routing_request prompt { .prefixes = { 42 }, .prefillTime = 50ms, .serviceTime = 100ms };
    const auto first = router.choose(start, prompt, {})->worker;
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(router.choose(start, prompt, {})->worker, first);
    router.observe(start, first, { .pendingService = { 5000ms }, .slots = 1, .age = 0ms });
    EXPECT_NE(router.choose(start, prompt, {})->worker, first);
}

TEST(Router, LearnsThatAWorkerIsSlow)
{
    router router({ .seed = 1, .randomCandidates = 2 });
    router.setWorkers(workers(2));
    std::uint64_t serial = 0;
    for (int i = 0; i < 20; ++i) {
        router.recordDispatch(start, vm_id("w0"), attempt(++serial), request);
        router.recordEnd(start, vm_id("w0"), attempt(serial), 300ms);
        router.recordDispatch(start, vm_id("w1"), attempt(++serial), request);
        router.recordEnd(start, vm_id("w1"), attempt(serial), 100ms);
    }
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(router.choose(start, request, {})->worker, vm_id("w1"));
}

} // namespace
} // namespace coltsfootbend
