#include <peridotward/core/experiment/forward_experiment.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace peridotward;

namespace {

/// Share of callers' value that the calm deployments are held to.
constexpr double calm_mark = 0.983;
constexpr std::array seeds{1, 2, 3};

forward_policy without_repeats()
{
    forward_policy policy;
    policy.repeats = false;
    return policy;
}

} // namespace

TEST_CASE(
    "experiment: no pattern spends more repeats than the bound", "[experiment]")
{
    for (const auto& [pattern, name] : name_table<load_pattern>::entries) {
        for (const auto seed : seeds) {
            INFO("pattern " << name << ", seed " << seed);
            CHECK(play(pattern, {}, seed).worst_excess <= 0);
        }
    }
}

TEST_CASE("experiment: pauses are bridged by hedges", "[experiment]")
{
    for (const auto seed : seeds) {
        const auto with = play(load_pattern::pauses, {}, seed);
        CHECK(with.worth >= calm_mark);
        CHECK(with.late == 0);
        CHECK(
            play(load_pattern::pauses, without_repeats(), seed).worth <
            with.worth);
    }
}

TEST_CASE(
    "experiment: slow replicas cost callers next to nothing", "[experiment]")
{
    for (const auto seed : seeds)
        CHECK(play(load_pattern::slow, {}, seed).worth >= calm_mark);
}

TEST_CASE(
    "experiment: a burst gets no hedges that make it worse", "[experiment]")
{
    // Hedges into full queues made replicas refuse 1,188 arrivals and six
    // searches fail where none did without repeats (seed 1).
    for (const auto seed : seeds) {
        const auto with = play(load_pattern::burst, {}, seed);
        const auto without = play(load_pattern::burst, without_repeats(), seed);
        CHECK(with.failed <= without.failed);
        CHECK(with.rejected <= without.rejected);
    }
}

TEST_CASE(
    "experiment: shedding replicas leave retries to those that need them",
    "[experiment]")
{
    // Hedges had spent the retries' budget: ten searches failed (seed 1).
    for (const auto seed : seeds) {
        const auto result = play(load_pattern::shedding, {}, seed);
        CHECK(result.failed == 0);
        CHECK(result.worth >= calm_mark);
    }
}

TEST_CASE(
    "experiment: heavy searches find the replicas that do not shed",
    "[experiment]")
{
    // A queue at a sound replica had counted more than being refused: at this
    // rate five searches failed and 38 lost a part (seed 2).
    experiment_size heavy;
    heavy.searches_per_second = 220;
    for (const auto seed : seeds) {
        const auto result = play(load_pattern::shedding, {}, seed, heavy);
        CHECK(result.failed == 0);
        CHECK(result.partial == 0);
        CHECK(result.worth >= calm_mark);
    }
}

TEST_CASE("experiment: lost answers are asked for again", "[experiment]")
{
    for (const auto seed : seeds)
        CHECK(play(load_pattern::lost_answers, {}, seed).worth >= calm_mark);
}

TEST_CASE("experiment: the same seed plays the same", "[experiment]")
{
    const auto once = play(load_pattern::pauses, {}, 7);
    const auto again = play(load_pattern::pauses, {}, 7);
    CHECK(once.arrivals == again.arrivals);
    CHECK(once.worth == again.worth);
}
