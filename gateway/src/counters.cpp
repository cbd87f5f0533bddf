#include <peridotward/gateway/counters.hpp>

#include <algorithm>

namespace peridotward {

void counters::count(std::string_view name, std::uint64_t step)
{
    const auto found = counters_.find(name);
    if (found == counters_.end())
        counters_.emplace(name, step);
    else
        found->second += step;
}

void counters::set(std::string_view name, std::uint64_t value)
{
    counters_.insert_or_assign(std::string{name}, value);
}

void counters::record_request(
    std::string_view route, std::string_view outcome, duration elapsed)
{
    std::string name = "requests_total{route=\"";
    name += route;
    name += "\",outcome=\"";
    name += outcome;
    name += "\"}";
    count(name);
    auto found = latencies_.find(route);
    if (found == latencies_.end())
        found =
            latencies_.emplace(std::string{route}, latency_histogram{}).first;
    const auto elapsed_ms =
        std::chrono::duration_cast<milliseconds>(elapsed).count();
    const auto bucket = std::lower_bound(
        bucket_bounds_ms.begin(), bucket_bounds_ms.end(), elapsed_ms);
    ++found->second.buckets.at(
        static_cast<std::size_t>(bucket - bucket_bounds_ms.begin()));
    found->second.seconds += std::chrono::duration<double>(elapsed).count();
    ++found->second.count;
}

std::string counters::render() const
{
    std::string text;
    for (const auto& [name, value] : counters_)
        text += "peridotward_" + name + " " + std::to_string(value) + "\n";
    for (const auto& [route, histogram] : latencies_) {
        const std::string name = "peridotward_request_seconds";
        const auto label = "route=\"" + route + "\"";
        std::uint64_t cumulative = 0;
        for (std::size_t i = 0; i < bucket_bounds_ms.size(); ++i) {
            cumulative += histogram.buckets.at(i);
            text += name + "_bucket{" + label + ",le=\"" +
                    std::to_string(bucket_bounds_ms.at(i) / 1000.0) + "\"} " +
                    std::to_string(cumulative) + "\n";
        }
        text += name + "_bucket{" + label + ",le=\"+Inf\"} " +
                std::to_string(histogram.count) + "\n";
        text += name + "_sum{" + label + "} " +
                std::to_string(histogram.seconds) + "\n" + name + "_count{" +
                label + "} " + std::to_string(histogram.count) + "\n";
    }
    return text;
}

} // namespace peridotward
