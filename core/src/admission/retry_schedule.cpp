#include <peridotward/core/admission/retry_schedule.hpp>

#include <algorithm>
#include <cmath>

namespace peridotward {

double retry_schedule::rate(time_point now) const noexcept
{
    const std::chrono::duration<double> elapsed = now - rate_at_;
    const std::chrono::duration<double> time_constant = rate_time_constant;
    return rate_ * std::exp(-std::max(0.0, elapsed / time_constant));
}

void retry_schedule::on_served(time_point now) noexcept
{
    const std::chrono::duration<double> time_constant = rate_time_constant;
    rate_ = rate(now) + 1 / time_constant.count();
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
