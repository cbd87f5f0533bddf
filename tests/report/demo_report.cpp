#include "run_figures.hpp"

#include <array>
#include <fstream>
#include <iomanip>
#include <iostream>

namespace {

using peridotward::json;

struct report_line
{
    const char* member;
    const char* meaning;
};

constexpr std::array lines{
    report_line{"queries", "searches sent"},
    report_line{"answered", "answered in time"},
    report_line{"complete", "with every shard"},
    report_line{"partial", "with some shards, and marked as partial"},
    report_line{"refused", "refused"},
    report_line{"mean_coverage", "mean coverage of answers"},
    report_line{"wrong_answers", "answers that were wrong (must be 0)"},
    report_line{"doubled_runs", "entries that ran twice (must be 0)"},
    report_line{
        "bear_limit_violations",
        "above the limit of a cold upstream (must be 0)"},
    report_line{"slot_overruns", "above the slot limit (must be 0)"},
    report_line{
        "connection_overruns", "above the connection limit (must be 0)"},
    report_line{"domain_overruns", "above the limit of a domain (must be 0)"},
    report_line{
        "forbidden_requests", "sent to an evacuated domain (must be 0)"},
    report_line{"refused_but_ran", "reported as not run, but ran (must be 0)"},
    report_line{
        "stored_but_missing",
        "reported as stored, but did not run (must be 0)"},
    report_line{"lost", "neither answered nor refused (must be 0)"},
    report_line{"latency_ms", "from the planned time to the complete answer"},
    report_line{"upstream_requests", "requests that reached upstreams"},
    report_line{
        "shards_needed", "minimum of upstream requests for the answers"},
    report_line{
        "extra_load_ratio",
        "upstream requests above that minimum, as a share of it"},
    report_line{"failovers", "requests resent to another instance"},
    report_line{"refusals", "refusals by kind"}};

} // namespace

/// usage: demo_report LOAD LEDGER RAN REPORT; exits with 1 when a counter that
/// must be 0 is not.
int main(int argc, char** argv)
{
    using namespace peridotward::testing;
    if (argc != 5) {
        std::cerr << "usage: demo_report LOAD LEDGER RAN REPORT\n";
        return 2;
    }
    try {
        const auto report = join_figures(
            load_json(argv[1]), load_json(argv[2]), load_json(argv[3]));
        std::ofstream{argv[4]} << report.dump(2) << "\n";
        for (const auto& line : lines)
            std::cout << std::left << std::setw(23) << line.member
                      << std::setw(12) << report.at(line.member).dump() << "  "
                      << line.meaning << "\n";
        const auto violated = violated_counters(report);
        for (const auto& name : violated)
            std::cout << "broken promise: " << name << " is " << report.at(name)
                      << "\n";
        if (violated.empty())
            std::cout << "all promises held\n";
        return violated.empty() ? 0 : 1;
    }
    catch (const std::exception& problem) {
        std::cerr << "demo_report: " << problem.what() << "\n";
        return 3;
    }
}
