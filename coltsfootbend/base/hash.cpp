#include "coltsfootbend/base/hash.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <xxhash.h>

namespace coltsfootbend {

namespace {

std::uint64_t rendezvousScore(std::uint64_t keyHash, const vm_id& candidate)
{
    return stableHash(candidate.text(), keyHash);
}

} // namespace

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::size_t rendezvousIndex(std::string_view key, std::span<const vm_id> candidates)
{
    assert(!candidates.empty());
    const auto keyHash = stableHash(key);
    std::size_t best = 0;
    std::uint64_t bestScore = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto score = rendezvousScore(keyHash, candidates[i]);
        if (i == 0 || score > bestScore) {
            best = i;
            bestScore = score;
        }
    }
    return best;
}

std::vector<vm_id> rendezvousRanking(std::string_view key, std::span<const vm_id> candidates, std::size_t count)
{
    const auto keyHash = stableHash(key);
    std::vector<std::pair<std::uint64_t, std::size_t>> scores;
    scores.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i)
        scores.emplace_back(rendezvousScore(keyHash, candidates[i]), i);
    const auto kept = std::min(count, scores.size());
    std::partial_sort(
        scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(kept), scores.end(), std::greater<>());
    std::vector<vm_id> ranking;
    ranking.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i)
        ranking.push_back(candidates[scores[i].second]);
    return ranking;
}

} // namespace coltsfootbend
