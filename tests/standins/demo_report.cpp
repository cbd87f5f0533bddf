#include <peridotward/base/json.hpp>
#include <peridotward/config/settings.hpp>

#include <fstream>
#include <iomanip>
#include <iostream>

using namespace peridotward;

namespace {

/// Sums a counter over the ledgers of all upstreams.
std::uint64_t total(const json& ledger, const char* counter)
{
    std::uint64_t sum = 0;
    for (const auto& entry : ledger)
        sum += entry.at(counter).get<std::uint64_t>();
    return sum;
}

json load_json(const char* path)
{
    const auto text = read_file(path);
    if (!text)
        throw std::runtime_error{text.error().message};
    return json::parse(*text);
}

/// Merges what callers saw with what upstreams saw.
json merge(const json& load, const json& ledger)
{
    auto report = load;
    const auto needed = load.at("shards_needed").get<double>();
    const auto reached = static_cast<double>(total(ledger, "requests"));
    report["upstream_requests"] = total(ledger, "requests");
    report["extra_load_ratio"] =
        needed == 0 ? 0.0 : (reached - needed) / needed;
    report["doubled_runs"] = total(ledger, "doubled_runs");
    report["bear_limit_violations"] = total(ledger, "bear_limit_violations");
    report["slot_overruns"] = total(ledger, "slot_overruns");
    report["connection_overruns"] = total(ledger, "connection_overruns");
    report["forbidden_requests"] = total(ledger, "forbidden_requests");
    return report;
}

bool promise_broken(const json& report)
{
    for (const char* counter :
         {"wrong_answers",
          "doubled_runs",
          "bear_limit_violations",
          "forbidden_requests",
          "lost"}) {
        if (report.at(counter) != 0)
            return true;
    }
    return false;
}

} // namespace

/// usage: demo_report LOAD LEDGER REPORT; exits with 1 on a broken promise.
int main(int argc, char** argv)
{
    if (argc != 4) {
        std::cerr << "usage: demo_report LOAD LEDGER REPORT\n";
        return 2;
    }
    const auto report = merge(load_json(argv[1]), load_json(argv[2]));
    std::ofstream{argv[3]} << report.dump(2) << "\n";
    for (const auto& [name, value] : report.items())
        std::cout << std::left << std::setw(24) << name << value << "\n";
    const bool broken = promise_broken(report);
    std::cout << (broken ? "a promise was broken\n" : "all promises held\n");
    return broken ? 1 : 0;
}
