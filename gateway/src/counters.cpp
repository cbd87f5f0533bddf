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

void counters::request(
    std::string_view route, std::string_view outcome, duration took)
{
    std::string name = "requests_total{route=\"";
    name += route;
    name += "\",outcome=\"";
    name += outcome;
    name += "\"}";
    count(name);
    auto found = latencies_.find(route);
    if (found == latencies_.end())
        found = latencies_.emplace(std::string{route}, latencies{}).first;
    const auto taken = std::chrono::duration_cast<milliseconds>(took).count();
    const auto bin = std::lower_bound(edges.begin(), edges.end(), taken);
    ++found->second.bins.at(static_cast<std::size_t>(bin - edges.begin()));
    found->second.seconds += std::chrono::duration<double>(took).count();
    ++found->second.count;
}

std::string counters::render() const
{
    std::string text;
    for (const auto& [name, value] : counters_)
        text += "peridotward_" + name + " " + std::to_string(value) + "\n";
    for (const auto& [route, seen] : latencies_) {
        const std::string name = "peridotward_request_seconds";
        const auto label = "route=\"" + route + "\"";
        std::uint64_t below = 0;
        for (std::size_t i = 0; i < edges.size(); ++i) {
            below += seen.bins.at(i);
            text += name + "_bucket{" + label + ",le=\"" +
                    std::to_string(edges.at(i) / 1000.0) + "\"} " +
                    std::to_string(below) + "\n";
        }
        text += name + "_bucket{" + label + ",le=\"+Inf\"} " +
                std::to_string(seen.count) + "\n";
        text += name + "_sum{" + label + "} " + std::to_string(seen.seconds) +
                "\n" + name + "_count{" + label + "} " +
                std::to_string(seen.count) + "\n";
    }
    return text;
}

} // namespace peridotward
