#include <peridotward/core/admission/retry_schedule.hpp>

#include <algorithm>
#include <cmath>

namespace peridotward {

namespace {

double decayed(double rate, duration elapsed, milliseconds constant) noexcept
{
    const std::chrono::duration<double> time_constant = constant;
    return rate * std::exp(-std::max(0.0, elapsed / time_constant));
}

double increase(milliseconds constant) noexcept
{
    return 1 / std::chrono::duration<double>{constant}.count();
}

} // namespace

double retry_schedule::rate(time_point now) const noexcept
{
    const auto elapsed = now - rate_at_;
    return std::max(
        decayed(rate_, elapsed, rate_time_constant),
        decayed(burst_rate_, elapsed, burst_time_constant));
}

void retry_schedule::on_served(time_point now) noexcept
{
    const auto elapsed = now - rate_at_;
    rate_ = decayed(rate_, elapsed, rate_time_constant) +
            increase(rate_time_constant);
    burst_rate_ = decayed(burst_rate_, elapsed, burst_time_constant) +
                  increase(burst_time_constant);
    rate_at_ = now;
}

milliseconds retry_schedule::reserve(
    std::int32_t priority, time_point earliest_retry, time_point now)
{
    const std::chrono::duration<double> exact_interval{
        1 / (retry_share * std::max(rate(now), min_rate))};
    const auto interval = std::chrono::duration_cast<duration>(exact_interval);
    const auto latest = now + max_wait;
    const auto earliest = std::clamp(earliest_retry, now, latest);
    auto& next = next_[priority];
    next = std::clamp(next, earliest, latest);
    const auto reserved = next;
    // Delay all callers of the same or a lower urgency.
    for (auto less_urgent = next_.find(priority); less_urgent != next_.end();
         ++less_urgent)
        less_urgent->second = std::min(
            std::max(less_urgent->second, earliest) + interval, latest);
    return std::max(
        std::chrono::ceil<milliseconds>(reserved - now), milliseconds{1});
}

} // namespace peridotward
