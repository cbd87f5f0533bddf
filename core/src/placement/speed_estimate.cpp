#include <peridotward/core/placement/speed_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace peridotward {

namespace {

/// Reports over which the long-term mean extends; enough to contain several
/// slow moments when one report in six is of one.
constexpr std::uint32_t mean_span = 64;
/// Weight of the assumed mean, in reports: a replica is first seen in a slow
/// moment as often as later.
constexpr std::uint32_t assumed_reports = 8;
constexpr double assumed_mean = 100;

} // namespace

void speed_estimate::on_report(std::uint32_t percent, time_point now) noexcept
{
    if (reports_ == 0)
        mean_ = assumed_mean;
    reports_ = std::min(reports_ + 1, mean_span);
    const double gain = 1.0 / std::min(reports_ + assumed_reports, mean_span);
    const double deviation = percent - mean_;
    mean_ += deviation * gain;
    variance_ += (deviation * deviation - variance_) * gain;
    latest_ = percent;
    reported_at_ = now;
}

double speed_estimate::weight(time_point now) const noexcept
{
    const std::chrono::duration<double> age = now - reported_at_;
    const std::chrono::duration<double> constant = time_constant;
    return std::exp(-std::max(0.0, age / constant));
}

double speed_estimate::change(time_point now) const noexcept
{
    if (!reported())
        return 1;
    return 1 + (latest_ / mean_ - 1) * weight(now);
}

double speed_estimate::squared_change(time_point now) const noexcept
{
    if (!reported())
        return 1;
    const double current = weight(now);
    const double expected = 1 + (latest_ / mean_ - 1) * current;
    // The report itself is exact; its age is what is uncertain.
    const double variance =
        variance_ / (mean_ * mean_) * (1 - current * current);
    return expected * expected + variance;
}

} // namespace peridotward
