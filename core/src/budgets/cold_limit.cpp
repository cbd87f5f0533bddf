#include <peridotward/base/hash.hpp>
#include <peridotward/core/budgets/cold_limit.hpp>

#include <algorithm>
#include <cmath>

namespace peridotward {

std::uint32_t cold_allowance(
    std::string_view id,
    double rate,
    const cold_bounds& bounds,
    std::string_view self,
    std::span<const std::string> instances)
{
    const auto total = static_cast<std::uint32_t>(std::floor(
        std::max(0.0, rate * bounds.rate_factor + bounds.burst_allowance)));
    const auto count = static_cast<std::uint32_t>(instances.size()) + 1;
    const auto each = total / count;
    const auto rest = total % count;
    const auto own = rendezvous_weight(id, self);
    const auto ahead = std::count_if(
        instances.begin(), instances.end(), [&](const std::string& other) {
            return rendezvous_weight(id, other) > own;
        });
    return each + (static_cast<std::uint32_t>(ahead) < rest ? 1 : 0);
}

bool cold_window::try_acquire(std::uint32_t allowance, time_point now)
{
    while (!sent_.empty() && now - sent_.front() >= seconds{1})
        sent_.pop_front();
    if (sent_.size() >= allowance)
        return false;
    sent_.push_back(now);
    return true;
}

time_point
cold_window::earliest_retry(std::uint32_t allowance, time_point now) const
{
    if (allowance == 0)
        return time_point::max();
    if (sent_.size() < allowance)
        return now;
    return std::max(now, sent_[sent_.size() - allowance] + seconds{1});
}

} // namespace peridotward
