#include "../tests/query_simulation.hpp"

#include <cstdio>
#include <cstdlib>

using namespace peridotward;
using namespace peridotward::query_test;

/// Prints the table in docs/design/query.md. The optional argument is the
/// number of queries per scenario and policy.
int main(int argc, char** argv)
{
    simulation_options options;
    options.queries =
        argc > 1 ? static_cast<std::uint32_t>(std::atoi(argv[1])) : 20000;
    std::printf(
        "| scenario | policy | p50 ms | p99 ms | p99.9 ms | coverage | extra "
        "| goodput | refused |\n|---|---|---|---|---|---|---|---|---|\n");
    for (const auto& [fault, scenario_name] : name_table<scenario>::entries) {
        for (const auto& [decision, policy_name] :
             name_table<decision_kind>::entries) {
            options.fault = fault;
            options.decision = decision;
            const auto report = simulate(options);
            std::printf(
                "| %s | %s | %.1f | %.1f | %.1f | %.5f | %.2f%% | %.2f | "
                "%.2f%% |\n",
                scenario_name.data(),
                policy_name.data(),
                report.p50_ms,
                report.p99_ms,
                report.p999_ms,
                report.coverage,
                report.extra * 100,
                report.goodput,
                report.refused * 100);
        }
    }
    return EXIT_SUCCESS;
}
