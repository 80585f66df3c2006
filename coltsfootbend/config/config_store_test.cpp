#include "coltsfootbend/config/config_store.h"

#include "coltsfootbend/store/standin.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace coltsfootbend {
namespace {

const time_point noDeadline {};

config_patch patch(const std::string& id, std::uint64_t against, const std::string& customer)
{
    const std::string hash(64, static_cast<char>('0' + customer.size() % 10));
    return { .id = patch_id(id),
        .against = config_version(against),
        .actor = "dilek",
        .mergePatch = R"({"customers":{")" + customer + R"(":{"key_sha256":")" + sha256Hex(customer) + R"("}}})",
        .acceptedAtMs = 1 };
}

TEST(ConfigStore, AcceptsAPatchAgainstTheCurrentNumberOnly)
{
    memory_platform platform;
    config_store store(platform, platform);
    EXPECT_EQ(store.accept(patch("p1", 0, "a"), noDeadline), config_version(1));
    const auto stale = store.accept(patch("p2", 0, "b"), noDeadline);
    ASSERT_FALSE(stale);
    EXPECT_EQ(stale.error().kind, error_kind::Stale);
    EXPECT_NE(stale.error().message.find("the current one is 1"), std::string::npos);
}

TEST(ConfigStore, ALostAnswerIsSettledByThePatchId)
{
    memory_platform platform;
    config_store store(platform, platform);
    ASSERT_TRUE(store.accept(patch("p1", 0, "a"), noDeadline));
    platform.setFaults({ .loseNextAnswers = 1 });
    EXPECT_EQ(store.accept(patch("p2", 1, "b"), noDeadline), config_version(2)) << "read back, not written again";
    EXPECT_EQ(store.accept(patch("p2", 1, "b"), noDeadline), config_version(2)) << "and the same id once more";
    config_state state;
    ASSERT_TRUE(store.refresh(state, noDeadline));
    EXPECT_EQ(state.version(), config_version(2));
}

TEST(ConfigStore, RefusesAPatchThatDoesNotFitAsAWhole)
{
    memory_platform platform;
    config_store store(platform, platform);
    auto bad = patch("p1", 0, "a");
    bad.mergePatch = R"({"deployments":{"d":{"kind":"engine","model":"m","workers":["nobody"]}}})";
    const auto refused = store.accept(bad, noDeadline);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().kind, error_kind::BadInput);
    EXPECT_NE(refused.error().message.find("nobody"), std::string::npos);
    config_state state;
    ASSERT_TRUE(store.refresh(state, noDeadline));
    EXPECT_TRUE(state.version().isNone());
}

TEST(ConfigStore, RefusesToMoveKeysBetweenHomes)
{
    memory_platform platform;
    config_store store(platform, platform);
    auto first = patch("p1", 0, "a");
    first.mergePatch = R"({"workers":{"w1":{"address":"10.0.0.1:1","data_centre":"d"},
        "w2":{"address":"10.0.0.2:1","data_centre":"d"}},"holders":["w1"]})";
    ASSERT_TRUE(store.accept(first, noDeadline));
    auto moved = patch("p2", 1, "a");
    moved.mergePatch = R"({"holders":["w1","w2"]})";
    const auto refused = store.accept(moved, noDeadline);
    ASSERT_FALSE(refused);
    EXPECT_NE(refused.error().message.find("/holders"), std::string::npos);
    auto replaced = patch("p3", 1, "a");
    replaced.mergePatch = R"({"workers":{"w1":{"address":"10.0.0.9:1"}}})";
    EXPECT_TRUE(store.accept(replaced, noDeadline)) << "the same holder at another address";
}

