#include "latency_profile.hpp"

#include <algorithm>
#include <cmath>

namespace peridotward::ctl {

namespace {

constexpr double lowest_ms = 0.05;
constexpr double highest_ms = 100'000;
constexpr unsigned bin_count = 1460;

} // namespace

latency_profile::latency_profile()
    : bins_{boost::histogram::make_histogram(
          axis{bin_count, lowest_ms, highest_ms})}
{}

void latency_profile::add(duration latency)
{
    const auto ms = std::chrono::duration<double, std::milli>{latency}.count();
    bins_(ms);
    ++count_;
    max_ms_ = std::max(max_ms_, ms);
}

double latency_profile::quantile_ms(double share) const
{
    if (count_ == 0)
        return 0;
    const auto rank = std::ceil(share * static_cast<double>(count_));
    double below = bins_.at(-1);
    for (int i = 0; i < static_cast<int>(bin_count) && below < rank; ++i) {
        below += bins_.at(i);
        if (below >= rank)
            return std::min(max_ms_, bins_.axis().bin(i).upper());
    }
    return below >= rank ? lowest_ms : max_ms_;
}

} // namespace peridotward::ctl
