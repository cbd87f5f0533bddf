#include "latency_recorder.hpp"

#include <algorithm>
#include <cmath>

namespace peridotward::ctl {

namespace {

constexpr double min_bin_ms = 0.05;
constexpr double max_bin_ms = 100'000;
constexpr unsigned bin_count = 1460;

} // namespace

latency_recorder::latency_recorder()
    : bins_{boost::histogram::make_histogram(
          axis{bin_count, min_bin_ms, max_bin_ms})}
{}

void latency_recorder::add(duration latency)
{
    const auto ms = std::chrono::duration<double, std::milli>{latency}.count();
    bins_(ms);
    ++count_;
    max_ms_ = std::max(max_ms_, ms);
}

double latency_recorder::quantile_ms(double share) const
{
    if (count_ == 0)
        return 0;
    const auto rank = std::ceil(share * static_cast<double>(count_));
    double cumulative_count = bins_.at(-1);
    for (int i = 0; i < static_cast<int>(bin_count) && cumulative_count < rank;
         ++i) {
        cumulative_count += bins_.at(i);
        if (cumulative_count >= rank)
            return std::min(max_ms_, bins_.axis().bin(i).upper());
    }
    return cumulative_count >= rank ? min_bin_ms : max_ms_;
}

} // namespace peridotward::ctl
