#pragma once

// How a leader reaches the ranks of its group, its own among them, and asks several at the same time. Not for deciding
// what they are asked: see `group/map_leader.h`.
//
//     const auto answers = askRanks(runtime, { { channel, query } }, deadline, { .every = 400ms, .beat = beat });

#include "coltsfootbend/group/map_participant.h"

#include <functional>
#include <memory>
#include <vector>

namespace coltsfootbend {

class rank_channel {
public:
    virtual ~rank_channel() = default;
    // Fails when the rank cannot be asked.
    virtual result<wire::rank_state> ask(const wire::body&, time_point deadline) = 0;
    // Orders the rank's engine, from this VM, not to begin pass `step`. Fails like `rank_engine::hold`. The engine
    // knows no group: only for ranks that have just told of the leader's own formation.
    virtual result<void> hold(group_epoch, pass_number step, time_point deadline) = 0;
};

// The own rank, asked like the others. Passes are never held at it: `hold` fails with `Denied`.
class own_rank_channel final : public rank_channel {
public:
    explicit own_rank_channel(map_participant& own)
        : m_own(own)
    {
    }

    result<wire::rank_state> ask(const wire::body&, time_point deadline) override;
    result<void> hold(group_epoch, pass_number step, time_point deadline) override;

private:
    map_participant& m_own;
};

struct rank_question {
    std::shared_ptr<rank_channel> channel;
    wire::body asked;
};

// What is done time and again while answers are waited for.
struct rank_beat {
    duration every {};
    std::function<void()> beat;
};

// Asks all at the same time, and returns once all have answered, at `deadline` at the latest. The answers are in the
// order of the questions; one that did not come fails with `TimedOut`. Blocks the calling fiber.
std::vector<result<wire::rank_state>> askRanks(
    fiber_runtime&, const std::vector<rank_question>&, time_point deadline, const rank_beat&);

} // namespace coltsfootbend
