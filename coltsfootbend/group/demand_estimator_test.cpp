// Tests the estimate for prompts that each belong to one topic, with counts that arrive in rounds.

#include "coltsfootbend/group/demand_estimator.h"

#include <cmath>
#include <gtest/gtest.h>
#include <random>

namespace coltsfootbend {
namespace {

constexpr std::size_t sets = 4;
constexpr std::size_t experts = 72;
constexpr int topics = 9;

// Generates the counts of prompts with random topics, where each topic has its own distribution of experts. Rounds of
// few prompts therefore differ considerably from each other.
class topic_model {
public:
    explicit topic_model(unsigned seed)
        : m_random(seed)
    {
        for (int topic = 0; topic < topics; ++topic)
            redrawTopic(topic);
    }

    void shift(int count)
    {
        for (int topic = 0; topic < count; ++topic)
            redrawTopic(topic);
    }

    std::vector<std::uint32_t> round(int prompts)
    {
        std::vector<std::uint32_t> counts(sets * experts);
        std::uniform_int_distribution<int> anyTopic(0, topics - 1);
        std::lognormal_distribution<double> length(6.5, 0.7);
        for (int prompt = 0; prompt < prompts; ++prompt) {
            const auto& preferences = m_preferences[static_cast<std::size_t>(anyTopic(m_random))];
            const double tokens = length(m_random);
            for (std::size_t i = 0; i < counts.size(); ++i)
                counts[i] += static_cast<std::uint32_t>(8 * tokens * preferences[i]);
        }
        return counts;
    }

    // Returns the share of the true demand that the estimate attributes to the wrong experts.
    double error(const group_demand& estimate) const
    {
        double sum = 0;
        for (std::size_t i = 0; i < sets * experts; ++i) {
            double truth = 0;
            for (const auto& preferences : m_preferences)
                truth += preferences[i] / topics;
            sum += std::abs(truth - estimate[i / experts][i % experts]) / 2;
        }
        return sum / static_cast<double>(sets);
    }

private:
    void redrawTopic(int topic)
    {
        auto& preferences = m_preferences[static_cast<std::size_t>(topic)];
        preferences.assign(sets * experts, 0);
        std::lognormal_distribution<double> preference(0, 1.2);
        for (std::size_t set = 0; set < sets; ++set) {
            double sum = 0;
            for (std::size_t expert = 0; expert < experts; ++expert)
                sum += preferences[set * experts + expert] = preference(m_random);
            for (std::size_t expert = 0; expert < experts; ++expert)
                preferences[set * experts + expert] /= sum;
        }
    }

    std::mt19937 m_random;
    std::vector<std::vector<double>> m_preferences { static_cast<std::size_t>(topics) };
};

double errorAfter(topic_model& model, demand_estimator& estimator, int rounds, int prompts)
{
    for (int i = 0; i < rounds; ++i) {
        estimator.add(model.round(prompts));
        estimator.endRound();
    }
    return model.error(estimator.demand());
}

TEST(DemandEstimator, AveragesRoundsWhileDemandIsStable)
{
    double singleRound = 0;
    double averaged = 0;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        topic_model model(seed);
        demand_estimator estimator(sets, experts);
        singleRound += errorAfter(model, estimator, 1, 20);
        averaged += errorAfter(model, estimator, 20, 20);
    }
    EXPECT_LT(averaged, 0.55 * singleRound);
}

// A third of the topics changes. The reference is an estimator that starts at the shift, which is as good as two rounds
// permit.
TEST(DemandEstimator, FollowsAShiftNearlyAsWellAsANewEstimator)
{
    double followed = 0;
    double restarted = 0;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        topic_model model(seed);
        demand_estimator estimator(sets, experts);
        (void)errorAfter(model, estimator, 20, 60);
        model.shift(topics / 3);
        topic_model same = model;
        demand_estimator fresh(sets, experts);
        followed += errorAfter(model, estimator, 2, 60);
        restarted += errorAfter(same, fresh, 2, 60);
    }
    EXPECT_LT(followed, 1.1 * restarted);
}

TEST(DemandEstimator, TooFewChoicesAreKeptForTheNextRound)
{
    demand_estimator estimator(1, 2);
    estimator.add({ 10, 10 });
    estimator.endRound();
    EXPECT_FALSE(estimator.isKnown());
    estimator.add({ 30, 10 });
    estimator.endRound();
    ASSERT_TRUE(estimator.isKnown());
    EXPECT_NEAR(estimator.demand()[0][0], 40.0 / 60, 1e-9);
}

} // namespace
} // namespace coltsfootbend
