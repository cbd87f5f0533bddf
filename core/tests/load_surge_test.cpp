// Load pattern: several times the traffic for some seconds, in virtual time.

#include <peridotward/core/experiment/forward_experiment.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>

using namespace peridotward;

namespace {

/// Goodput at any load, relative to the best at a lighter one.
constexpr double min_goodput_ratio = 0.95;
constexpr double max_failed_share = 0.05;
constexpr milliseconds max_refusal_time{50};
constexpr std::array factors{1.0, 2.0, 3.0, 4.0, 6.0, 8.0, 12.0};

experiment_result
run(load_pattern pattern, double factor, experiment_size size, bool shedding)
{
    size.surge_factor = factor;
    forward_features features;
    features.load_shedding = shedding;
    return run_forward_experiment(pattern, features, 1, size);
}

/// 15 instances that take the callers of a fleet of 195, with 42 shards.
experiment_size wide_search()
{
    experiment_size size;
    size.instances = 15;
    size.shards = 42;
    size.slots = 3;
    size.queue = 20;
    size.requests_per_second = 100;
    size.work = milliseconds{17};
    size.target = milliseconds{150};
    size.timeout = milliseconds{800};
    return size;
}

void check_goodput(load_pattern pattern, const experiment_size& size)
{
    double best = 0;
    for (const auto factor : factors) {
        INFO("surge of " << factor);
        const auto result = run(pattern, factor, size, true);
        CHECK(result.fault.goodput() >= min_goodput_ratio * best);
        CHECK(result.fault.failed <= max_failed_share * result.fault.requests);
        CHECK(result.fault.slowest_refusal <= max_refusal_time);
        CHECK(result.recovery.in_time == result.recovery.requests);
        best = std::max(best, result.fault.goodput());
    }
}

} // namespace

TEST_CASE("load surge: goodput does not fall with more load", "[load surge]")
{
    check_goodput(load_pattern::surge, {});
}

TEST_CASE(
    "load surge: goodput of a search of many shards does not fall",
    "[load surge]")
{
    check_goodput(load_pattern::surge, wide_search());
}

TEST_CASE(
    "load surge: callers that repeat at once take no goodput", "[load surge]")
{
    experiment_size size;
    size.caller_repeats = 3;
    check_goodput(load_pattern::surge, size);
}

TEST_CASE(
    "load surge: without load shedding, goodput collapses", "[load surge]")
{
    const auto light = run(load_pattern::surge, 3, {}, false);
    const auto heavy = run(load_pattern::surge, 8, {}, false);
    CHECK(heavy.fault.goodput() < light.fault.goodput() / 2);
}

TEST_CASE("load surge: no request is refused without overload", "[load surge]")
{
    for (const auto pattern :
         {load_pattern::calm,
          load_pattern::pauses,
          load_pattern::slow,
          load_pattern::shedding,
          load_pattern::lost_answers}) {
        INFO("pattern " << name_of(pattern));
        CHECK(run(pattern, 1, {}, true).refused == 0);
    }
    CHECK(run(load_pattern::surge, 2, {}, true).refused == 0);
}

TEST_CASE(
    "load surge: with half of the replicas slow, goodput does not fall with "
    "more load",
    "[load surge]")
{
    double best = 0;
    for (const auto factor : {1.0, 2.0, 4.0, 8.0}) {
        INFO("surge of " << factor);
        const auto result = run(load_pattern::slow_surge, factor, {}, true);
        CHECK(result.fault.goodput() >= min_goodput_ratio * best);
        CHECK(result.fault.failed <= max_failed_share * result.fault.requests);
        best = std::max(best, result.fault.goodput());
    }
}

TEST_CASE("load surge: large fleets do not swing in step", "[load surge]")
{
    auto size = wide_search();
    size.shards = 10;
    for (const std::uint32_t instances : {8U, 79U, 740U}) {
        INFO("instances " << instances);
        size.instances = instances;
        const auto result = run(load_pattern::surge, 8, size, true);
        CHECK(result.max_admitted <= 1.5);
        CHECK(result.min_admitted >= 0.5);
        CHECK(result.fault.failed <= max_failed_share * result.fault.requests);
    }
}

namespace {

/// Searches of deployment B: card histories, and the more urgent till checks.
/// The replicas have one slot, so that the usual load is a third of what they
/// can serve.
experiment_size two_priorities(std::uint32_t instances)
{
    experiment_size size;
    size.instances = instances;
    size.slots = 1;
    size.queue = 24;
    size.kinds = {
        {1, 79.1, milliseconds{11}, milliseconds{150}, milliseconds{1500}, 1},
        {0, 26.4, milliseconds{4}, milliseconds{60}, milliseconds{800}, 1}};
    return size;
}

constexpr std::array<std::uint32_t, 3> fleets{8, 79, 740};

} // namespace

TEST_CASE(
    "load surge: a more urgent kind has no smaller share admitted at 4 to 12 "
    "times the load",
    "[load surge][scheduling]")
{
    for (const auto instances : fleets) {
        for (const double factor : {4.0, 8.0, 12.0}) {
            auto size = two_priorities(instances);
            for (auto& kind : size.kinds)
                kind.surge_factor = factor;
            const auto result =
                run_forward_experiment(load_pattern::surge, {}, 1, size);
            const auto& history = result.fault_by_kind[0];
            const auto& check = result.fault_by_kind[1];
            INFO("instances " << instances << ", surge of " << factor);
            CAPTURE(
                history.admitted_share(),
                history.in_time_share(),
                check.admitted_share(),
                check.in_time_share());
            CHECK(history.refused > 0);
            CHECK(check.admitted_share() >= history.admitted_share());
            CHECK(check.in_time_share() >= history.in_time_share());
            CHECK(history.in_time > 0);
        }
    }
}
