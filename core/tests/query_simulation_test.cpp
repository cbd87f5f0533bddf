#include "query_simulation.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace peridotward;
using namespace peridotward::query_test;

namespace {

simulation_report
run(scenario what,
    decision_kind decision = decision_kind::adaptive,
    std::uint32_t queries = 8000)
{
    simulation_options options;
    options.what = what;
    options.decision = decision;
    options.queries = queries;
    return simulate(options);
}

} // namespace

TEST_CASE("query simulation - stragglers do not set the latency")
{
    const auto healthy = run(scenario::healthy);
    const auto straggling = run(scenario::straggler);
    CHECK(straggling.p99_ms <= 2 * healthy.p99_ms);
    CHECK(straggling.extra <= 0.05);
    CHECK(straggling.coverage > 0.9999);
    const auto plain = run(scenario::straggler, decision_kind::random_only);
    CHECK(plain.p99_ms > 2 * healthy.p99_ms);
}

TEST_CASE("query simulation - overload keeps nine tenths of the best goodput")
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

TEST_CASE("query simulation - faults stay within the extra requests")
{
    for (const auto what :
         {scenario::replica_lost, scenario::cold, scenario::index_change}) {
        const auto report = run(what);
        INFO(name_of(what));
        CHECK(report.extra <= 0.05);
        CHECK(report.coverage >= 0.999);
    }
}
