#include "load_report.hpp"

#include <algorithm>

namespace peridotward::ctl {

namespace {

json quantiles(const latency_recorder& profile)
{
    return {
        {"p50", profile.quantile_ms(0.5)},
        {"p99", profile.quantile_ms(0.99)},
        {"p999", profile.quantile_ms(0.999)}};
}

json seconds_to_json(const std::vector<second_counts>& by_second)
{
    json rows = json::array();
    for (const auto& row : by_second)
        rows.push_back(
            {{"answered", row.answered},
             {"refused", row.refused},
             {"lost", row.lost},
             {"min_coverage", row.min_coverage},
             {"max_ms", row.max_ms}});
    return rows;
}

} // namespace

json request_counts::to_json() const
{
    return {
        {"sent", sent},
        {"answered", answered},
        {"refused", refused},
        {"lost", lost},
        {"wrong", wrong},
        {"latency_ms", quantiles(latency)}};
}

second_counts& load_report::second_at(duration offset)
{
    const auto whole = std::chrono::duration_cast<seconds>(offset).count();
    const auto position =
        static_cast<std::size_t>(std::max<std::int64_t>(0, whole));
    if (by_second.size() <= position)
        by_second.resize(position + 1);
    return by_second[position];
}

json load_report::to_json() const
{
    const auto answered = static_cast<double>(searches.answered);
    json classes = json::object();
    for (const auto& [name, profile] : class_latency)
        classes[name] = quantiles(profile);
    return {
        {"queries", searches.sent},
        {"answered", searches.answered},
        {"complete", complete},
        {"partial", partial},
        {"refused", searches.refused},
        {"lost", searches.lost + fetches.lost + appends.lost},
        {"wrong_answers", wrong_answers()},
        {"attempts", attempts},
        {"shards_needed", shards_needed},
        {"failovers", failovers},
        {"retries", retries},
        {"entry_reads", address_reads},
        {"entry_read_failures", address_read_failures},
        {"mean_coverage", answered == 0 ? 0.0 : coverage_sum / answered},
        {"min_coverage", searches.answered == 0 ? 0.0 : min_coverage},
        {"refusals", refusals},
        {"latency_ms", quantiles(searches.latency)},
        {"class_latency_ms", classes},
        {"fetches", fetches.to_json()},
        {"appends", appends.to_json()},
        {"not_run_ids", not_run_ids},
        {"stored_ids", stored_ids},
        {"by_second", seconds_to_json(by_second)}};
}

} // namespace peridotward::ctl
