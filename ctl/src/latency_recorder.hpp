#pragma once

#include <peridotward/base/time.hpp>

#include <boost/histogram.hpp>

#include <cstdint>
#include <utility>

namespace peridotward::ctl {

/// Histogram of latencies with logarithmic bins, each 1% wide, from 0.05 ms to
/// 100 s. Its memory is independent of the number of samples.
class latency_recorder
{
public:
    latency_recorder();

    void add(duration latency);

    /// \returns The quantile `share` in (0, 1] in ms, as the upper edge of its
    /// bin; 0 without samples.
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
