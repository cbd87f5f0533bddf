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
    const auto fleet_size = static_cast<std::uint32_t>(instances.size()) + 1;
    const auto base_share = total / fleet_size;
    const auto remainder = total % fleet_size;
    const auto own_weight = rendezvous_weight(id, self);
    const auto higher_ranked = std::count_if(
        instances.begin(), instances.end(), [&](const std::string& other) {
            return rendezvous_weight(id, other) > own_weight;
        });
    return base_share +
           (static_cast<std::uint32_t>(higher_ranked) < remainder ? 1 : 0);
}

bool cold_window::try_acquire(std::uint32_t allowance, time_point now)
{
    while (!sent_times_.empty() && now - sent_times_.front() >= seconds{1})
        sent_times_.pop_front();
    if (sent_times_.size() >= allowance)
        return false;
    sent_times_.push_back(now);
    return true;
}

time_point
cold_window::earliest_retry(std::uint32_t allowance, time_point now) const
{
    if (allowance == 0)
        return time_point::max();
    if (sent_times_.size() < allowance)
        return now;
    return std::max(
        now, sent_times_[sent_times_.size() - allowance] + seconds{1});
}

} // namespace peridotward
