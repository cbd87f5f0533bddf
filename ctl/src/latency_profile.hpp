#pragma once

#include <peridotward/base/time.hpp>

#include <boost/histogram.hpp>

#include <cstdint>
#include <utility>

namespace peridotward::ctl {

/// Distribution of latencies in logarithmic bins, each 1% wide, from 0.05 ms
/// to 100 s. Memory does not grow with the number of samples.
class latency_profile
{
public:
    latency_profile();

    void add(duration latency);

    /// \returns The upper edge of the bin that holds the sample of rank
    /// `share` in (0, 1], in ms; 0 without samples.
    [[nodiscard]] double quantile_ms(double share) const;

    [[nodiscard]] std::uint64_t count() const noexcept { return count_; }
    [[nodiscard]] double max_ms() const noexcept { return max_ms_; }

private:
    using axis = boost::histogram::axis::
        regular<double, boost::histogram::axis::transform::log>;
    using bins =
        decltype(boost::histogram::make_histogram(std::declval<axis>()));

    bins bins_;
    std::uint64_t count_ = 0;
    double max_ms_ = 0;
};

} // namespace peridotward::ctl
