#include "operators/metrics_registry.hpp"

namespace peridotward {

namespace {

constexpr unsigned bin_count = 60;
constexpr double min_seconds = 1e-4;
constexpr double max_seconds = 100;

double to_seconds(duration value)
{
    return std::chrono::duration<double>{value}.count();
}

} // namespace

latency_histogram::latency_histogram()
    : bins_{boost::histogram::make_histogram(
          axis{bin_count, min_seconds, max_seconds})}
{}

void latency_histogram::add(duration latency)
{
    const auto value = to_seconds(latency);
    bins_(value);
    ++count_;
    sum_seconds_ += value;
}

void latency_histogram::render(std::string& out, std::string_view name) const
{
    const std::string prefix = "peridotward_" + std::string{name};
    out += "# TYPE " + prefix + "_seconds histogram\n";
    double cumulative = bins_.at(-1);
    for (int i = 0; i < static_cast<int>(bin_count); ++i) {
        cumulative += bins_.at(i);
        out += prefix + "_seconds_bucket{le=\"" +
               std::to_string(bins_.axis().bin(i).upper()) + "\"} " +
               std::to_string(static_cast<std::uint64_t>(cumulative)) + "\n";
    }
    out += prefix + "_seconds_bucket{le=\"+Inf\"} " + std::to_string(count_) +
           "\n" + prefix + "_seconds_sum " + std::to_string(sum_seconds_) +
           "\n" + prefix + "_seconds_count " + std::to_string(count_) + "\n";
}

void metrics_registry::increment(std::string_view name, std::uint64_t step)
{
    const auto found = counters_.find(name);
    if (found == counters_.end())
        counters_.emplace(name, step);
    else
        found->second += step;
}

void metrics_registry::record_latency(std::string_view name, duration value)
{
    auto found = latencies_.find(name);
    if (found == latencies_.end())
        found = latencies_.emplace(name, latency_histogram{}).first;
    found->second.add(value);
}

std::uint64_t metrics_registry::value(std::string_view name) const
{
    const auto found = counters_.find(name);
    return found == counters_.end() ? 0 : found->second;
}

std::string metrics_registry::render() const
{
    std::string out;
    for (const auto& [name, value] : counters_) {
        const auto full_name = "peridotward_" + name + "_total";
        out += "# TYPE " + full_name + " counter\n" + full_name + " " +
               std::to_string(value) + "\n";
    }
    for (const auto& [name, histogram] : latencies_)
        histogram.render(out, name);
    return out;
}

} // namespace peridotward
