#include "coltsfootbend/base/hash.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace coltsfootbend {
namespace {

std::vector<vm_id> vms(std::size_t count)
{
    std::vector<vm_id> ids;
    for (std::size_t i = 0; i < count; ++i)
        ids.emplace_back("vm" + std::to_string(i));
    return ids;
}

RC_GTEST_PROP(Rendezvous, RemovingOneCandidateMovesOnlyItsKeys, (const std::string& key))
{
    const auto all = vms(*rc::gen::inRange<std::size_t>(2, 40));
    auto fewer = all;
    const auto removed = fewer.back();
    fewer.pop_back();
    const auto& before = all[rendezvousIndex(key, all)];
    const auto& after = fewer[rendezvousIndex(key, fewer)];
    RC_ASSERT(before == removed || before == after);
}

RC_GTEST_PROP(Rendezvous, RankingBeginsWithTheChoiceAndHasNoRepeats, (const std::string& key))
{
    const auto all = vms(*rc::gen::inRange<std::size_t>(1, 40));
    auto ranking = rendezvousRanking(key, all, 5);
    RC_ASSERT(ranking.size() == std::min<std::size_t>(5, all.size()));
    RC_ASSERT(ranking.front() == all[rendezvousIndex(key, all)]);
    std::sort(ranking.begin(), ranking.end());
    RC_ASSERT(std::unique(ranking.begin(), ranking.end()) == ranking.end());
}

TEST(Rendezvous, SpreadsKeysEvenly)
{
    const auto all = vms(10);
    std::vector<int> counts(10);
    for (int i = 0; i < 10'000; ++i)
        ++counts[rendezvousIndex("key" + std::to_string(i), all)];
    EXPECT_GT(*std::min_element(counts.begin(), counts.end()), 850);
    EXPECT_LT(*std::max_element(counts.begin(), counts.end()), 1150);
}

} // namespace
} // namespace coltsfootbend
