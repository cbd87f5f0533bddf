#include "run_figures.hpp"

#include <peridotward/config/settings.hpp>

#include <array>
#include <stdexcept>

namespace peridotward::testing {

namespace {

constexpr std::array upstream_counter_names{
    "bear_limit_violations",
    "slot_overruns",
    "connection_overruns",
    "forbidden_requests",
    "foreign_ranges",
    "shed",
    "cancelled"};

constexpr std::array must_be_zero{
    "wrong_answers",
    "doubled_runs",
    "bear_limit_violations",
    "slot_overruns",
    "connection_overruns",
    "domain_overruns",
    "forbidden_requests",
    "refused_but_ran",
    "stored_but_missing",
    "lost"};

std::uint64_t sum_counter(const json& members, const char* counter)
{
    std::uint64_t sum = 0;
    for (const auto& entry : members)
        sum += entry.at(counter).get<std::uint64_t>();
    return sum;
}

} // namespace

json load_json(const std::string& path)
{
    const auto text = read_file(path);
    if (!text)
        throw std::runtime_error{text.error().message};
    return json::parse(*text);
}

std::uint64_t upstream_total(const json& ledger, const char* counter)
{
    return sum_counter(ledger.at("upstreams"), counter);
}

json join_figures(const json& load, const json& ledger, const json& ran)
{
    auto figures = load;
    figures.erase("not_run_ids");
    figures.erase("stored_ids");
    const auto min_requests = load.at("shards_needed").get<double>();
    const auto upstream_requests = upstream_total(ledger, "requests");
    figures["upstream_requests"] = upstream_requests;
    figures["extra_load_ratio"] =
        min_requests == 0
            ? 0.0
            : (static_cast<double>(upstream_requests) - min_requests) /
                  min_requests;
    figures["doubled_runs"] =
        sum_counter(ledger.at("services"), "doubled_runs");
    figures["domain_overruns"] = sum_counter(ledger.at("domains"), "overruns");
    for (const char* counter : upstream_counter_names)
        figures[counter] = upstream_total(ledger, counter);
    figures.update(ran);
    return figures;
}

std::vector<std::string> violated_counters(const json& figures)
{
    std::vector<std::string> violated;
    for (const char* counter : must_be_zero) {
        if (figures.at(counter) != 0)
            violated.emplace_back(counter);
    }
    return violated;
}

} // namespace peridotward::testing