TEST(ConfigStore, KeepsTheWholeHistoryWithWhatWasBefore)
{
    memory_platform platform;
    config_store store(platform, platform, { .maxSteps = 6, .stepsKept = 2 });
    for (std::uint64_t i = 0; i < 30; ++i)
        ASSERT_TRUE(store.accept(patch("p" + std::to_string(i), i, "c" + std::to_string(i)), noDeadline));
    const auto steps = store.history(config_version(1), noDeadline);
    ASSERT_TRUE(steps);
    ASSERT_EQ(steps->size(), 30U);
    EXPECT_EQ(steps->front().version, config_version(1));
    EXPECT_EQ(steps->at(4).undoPatch, R"({"customers":{"c4":null}})");
    config_state fresh;
    ASSERT_TRUE(store.refresh(fresh, noDeadline));
    EXPECT_EQ(fresh.version(), config_version(30));
    EXPECT_EQ(fresh.current()->customers.size(), 30U);
}

// Concurrent operators patch through several entry VMs while the platform fails and loses answers. Every accepted patch
// is finally in force, no patch is merged onto a version it was not written against, and no reader's version decreases.
RC_GTEST_PROP(ConfigStore, RacingOperatorsLoseNothingAndMergeNothing, ())
{
    memory_platform platform;
    constexpr std::size_t operators = 3;
    std::vector<std::unique_ptr<config_store>> stores;
    std::vector<config_state> seen(operators);
    for (std::size_t i = 0; i < operators; ++i)
        stores.push_back(std::make_unique<config_store>(
            platform, platform, config_store::options { .maxSteps = 5, .stepsKept = 2 }));
    std::map<std::uint64_t, std::string> accepted;
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        60, rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(0, 10), rc::gen::inRange(0, 4)));
    int number = 0;
    for (const auto& [who, fault, act] : steps) {
        platform.setFaults({ .down = fault == 0, .loseNextAnswers = fault == 1 ? 1 : fault == 2 ? 3 : 0 });
        const auto index = static_cast<std::size_t>(who);
        if (act == 0) {
            const auto before = seen[index].version();
            (void)stores[index]->refresh(seen[index], noDeadline);
            RC_ASSERT(seen[index].version() >= before);
            continue;
        }
        const auto name = "c" + std::to_string(++number);
        const auto against = seen[index].version();
        const auto done = stores[index]->accept(patch(name, against.number(), name), noDeadline);
        if (done) {
            RC_ASSERT(done->number() == against.number() + 1);
            RC_ASSERT(accepted.emplace(done->number(), name).second);
        }
    }
    platform.setFaults({});
    config_state last;
    RC_ASSERT(stores[0]->refresh(last, noDeadline).has_value());
    for (const auto& [version, name] : accepted)
        RC_ASSERT(last.current()->customers.contains(customer_id(name)));
}

TEST(ConfigState, AnswersWhoIsBehindWithStepsOrTheWhole)
{
    memory_platform platform;
    config_store store(platform, platform);
    config_state state(4);
    for (std::uint64_t i = 0; i < 10; ++i) {
        ASSERT_TRUE(store.accept(patch("p" + std::to_string(i), i, "c" + std::to_string(i)), noDeadline));
        ASSERT_TRUE(store.refresh(state, noDeadline));
    }
    EXPECT_EQ(state.replyTo(config_version(8)).steps.size(), 2U);
    EXPECT_TRUE(state.replyTo(config_version(8)).document.empty());
    EXPECT_EQ(state.replyTo(config_version(2)).base, config_version(10));
    for (const std::uint64_t have : { 0U, 2U, 8U, 10U }) {
        config_state other(4);
        ASSERT_TRUE(other.take(state.replyTo(other.version())));
        EXPECT_EQ(other.version(), config_version(10));
        EXPECT_EQ(other.document(), state.document()) << have;
    }
}

TEST(ConfigState, NeverGoesBack)
{
    config_state state;
    ASSERT_TRUE(state.adopt(config_version(5), "{}"));
    ASSERT_TRUE(state.adopt(config_version(3), R"({"holders":[]})"));
    EXPECT_EQ(state.version(), config_version(5));
    EXPECT_FALSE(state.apply({ .version = config_version(5), .mergePatch = "{}" }));
}

} // namespace
} // namespace coltsfootbend
