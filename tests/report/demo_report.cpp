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
    report_line{"partial", "with some shards, and saying so"},
    report_line{"refused", "refused"},
    report_line{"mean_coverage", "mean coverage of answers"},
    report_line{"wrong_answers", "answers that were wrong (must be 0)"},
    report_line{"doubled_runs", "entries that ran twice (must be 0)"},
    report_line{
        "bear_limit_violations", "more than a cold upstream bears (must be 0)"},
    report_line{"slot_overruns", "more than the slots (must be 0)"},
    report_line{"connection_overruns", "too many connections (must be 0)"},
    report_line{"domain_overruns", "more than a domain bears (must be 0)"},
    report_line{"forbidden_requests", "sent to a domain taken out (must be 0)"},
    report_line{"refused_but_ran", "\"not run\" that ran (must be 0)"},
    report_line{
        "stored_but_missing", "\"stored\" that did not run (must be 0)"},
    report_line{"lost", "neither answered nor refused (must be 0)"},
    report_line{"latency_ms", "from the planned time to the whole answer"},
    report_line{"upstream_requests", "requests that reached upstreams"},
    report_line{"shards_needed", "fewest that the answers needed"},
    report_line{"extra_load_ratio", "share of requests beyond those"},
    report_line{"failovers", "requests moved to another entry"},
    report_line{"refusals", "refusals by kind"}};

} // namespace

/// usage: demo_report LOAD LEDGER RAN REPORT; exits with 1 on a broken
/// promise.
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
        const auto broken = broken_promises(report);
        for (const auto& name : broken)
            std::cout << "broken promise: " << name << " is " << report.at(name)
                      << "\n";
        if (broken.empty())
            std::cout << "all promises held\n";
        return broken.empty() ? 0 : 1;
    }
    catch (const std::exception& problem) {
        std::cerr << "demo_report: " << problem.what() << "\n";
        return 3;
    }
}
