#include "query_simulation.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace peridotward;
using namespace peridotward::query_test;

namespace {

simulation_report
run(scenario fault,
    decision_kind decision = decision_kind::adaptive,
    std::uint32_t queries = 8000)
{
    simulation_options options;
    options.fault = fault;
    options.decision = decision;
    options.queries = queries;
    return simulate(options);
}

} // namespace

TEST_CASE("query simulation - stragglers at most double the p99 latency")
{
    const auto healthy = run(scenario::healthy);
    const auto straggling = run(scenario::straggler);
    CHECK(straggling.p99_ms <= 2 * healthy.p99_ms);
    CHECK(straggling.extra <= 0.05);
    CHECK(straggling.coverage > 0.9999);
    const auto without_hedges =
        run(scenario::straggler, decision_kind::random_only);
    CHECK(without_hedges.p99_ms > 2 * healthy.p99_ms);
}

TEST_CASE(
    "query simulation - goodput under overload is at least 90% of the best")
{
    simulation_options options;
    options.queries = 16000;
    double best = 0;
    for (const double load : {0.6, 0.7, 0.8, 0.9, 1.0}) {
        options.load = load;
        best = std::max(best, simulate(options).goodput);
    }
    const auto overloaded =
        run(scenario::overload, decision_kind::adaptive, 30000);
    CHECK(overloaded.goodput >= 0.9 * best);
    CHECK(overloaded.extra <= 0.0);
}

TEST_CASE("query simulation - faults keep coverage with few extra attempts")
{
    for (const auto fault :
         {scenario::replica_lost, scenario::cold, scenario::index_change}) {
        const auto report = run(fault);
        INFO(name_of(fault));
        CHECK(report.extra <= 0.05);
        CHECK(report.coverage >= 0.999);
    }
}
