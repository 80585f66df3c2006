#include "coltsfootbend/group/rank_channel.h"

#include "coltsfootbend/net/fiber_signal.h"

#include <algorithm>

namespace coltsfootbend {

namespace {

// The answers outlive the call: a slow rank may answer after the others were given up.
struct rank_round {
    explicit rank_round(fiber_runtime& runtime)
        : answered(runtime)
    {
    }

    std::vector<result<wire::rank_state>> answers;
    std::size_t open = 0;
    fiber_signal answered;
};

} // namespace

result<wire::rank_state> own_rank_channel::ask(const wire::body& asked, time_point deadline)
{
    return m_own.answer(asked, deadline);
}

result<void> own_rank_channel::hold(group_epoch, pass_number, time_point)
{
    return fail(error_kind::Denied, "passes are never held at the leader's own rank", "Choose another rank");
}

std::vector<result<wire::rank_state>> askRanks(
    fiber_runtime& runtime, const std::vector<rank_question>& questions, time_point deadline, const rank_beat& beat)
{
    auto round = std::make_shared<rank_round>(runtime);
    round->open = questions.size();
    round->answers.assign(questions.size(), fail(error_kind::TimedOut, "the rank did not answer", ""));
    for (std::size_t i = 0; i < questions.size(); ++i) {
        runtime.spawn([round, i, question = questions[i], deadline] {
            round->answers[i] = question.channel->ask(question.asked, deadline);
            --round->open;
            round->answered.notify();
        });
    }
    auto beatAt = clock_type::now() + beat.every;
    while (round->open > 0 && clock_type::now() < deadline) {
        (void)round->answered.waitUntil(std::min(deadline, beatAt));
        if (clock_type::now() >= beatAt) {
            beat.beat();
            beatAt = clock_type::now() + beat.every;
        }
    }
    return round->answers;
}

} // namespace coltsfootbend
