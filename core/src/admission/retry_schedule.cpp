#include <peridotward/core/admission/retry_schedule.hpp>

#include <algorithm>
#include <cmath>

namespace peridotward {

double retry_schedule::rate(time_point now) const noexcept
{
    const std::chrono::duration<double> passed = now - rate_at_;
    const std::chrono::duration<double> memory = rate_time_constant;
    return rate_ * std::exp(-std::max(0.0, passed / memory));
}

void retry_schedule::on_served(time_point now) noexcept
{
    const std::chrono::duration<double> memory = rate_time_constant;
    rate_ = rate(now) + 1 / memory.count();
    rate_at_ = now;
}

milliseconds retry_schedule::reserve(
    std::int32_t priority, time_point chance, time_point now)
{
    const std::chrono::duration<double> gap{
        1 / (retry_share * std::max(rate(now), min_rate))};
    const auto place = std::chrono::duration_cast<duration>(gap);
    const auto latest = now + max_wait;
    const auto earliest = std::max(chance, now);
    auto& own = next_[priority];
    own = std::clamp(own, earliest, latest);
    const auto told = own;
    // Those who are less urgent make room for this one.
    for (auto later = next_.find(priority); later != next_.end(); ++later)
        later->second =
            std::min(std::max(later->second, earliest) + place, latest);
    return std::max(
        std::chrono::ceil<milliseconds>(told - now), milliseconds{1});
}

} // namespace peridotward
