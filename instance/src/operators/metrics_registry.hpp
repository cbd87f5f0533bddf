#pragma once

#include <peridotward/base/time.hpp>

#include <boost/histogram.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace peridotward {

/// Latency histogram with logarithmic bins from 0.1 ms to 100 s.
class latency_histogram
{
public:
    latency_histogram();

    void add(duration latency);
    [[nodiscard]] std::uint64_t count() const noexcept { return count_; }

    /// Appends the histogram in the Prometheus text format.
    void render(std::string& out, std::string_view name) const;

private:
    using axis = boost::histogram::axis::
        regular<double, boost::histogram::axis::transform::log>;
    using bins =
        decltype(boost::histogram::make_histogram(std::declval<axis>()));

    bins bins_;
    std::uint64_t count_ = 0;
    double sum_seconds_ = 0;
};

/// Counters and histograms of one instance.
class metrics_registry
{
public:
    void increment(std::string_view name, std::uint64_t step = 1);
    void record_latency(std::string_view name, duration value);

    [[nodiscard]] std::uint64_t value(std::string_view name) const;
    [[nodiscard]] const auto& counters() const noexcept { return counters_; }

    /// \returns All counters and histograms in the Prometheus text format.
    [[nodiscard]] std::string render() const;

private:
    std::map<std::string, std::uint64_t, std::less<>> counters_;
    std::map<std::string, latency_histogram, std::less<>> latencies_;
};

} // namespace peridotward
